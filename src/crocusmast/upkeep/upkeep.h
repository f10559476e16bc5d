#ifndef CROCUSMAST_UPKEEP_UPKEEP_H_
#define CROCUSMAST_UPKEEP_UPKEEP_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/machine_port.h"
#include "crocusmast/upkeep/order_gate.h"
#include "crocusmast/upkeep/wave_plan.h"
#include "crocusmast/upkeep/worker_keeper.h"

namespace crocusmast::upkeep {

/** @brief How often machines are listed while a wave is under way: an upkeep
 * takes about two seconds. */
inline constexpr std::chrono::milliseconds kListPause{700};
/** @brief An order that was not answered or not done is repeated after this.
 */
inline constexpr std::chrono::milliseconds kOrderRetry{600};
/** @brief How often the state of a wave is written until it is stored. */
inline constexpr std::chrono::milliseconds kStatusPause{1500};

/** @brief What the upkeep uses; all outlive it. */
struct UpkeepPorts {
  OrderGate& machines;
  WorkerKeeper& workers;
  const core::Clock& clock;
  core::Logger& logger;
};

/** @brief Takes the machines of waves down and back, within their bounds. */
class Upkeep {
 public:
  /**
   * @brief Makes an upkeep without the duty.
   * @param ports What it uses.
   */
  explicit Upkeep(const UpkeepPorts& ports);

  /**
   * @brief Begins a hold of the duty.
   * @param token The hold's token.
   * @param notes How far the waves were.
   */
  void Begin(core::FencingToken token, const std::vector<job::WaveNote>& notes);
  /** @brief Ends the hold. */
  void End();

  /** @brief Takes in what the operator asks for. */
  void Handle(const WaveAsked& asked);
  void Handle(const WaveRemoved& removed);
  /** @brief Takes in answers. */
  void Handle(MachinesListed&& listed);
  void Handle(const MachineReplied& replied);
  void Handle(const StatusWritten& written);

  /** @brief Tells which machines to leave alone for now. */
  using IsMoving = std::function<bool(const core::MachineId&)>;

  /**
   * @brief Does what is due.
   * @param is_sure The store surely still names this holder; no order is
   * given otherwise.
   * @param is_moving Tells which machines are on their way between pools.
   * @return True if the notes have changed.
   */
  bool Round(bool is_sure, const IsMoving& is_moving);

  /** @brief Tells whether a machine is set aside or down for a wave. */
  bool IsTaken(const core::MachineId& machine) const;

  /** @brief Returns how far the waves are, for a successor. */
  std::vector<job::WaveNote> Notes() const;

 private:
  void OpenPlans();
  void Advance(WavePlan& plan, const IsMoving& is_moving);
  void Order(WavePlan& plan, const core::MachineId& machine);
  void Report(WavePlan& plan);
  void Log(core::Severity severity,
           std::string sentence,
           std::vector<core::LogField> fields) const;

  UpkeepPorts m_ports;
  bool m_is_active = false;
  bool m_is_changed = false;
  core::FencingToken m_token;
  core::TimePoint m_list_at;
  bool m_is_listing = false;
  /** @brief A wave and when this instance first read of it. */
  struct Asked {
    WaveRequest request;
    core::TimePoint at;
  };
  std::map<core::WaveNumber, Asked> m_asked;
  std::map<core::WaveNumber, std::vector<core::MachineId>> m_noted;
  std::map<core::WaveNumber, WavePlan> m_plans;
  /** @brief What is stored of a wave, and when to write again. */
  struct Status {
    std::optional<bool> stored;
    core::TimePoint write_at;
  };
  std::map<core::WaveNumber, Status> m_status;
  std::map<core::MachineId, Machine> m_machines;
  std::map<core::MachineId, core::TimePoint> m_order_at;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_UPKEEP_H_
