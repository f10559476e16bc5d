#ifndef CROCUSMAST_UPKEEP_MACHINE_WAVE_H_
#define CROCUSMAST_UPKEEP_MACHINE_WAVE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::upkeep {

/**
 * @brief Percentage of a pool's machines that may be unavailable at the same
 * time until kPoolLimitUntilPercent of the wave's time has passed.
 *
 * It is low because a pool under a load peak needs all of its machines.
 */
inline constexpr std::size_t kMaxPoolUnavailablePercent = 25;
/**
 * @brief Percentage of a wave's time after which machines with finite runs are
 * drained too.
 */
inline constexpr int kIdleOnlyUntilPercent = 40;
/**
 * @brief Percentage of a wave's time after which only
 * WaveRequest::max_machines_down limits the number of unavailable machines.
 */
inline constexpr int kPoolLimitUntilPercent = 55;

/**
 * @brief Time since the reply to a take-down command from which a machine that
 * is listed as up counts as returned, even if it was never listed as down.
 *
 * Maintenance of a machine takes about two seconds.
 */
inline constexpr std::chrono::milliseconds kAssumeReturnedAfter{5000};

/** @brief Runs on a worker, as known to the scheduler. */
struct WorkerUsage {
  /** @brief Number of runs that end on their own. */
  std::uint32_t finite_runs = 0;
  /** @brief Number of long-running runs. */
  std::uint32_t long_running_runs = 0;
};

/** @brief Stage of a machine within its wave. */
enum class MachineStage {
  kPending,
  /** @brief The worker gets no new work and its long-running runs are moved. */
  kDraining,
  /**
   * @brief The take-down command was sent; the machine may go down at any
   * moment.
   */
  kTakeDownSent,
  /** @brief The machine is down for maintenance. */
  kDown,
  /** @brief The machine is back in service. */
  kReturned,
};

/**
 * @brief Maintenance wave over a set of machines and its progress (aggregate
 * root).
 *
 * Invariants: at most WaveRequest::max_machines_down machines are between the
 * take-down command and their return; a machine counts as done only after its
 * maintenance is confirmed to have started; the wave is done when the
 * maintenance of every machine that still exists has started.
 */
class MachineWave {
 public:
  /**
   * @brief Creates the wave.
   * @param request Operator's request.
   * @param started Machines whose maintenance is known to have started.
   * @param requested_at Time at which the wave was requested.
   */
  MachineWave(WaveRequest request,
              const std::vector<core::MachineId>& started,
              core::TimePoint requested_at);

  /** @brief Returns the operator's request. */
  const WaveRequest& Request() const { return m_request; }

  /** @brief Runs on each machine. */
  using UsageByMachine = std::map<core::MachineId, WorkerUsage>;

  /**
   * @brief Updates the stages from a list of machines.
   *
   * A machine that other waves name too may be in maintenance for one of them,
   * so that only the reply to a command of this wave tells that its own has
   * started.
   * @param machines All machines of the platform.
   * @param shared Machines that other waves name too.
   * @param now Current time.
   * @return True if the maintenance of more machines is now known to have
   * started.
   */
  bool Update(const std::map<core::MachineId, Machine>& machines,
              const std::set<core::MachineId>& shared,
              core::TimePoint now);

  /**
   * @brief Chooses the machines to start draining now.
   * @param machines All machines of the platform.
   * @param usage Runs on the pending machines.
   * @param now Current time.
   * @return The chosen machines, those with the fewest runs first.
   */
  std::vector<core::MachineId> ChooseNext(
      const std::map<core::MachineId, Machine>& machines,
      const UsageByMachine& usage,
      core::TimePoint now);

  /**
   * @brief Records that a machine is being drained.
   * @param machine Machine of the wave.
   */
  void StartDraining(const core::MachineId& machine);
  /**
   * @brief Records that the take-down command was sent.
   * @param machine Machine of the wave.
   */
  void MarkTakeDownSent(const core::MachineId& machine);
  /**
   * @brief Processes the reply to a take-down command.
   * @param machine Machine that the command was for.
   * @param outcome Outcome of the command.
   * @param now Current time.
   * @return True if the machine's maintenance has started.
   */
  bool HandleReply(const core::MachineId& machine,
                   MachineCommandOutcome outcome,
                   core::TimePoint now);

  /**
   * @brief Returns the stage of a machine; nothing if it is not part of the
   * wave.
   * @param machine Machine to look up.
   */
  std::optional<MachineStage> StageOf(const core::MachineId& machine) const;
  /**
   * @brief Returns the machines at a stage that the platform still lists.
   * @param stage Stage to look up.
   */
  std::vector<core::MachineId> MachinesAt(MachineStage stage) const;
  /**
   * @brief Tells whether a machine is being drained, taken down or down for
   * this wave.
   * @param machine Machine to look up.
   */
  bool IsInProgress(const core::MachineId& machine) const;
  /**
   * @brief Tells whether another machine may be taken down within the limit.
   */
  bool CanTakeDownMore() const;
  /**
   * @brief Tells whether the maintenance of every machine that the platform
   * still lists has started.
   */
  bool IsDone() const;
  /** @brief Returns the machines whose maintenance has started. */
  std::vector<core::MachineId> StartedMachines() const;

 private:
  /** @brief Progress of one machine. */
  struct Item {
    MachineStage stage = MachineStage::kPending;
    /** @brief The machine's maintenance is known to have started. */
    bool has_started = false;
    /** @brief The platform lists the machine. */
    bool exists = true;
    /** @brief The machine was listed as down for maintenance. */
    bool was_listed_down = false;
    /** @brief Time of the reply to the take-down command. */
    core::TimePoint replied_at;
    /** @brief Worker on the machine when the take-down command was sent. */
    core::InstanceId worker;
  };

  bool MayDrain(const WorkerUsage& usage, int elapsed_percent) const;

  WaveRequest m_request;
  core::TimePoint m_requested_at;
  std::map<core::MachineId, Item> m_items;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_MACHINE_WAVE_H_
