#ifndef CROCUSMAST_UPKEEP_ORDER_GATE_H_
#define CROCUSMAST_UPKEEP_ORDER_GATE_H_

#include <map>
#include <optional>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::upkeep {

/**
 * @brief Keeps the orders of two holders to one machine apart.
 *
 * A holder that gave the duty up has noted which machines it ordered lately;
 * after any other end of a hold each machine may have been ordered right before
 * it.
 */
class OrderGate final : public MachinePort {
 public:
  /**
   * @brief Makes a gate that is shut.
   * @param port Takes the orders; outlives the gate.
   * @param clock Tells the time; outlives the gate.
   * @param cooldown How far apart the orders of two holders must be.
   */
  OrderGate(MachinePort& port,
            const core::Clock& clock,
            std::chrono::milliseconds cooldown)
      : m_port(port), m_clock(clock), m_cooldown(cooldown) {}

  /**
   * @brief Begins a hold.
   * @param earlier_commands The earlier holder's orders; empty if they are
   * unknown.
   */
  void Begin(
      const std::optional<std::vector<job::OrderNote>>& earlier_commands);

  /**
   * @brief Takes in that notes of this hold are stored.
   *
   * Those of the earlier one say nothing of this holder's orders, so none is
   * given before.
   */
  void Open() { m_is_enabled = true; }

  /**
   * @brief Tells whether a machine may be ordered now.
   * @param machine The machine.
   */
  bool IsOpen(const core::MachineId& machine) const;

  /** @brief Returns the machines that a successor has to leave alone for now.
   */
  std::vector<job::OrderNote> RemainingCooldowns() const;

  void List() override { m_port.List(); }
  void Move(core::FencingToken token,
            const core::MachineId& machine,
            const core::PoolId& pool) override;
  void TakeDown(core::FencingToken token,
                const core::MachineId& machine,
                core::WaveNumber wave) override;
  void WriteStatus(core::FencingToken token,
                   core::WaveNumber wave,
                   bool is_done) override {
    m_port.WriteStatus(token, wave, is_done);
  }

 private:
  MachinePort& m_port;
  const core::Clock& m_clock;
  const std::chrono::milliseconds m_cooldown;
  bool m_is_enabled = false;
  /** @brief Before this no machine is ordered. */
  core::TimePoint m_all_allowed_from;
  /** @brief Machines that the earlier holder has ordered. */
  std::map<core::MachineId, core::TimePoint> m_allowed_from;
  /** @brief When this holder last ordered a machine. */
  std::map<core::MachineId, core::TimePoint> m_last_command_at;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_ORDER_GATE_H_
