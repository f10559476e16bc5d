#include "crocusmast/upkeep/cooldown_machine_port.h"

#include <algorithm>

namespace crocusmast::upkeep {

void CooldownMachinePort::BeginTerm(
    const std::optional<std::vector<job::MachineCooldown>>& cooldowns) {
  const core::TimePoint now = m_clock.Now();
  m_is_enabled = false;
  m_allowed_from.clear();
  m_last_command_at.clear();
  m_all_allowed_from = cooldowns ? now : now + m_cooldown;
  if (cooldowns) {
    for (const job::MachineCooldown& item : *cooldowns) {
      m_allowed_from[item.machine] = now + item.cooldown_remaining;
    }
  }
}

bool CooldownMachinePort::MayCommand(const core::MachineId& machine) const {
  const core::TimePoint now = m_clock.Now();
  const auto from = m_allowed_from.find(machine);
  return m_is_enabled && m_all_allowed_from <= now &&
         (from == m_allowed_from.end() || from->second <= now);
}

std::vector<job::MachineCooldown> CooldownMachinePort::RemainingCooldowns()
    const {
  const core::TimePoint now = m_clock.Now();
  std::map<core::MachineId, core::TimePoint> blocked_until = m_allowed_from;
  for (const auto& [machine, at] : m_last_command_at) {
    blocked_until[machine] = std::max(blocked_until[machine], at + m_cooldown);
  }
  std::vector<job::MachineCooldown> remaining;
  for (const auto& [machine, until] : blocked_until) {
    if (now < until) {
      remaining.push_back(
          {machine,
           std::chrono::duration_cast<std::chrono::milliseconds>(until - now)});
    }
  }
  return remaining;
}

void CooldownMachinePort::Move(core::FencingToken token,
                               const core::MachineId& machine,
                               const core::PoolId& pool) {
  m_last_command_at[machine] = m_clock.Now();
  m_port.Move(token, machine, pool);
}

void CooldownMachinePort::TakeDown(core::FencingToken token,
                                   const core::MachineId& machine,
                                   core::WaveNumber wave) {
  m_last_command_at[machine] = m_clock.Now();
  m_port.TakeDown(token, machine, wave);
}

}  // namespace crocusmast::upkeep
