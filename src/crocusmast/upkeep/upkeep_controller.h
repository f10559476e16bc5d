#ifndef CROCUSMAST_UPKEEP_UPKEEP_CONTROLLER_H_
#define CROCUSMAST_UPKEEP_UPKEEP_CONTROLLER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/cooldown_machine_port.h"
#include "crocusmast/upkeep/machine_port.h"
#include "crocusmast/upkeep/machine_wave.h"
#include "crocusmast/upkeep/worker_drain_port.h"

namespace crocusmast::upkeep {

/**
 * @brief Interval at which machines are listed while a wave is not done;
 * maintenance of a machine takes about two seconds.
 */
inline constexpr std::chrono::milliseconds kListInterval{700};
/**
 * @brief Interval after which a take-down command without a confirmed effect is
 * sent again.
 */
inline constexpr std::chrono::milliseconds kCommandRetryInterval{600};
/**
 * @brief Interval at which the status of a wave is written until it is stored.
 */
inline constexpr std::chrono::milliseconds kStatusRetryInterval{1500};

/** @brief Dependencies of the controller; all outlive it. */
struct UpkeepControllerPorts {
  CooldownMachinePort& machines;
  WorkerDrainPort& workers;
  const core::Clock& clock;
  core::Logger& logger;
};

/**
 * @brief Takes down the machines of maintenance waves and tracks their return,
 * within the limits of each wave.
 *
 * It acts only while this instance is the scheduling leader. It manages the
 * machines that run jobs; maintenance::Service manages the targets of requests.
 */
class UpkeepController {
 public:
  /**
   * @brief Creates an inactive controller.
   * @param ports Dependencies.
   */
  explicit UpkeepController(const UpkeepControllerPorts& ports);

  /**
   * @brief Starts a leadership term.
   * @param token Fencing token of the term.
   * @param progress Progress of the waves as stored by the earlier leader.
   */
  void BeginTerm(core::FencingToken token,
                 const std::vector<job::WaveProgress>& progress);
  /** @brief Ends the leadership term. */
  void EndTerm();

  /** @brief Processes an operator's request. */
  void Handle(const WaveRequested& message);
  void Handle(const WaveRemoved& message);
  /** @brief Processes a reply of the platform. */
  void Handle(MachineListReceived&& list);
  void Handle(const MachineCommandReply& reply);
  void Handle(const WaveStatusReply& reply);

  /** @brief Tells whether a machine is currently moving between pools. */
  using MovingPredicate = std::function<bool(const core::MachineId&)>;

  /**
   * @brief Runs one control cycle: requests lists, drains machines, sends
   * commands and writes statuses as they become due.
   * @param is_lease_valid True if the leader lease in the store is known to be
   * valid; otherwise no command is sent.
   * @param is_moving Tells which machines are moving between pools.
   * @return True if the progress to store has changed.
   */
  bool RunCycle(bool is_lease_valid, const MovingPredicate& is_moving);

  /**
   * @brief Tells whether a machine is draining, being taken down or down for a
   * wave.
   * @param machine Machine to look up.
   */
  bool IsReserved(const core::MachineId& machine) const;

  /** @brief Returns the workers that are drained for waves. */
  std::set<core::InstanceId> DrainedWorkers() const;

  /** @brief Returns the progress of the waves for a successor. */
  std::vector<job::WaveProgress> Progress() const;

 private:
  void CreateWaves();
  bool UpdateWave(MachineWave& wave);
  std::set<core::MachineId> MachinesOfOtherWaves(core::WaveNumber number) const;
  void DrainNext(MachineWave& wave, const MovingPredicate& is_moving);
  void Advance(MachineWave& wave, const MovingPredicate& is_moving);
  void MaybeSendTakeDown(MachineWave& wave, const core::MachineId& machine);
  void MaybeWriteStatus(MachineWave& wave);
  void Log(core::Severity severity,
           std::string sentence,
           std::vector<core::LogField> fields) const;

  UpkeepControllerPorts m_ports;
  bool m_is_active = false;
  bool m_has_new_progress = false;
  core::FencingToken m_token;
  core::TimePoint m_next_list_at;
  bool m_is_list_pending = false;
  /** @brief Wave and the time at which this instance first read it. */
  struct RequestedWave {
    WaveRequest request;
    core::TimePoint requested_at;
  };
  std::map<core::WaveNumber, RequestedWave> m_requested;
  /** @brief Machines of withdrawn waves, which may be in maintenance still. */
  std::set<core::MachineId> m_withdrawn_machines;
  /** @brief Machines whose maintenance started in an earlier term. */
  std::map<core::WaveNumber, std::vector<core::MachineId>> m_started_earlier;
  std::map<core::WaveNumber, MachineWave> m_waves;
  /** @brief Stored status of a wave, and the time of the next write. */
  struct Status {
    std::optional<bool> stored;
    core::TimePoint next_write_at;
  };
  std::map<core::WaveNumber, Status> m_status;
  std::map<core::MachineId, Machine> m_machines;
  std::map<core::MachineId, core::TimePoint> m_next_command_at;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_UPKEEP_CONTROLLER_H_
