#ifndef CROCUSMAST_UPKEEP_UPKEEP_CONTROLLER_H_
#define CROCUSMAST_UPKEEP_UPKEEP_CONTROLLER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/machine_port.h"
#include "crocusmast/upkeep/machine_wave.h"
#include "crocusmast/upkeep/order_gate.h"
#include "crocusmast/upkeep/worker_keeper.h"

namespace crocusmast::upkeep {

/** @brief How often machines are listed while a wave is under way: an upkeep
 * takes about two seconds. */
inline constexpr std::chrono::milliseconds kListInterval{700};
/** @brief An order that was not answered or not done is repeated after this.
 */
inline constexpr std::chrono::milliseconds kCommandRetryInterval{600};
/** @brief How often the state of a wave is written until it is stored. */
inline constexpr std::chrono::milliseconds kStatusRetryInterval{1500};

/** @brief What the upkeep uses; all outlive it. */
struct UpkeepControllerPorts {
  OrderGate& machines;
  WorkerKeeper& workers;
  const core::Clock& clock;
  core::Logger& logger;
};

/** @brief Takes the machines of waves down and back, within their bounds. */
class UpkeepController {
 public:
  /**
   * @brief Makes an upkeep without the duty.
   * @param ports What it uses.
   */
  explicit UpkeepController(const UpkeepControllerPorts& ports);

  /**
   * @brief Begins a hold of the duty.
   * @param token The hold's token.
   * @param notes How far the waves were.
   */
  void BeginTerm(core::FencingToken token,
                 const std::vector<job::WaveNote>& notes);
  /** @brief Ends the hold. */
  void EndTerm();

  /** @brief Takes in what the operator asks for. */
  void Handle(const WaveAsked& asked);
  void Handle(const WaveRemoved& removed);
  /** @brief Takes in answers. */
  void Handle(MachinesListed&& listed);
  void Handle(const MachineReplied& replied);
  void Handle(const StatusWritten& written);

  /** @brief Tells which machines to leave alone for now. */
  using MovingPredicate = std::function<bool(const core::MachineId&)>;

  /**
   * @brief Does what is due.
   * @param is_lease_valid The store surely still names this holder; no order is
   * given otherwise.
   * @param is_moving Tells which machines are on their way between pools.
   * @return True if the notes have changed.
   */
  bool RunCycle(bool is_lease_valid, const MovingPredicate& is_moving);

  /** @brief Tells whether a machine is set aside or down for a wave. */
  bool IsReserved(const core::MachineId& machine) const;

  /** @brief Returns how far the waves are, for a successor. */
  std::vector<job::WaveNote> Progress() const;

 private:
  void CreateWaves();
  void Advance(MachineWave& wave, const MovingPredicate& is_moving);
  void SendTakeDown(MachineWave& wave, const core::MachineId& machine);
  void ReportStatus(MachineWave& wave);
  void Log(core::Severity severity,
           std::string sentence,
           std::vector<core::LogField> fields) const;

  UpkeepControllerPorts m_ports;
  bool m_is_active = false;
  bool m_is_changed = false;
  core::FencingToken m_token;
  core::TimePoint m_next_list_at;
  bool m_is_listing = false;
  /** @brief A wave and when this instance first read of it. */
  struct RequestedWave {
    WaveRequest request;
    core::TimePoint requested_at;
  };
  std::map<core::WaveNumber, RequestedWave> m_requested;
  std::map<core::WaveNumber, std::vector<core::MachineId>> m_started_before;
  std::map<core::WaveNumber, MachineWave> m_waves;
  /** @brief What is stored of a wave, and when to write again. */
  struct Status {
    std::optional<bool> stored;
    core::TimePoint write_at;
  };
  std::map<core::WaveNumber, Status> m_status;
  std::map<core::MachineId, Machine> m_machines;
  std::map<core::MachineId, core::TimePoint> m_next_command_at;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_UPKEEP_CONTROLLER_H_
