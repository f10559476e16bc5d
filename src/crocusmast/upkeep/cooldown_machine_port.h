#ifndef CROCUSMAST_UPKEEP_COOLDOWN_MACHINE_PORT_H_
#define CROCUSMAST_UPKEEP_COOLDOWN_MACHINE_PORT_H_

#include <map>
#include <optional>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::upkeep {

/**
 * @brief Machine port that enforces a cooldown between the commands of two
 * successive leaders to the same machine.
 *
 * A leader that hands over stores which machines it has commanded recently.
 * If a term ends without a handover, any machine may have been commanded
 * immediately before the end, so the cooldown applies to all machines.
 */
class CooldownMachinePort final : public MachinePort {
 public:
  /**
   * @brief Creates the port; commands stay disabled until EnableCommands().
   * @param port Port that executes the commands; outlives this object.
   * @param clock Monotonic clock; outlives this object.
   * @param cooldown Minimum time between the commands of two leaders to the
   * same machine.
   */
  CooldownMachinePort(MachinePort& port,
                      const core::Clock& clock,
                      std::chrono::milliseconds cooldown)
      : m_port(port), m_clock(clock), m_cooldown(cooldown) {}

  /**
   * @brief Starts a leadership term.
   * @param cooldowns Remaining cooldowns handed over by the earlier
   * leader; empty if they are unknown.
   */
  void BeginTerm(
      const std::optional<std::vector<job::MachineCooldown>>& cooldowns);

  /**
   * @brief Enables commands; to be called once the handover state of this term
   * is stored.
   *
   * Until then, a successor would read the state of the earlier term, which
   * does not contain this leader's commands, and would not apply a cooldown to
   * them.
   */
  void EnableCommands() { m_is_enabled = true; }

  /**
   * @brief Tells whether a machine may be commanded now.
   * @param machine Machine to check.
   * @return False during the machine's cooldown, and before EnableCommands().
   */
  bool MayCommand(const core::MachineId& machine) const;

  /**
   * @brief Returns the machines that a successor must not command yet, with the
   * remaining times.
   */
  std::vector<job::MachineCooldown> RemainingCooldowns() const;

  /** @brief Returns when the list of machines was requested last. */
  core::TimePoint ListRequestedAt() const { return m_list_requested_at; }

  void RequestMachineList() override {
    m_list_requested_at = m_clock.Now();
    m_port.RequestMachineList();
  }
  void Move(core::FencingToken token,
            const core::MachineId& machine,
            const core::PoolId& pool) override;
  void TakeDown(core::FencingToken token,
                const core::MachineId& machine,
                core::WaveNumber wave) override;
  void WriteWaveStatus(core::FencingToken token,
                       core::WaveNumber wave,
                       bool is_done) override {
    m_port.WriteWaveStatus(token, wave, is_done);
  }

 private:
  MachinePort& m_port;
  const core::Clock& m_clock;
  const std::chrono::milliseconds m_cooldown;
  bool m_is_enabled = false;
  core::TimePoint m_list_requested_at;
  /** @brief Time before which no machine may be commanded. */
  core::TimePoint m_all_allowed_from;
  /**
   * @brief Times before which machines commanded by the earlier leader may not
   * be commanded.
   */
  std::map<core::MachineId, core::TimePoint> m_allowed_from;
  /** @brief Time of this leader's last command to each machine. */
  std::map<core::MachineId, core::TimePoint> m_last_command_at;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_COOLDOWN_MACHINE_PORT_H_
