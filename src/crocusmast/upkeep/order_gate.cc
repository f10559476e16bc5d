#include "crocusmast/upkeep/order_gate.h"

#include <algorithm>

namespace crocusmast::upkeep {

void OrderGate::Begin(
    const std::optional<std::vector<job::OrderNote>>& last_orders) {
  const core::TimePoint now = m_clock.Now();
  m_is_noted = false;
  m_from.clear();
  m_ordered_at.clear();
  m_all_from = last_orders ? now : now + m_gap;
  if (last_orders) {
    for (const job::OrderNote& order : *last_orders) {
      m_from[order.machine] = now + order.closed_for;
    }
  }
}

bool OrderGate::IsOpen(const core::MachineId& machine) const {
  const core::TimePoint now = m_clock.Now();
  const auto from = m_from.find(machine);
  return m_is_noted && m_all_from <= now &&
         (from == m_from.end() || from->second <= now);
}

std::vector<job::OrderNote> OrderGate::LastOrders() const {
  const core::TimePoint now = m_clock.Now();
  std::map<core::MachineId, core::TimePoint> closed = m_from;
  for (const auto& [machine, at] : m_ordered_at) {
    closed[machine] = std::max(closed[machine], at + m_gap);
  }
  std::vector<job::OrderNote> orders;
  for (const auto& [machine, until] : closed) {
    if (now < until) {
      orders.push_back(
          {machine,
           std::chrono::duration_cast<std::chrono::milliseconds>(until - now)});
    }
  }
  return orders;
}

void OrderGate::Move(core::FencingToken token,
                     const core::MachineId& machine,
                     const core::PoolId& pool) {
  m_ordered_at[machine] = m_clock.Now();
  m_port.Move(token, machine, pool);
}

void OrderGate::TakeDown(core::FencingToken token,
                         const core::MachineId& machine,
                         core::WaveNumber wave) {
  m_ordered_at[machine] = m_clock.Now();
  m_port.TakeDown(token, machine, wave);
}

}  // namespace crocusmast::upkeep
