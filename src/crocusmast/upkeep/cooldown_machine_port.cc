#include "crocusmast/upkeep/cooldown_machine_port.h"

namespace crocusmast::upkeep {

void CooldownMachinePort::BeginTerm(core::FencingToken token,
                                    const job::StoredHandover& stored) {
  m_is_enabled = false;
  m_record.BeginTerm(token, stored, m_clock.Now());
}

void CooldownMachinePort::EndTerm() {
  m_is_enabled = false;
  m_record.EndTerm();
}

void CooldownMachinePort::Move(core::FencingToken token,
                               const core::MachineId& machine,
                               const core::PoolId& pool) {
  m_record.AddCommand(machine, m_clock.Now());
  m_port.Move(token, machine, pool);
}

void CooldownMachinePort::TakeDown(core::FencingToken token,
                                   const core::MachineId& machine,
                                   core::WaveNumber wave) {
  m_record.AddCommand(machine, m_clock.Now());
  m_port.TakeDown(token, machine, wave);
}

}  // namespace crocusmast::upkeep
