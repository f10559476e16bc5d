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

/** @brief The share of a pool that is given up at once while time is left, in
 * per cent; a pool's rush asks for all of it, so only little is. */
inline constexpr std::size_t kMaxPoolUnavailablePercent = 25;
/** @brief After this share of a wave's time, busy machines are taken too. */
inline constexpr int kIdleOnlyPercent = 40;
/** @brief After this share of a wave's time, only the cap bounds it. */
inline constexpr int kPoolShareLimitPercent = 55;

/** @brief A machine that is listed as up this long after its order is back,
 * though it was never listed as down; an upkeep takes about two seconds. */
inline constexpr std::chrono::milliseconds kReturnTimeout{5000};

/** @brief How much a machine is in use, as the scheduler sees it. */
struct Usage {
  /** @brief Runs that end by themselves. */
  std::uint32_t passing = 0;
  /** @brief Runs that last. */
  std::uint32_t lasting = 0;
};

/** @brief Where a machine of a wave is. */
enum class MachineStage {
  kPending,
  /** @brief It gets no new work, and what lasts there is moved. */
  kDraining,
  /** @brief The order was sent; it may be down at any moment. */
  kTakeDownSent,
  /** @brief It is down for its upkeep. */
  kDown,
  /** @brief It is back. */
  kReturned,
};

/**
 * @brief One wave of upkeep and how far it is.
 *
 * Its rules: at most `cap` machines are between the order and their return; a
 * machine counts as done only once its upkeep surely began; the wave is done
 * when each machine that still exists has begun.
 */
class MachineWave {
 public:
  /**
   * @brief Makes a plan.
   * @param request The wave.
   * @param started Machines whose upkeep is known to have begun.
   * @param requested_at When the wave was asked for.
   */
  MachineWave(WaveRequest request,
              const std::vector<core::MachineId>& started,
              core::TimePoint requested_at);

  /** @brief Returns the wave. */
  const WaveRequest& Request() const { return m_request; }

  /** @brief Tells how much a machine is in use. */
  using UsageByMachine = std::map<core::MachineId, Usage>;

  /**
   * @brief Takes in the list of machines.
   * @param machines All machines.
   * @param now The time.
   * @return True if more machines have surely begun.
   */
  bool Update(const std::map<core::MachineId, Machine>& machines,
              core::TimePoint now);

  /**
   * @brief Names machines to empty now.
   * @param machines All machines.
   * @param usage Their use.
   * @param now The time.
   */
  std::vector<core::MachineId> ChooseNext(
      const std::map<core::MachineId, Machine>& machines,
      const UsageByMachine& usage,
      core::TimePoint now);

  /** @brief Takes in that a machine is being emptied. */
  void StartDraining(const core::MachineId& machine);
  /** @brief Takes in that the order was sent. */
  void MarkTakeDownSent(const core::MachineId& machine);
  /**
   * @brief Takes in the answer to an order.
   * @param machine The machine.
   * @param outcome The answer.
   * @param now The time.
   * @return True if its upkeep has surely begun.
   */
  bool HandleReply(const core::MachineId& machine,
                   MachineOutcome outcome,
                   core::TimePoint now);

  /** @brief Returns where a machine is; nothing if it is not of the wave. */
  std::optional<MachineStage> StageOf(const core::MachineId& machine) const;
  /** @brief Returns the machines at a stage. */
  std::vector<core::MachineId> MachinesAt(MachineStage stage) const;
  /** @brief Tells whether one more may be ordered down. */
  bool CanTakeDownMore() const;
  /** @brief Tells whether each machine that exists has begun. */
  bool IsDone() const;
  /** @brief Returns the machines that have begun. */
  std::vector<core::MachineId> StartedMachines() const;

 private:
  /** @brief A machine of the wave. */
  struct Item {
    MachineStage stage = MachineStage::kPending;
    bool has_started = false;
    /** @brief The platform lists it. */
    bool exists = true;
    /** @brief The list has shown it down. */
    bool was_listed_down = false;
    /** @brief When the order was answered. */
    core::TimePoint replied_at;
    /** @brief The worker on it when it was ordered down. */
    core::InstanceId worker;
  };

  bool MayDrain(const Usage& usage, int elapsed_percent) const;

  WaveRequest m_request;
  core::TimePoint m_requested_at;
  std::map<core::MachineId, Item> m_items;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_MACHINE_WAVE_H_
