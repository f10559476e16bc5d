#ifndef CROCUSMAST_UPKEEP_COOLDOWN_MACHINE_PORT_H_
#define CROCUSMAST_UPKEEP_COOLDOWN_MACHINE_PORT_H_

#include <optional>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/command_record.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::upkeep {

/**
 * @brief Machine port that enforces a cooldown between the commands of two
 * successive leaders to the same machine.
 *
 * A leader that hands over stores which machines it has commanded recently. If
 * a term ends without a handover, the cooldown applies to the machines of the
 * leader's CommandRecord, or to all machines if there is none.
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
      : m_port(port), m_clock(clock), m_record(cooldown) {}

  /**
   * @brief Starts a leadership term.
   * @param token Fencing token of the term.
   * @param stored State that the earlier leader stored.
   */
  void BeginTerm(core::FencingToken token, const job::StoredHandover& stored);

  /** @brief Ends the term and disables commands. */
  void EndTerm();

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
  bool MayCommand(const core::MachineId& machine) const {
    return m_is_enabled && !m_record.IsBlocked(machine, m_clock.Now());
  }

  /** @brief Returns the number of machines in cooldown after commands of
   * earlier leaders; absent if all are. */
  std::optional<std::size_t> CountBlocked() const {
    return m_record.CountBlocked(m_clock.Now());
  }

  /**
   * @brief Announces a command to a machine; to be repeated until the command
   * is sent.
   * @param machine Machine to command.
   * @return True once the announcement is stored, so that the command may be
   * sent.
   */
  bool Announce(const core::MachineId& machine) {
    return m_record.Announce(machine, m_clock.Now());
  }

  /** @brief Returns the record of commanded machines to store, if a new one is
   * due. */
  std::optional<job::CommandedMachines> NextRecord() {
    return m_record.NextRecord(m_clock.Now());
  }

  /**
   * @brief Handles the confirmation that a record is stored.
   * @param record The record.
   */
  void HandleStored(const job::CommandedMachines& record) {
    m_record.HandleStored(record);
  }

  /**
   * @brief Handles the reply to a command.
   * @param reply The reply.
   */
  void Handle(const MachineCommandReply& reply) {
    m_record.AddReply(reply, m_clock.Now());
  }

  /**
   * @brief Returns the machines that a successor must not command yet, with the
   * remaining times.
   */
  std::vector<job::MachineCooldown> RemainingCooldowns() const {
    return m_record.RemainingCooldowns(m_clock.Now());
  }

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
  bool m_is_enabled = false;
  core::TimePoint m_list_requested_at;
  CommandRecord m_record;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_COOLDOWN_MACHINE_PORT_H_
