#include "crocusmast/capacity/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusmast::capacity {

using upkeep::Machine;
using upkeep::MachineOutcome;
using upkeep::MachineState;

Balancer::Balancer(const BalancerPorts& ports,
                   std::chrono::milliseconds order_gap)
    : m_ports(ports), m_order_gap(order_gap) {}

void Balancer::Begin(core::FencingToken token) {
  End();
  m_is_active = true;
  m_token = token;
  m_orders_from = m_ports.clock.Now() + m_order_gap;
}

void Balancer::End() {
  m_is_active = false;
  m_look_at = {};
  m_listed_at = {};
  m_list_asked_at = {};
  m_standby = {};
  m_machines.clear();
  m_own.clear();
  m_moves.clear();
  m_idle_since.clear();
  m_avoided_until.clear();
}

void Balancer::Handle(const upkeep::MachinesListed& listed) {
  if (!m_is_active || !listed.is_known) {
    return;
  }
  m_listed_at = m_ports.clock.Now();
  const bool is_first = m_own.empty();
  m_machines.clear();
  for (const Machine& machine : listed.machines) {
    m_machines.emplace(machine.id, machine);
    if (is_first) {
      ++m_own[machine.pool];
    }
  }
  Settle();
}

void Balancer::Settle() {
  for (auto move = m_moves.begin(); move != m_moves.end();) {
    const auto machine = m_machines.find(move->first);
    const bool is_over =
        machine == m_machines.end() ||
        (move->second.is_done && machine->second.state == MachineState::kUp &&
         machine->second.pool == move->second.to);
    move = is_over ? m_moves.erase(move) : std::next(move);
  }
}

void Balancer::Handle(const upkeep::MachineReplied& replied) {
  const auto move = m_moves.find(replied.machine);
  if (!m_is_active || move == m_moves.end() || move->second.is_done) {
    return;
  }
  const bool is_impossible = replied.outcome == MachineOutcome::kBusy ||
                             replied.outcome == MachineOutcome::kNotOfWave ||
                             replied.outcome == MachineOutcome::kFenced;
  if (replied.outcome == MachineOutcome::kDone) {
    move->second.is_done = true;
    m_idle_since.erase(replied.machine);
  } else if (is_impossible) {
    m_avoided_until[replied.machine] = m_ports.clock.Now() + kMoveAvoidance;
    m_moves.erase(move);
  }
}

std::size_t Balancer::CountIncoming(const core::PoolId& pool) const {
  return static_cast<std::size_t>(std::count_if(
      m_moves.begin(), m_moves.end(),
      [&pool](const auto& one) { return one.second.to == pool; }));
}

double Balancer::CoresOf(const PoolLoad& load) const {
  constexpr double kUsualCores = 16;
  const auto machines = static_cast<double>(std::count_if(
      m_machines.begin(), m_machines.end(), [&load](const auto& one) {
        return one.second.pool == load.pool &&
               one.second.state == MachineState::kUp;
      }));
  return machines > 0 && load.capacity_cores > 0
             ? load.capacity_cores / machines
             : kUsualCores;
}

void Balancer::Round(bool is_sure, const IsTaken& is_taken) {
  const core::TimePoint now = m_ports.clock.Now();
  if (!m_is_active || now < m_look_at) {
    return;
  }
  m_look_at = now + kLookPause;
  const std::vector<PoolLoad> loads = m_ports.loads.PoolLoads();
  const auto standby =
      std::find_if(loads.begin(), loads.end(),
                   [](const PoolLoad& load) { return load.is_standby; });
  if (standby == loads.end()) {
    return;
  }
  m_standby = standby->pool;
  const auto age = m_moves.empty() ? kCalmListAge : kListAge;
  if (m_listed_at + age <= now && m_list_asked_at + kListAge <= now) {
    m_list_asked_at = now;
    m_ports.machines.List();
  }
  if (!is_sure || now < m_orders_from || m_machines.empty()) {
    return;
  }
  for (const auto& [machine, move] : m_moves) {
    if (!move.is_done && move.order_at + kMoveRetry <= now) {
      Order(machine, move.to);
    }
  }
  for (const PoolLoad& load : loads) {
    if (!load.is_standby) {
      Lend(load, is_taken);
      Return(load, is_taken);
    }
  }
}

void Balancer::Lend(const PoolLoad& load, const IsTaken& is_taken) {
  const double wanted_cores =
      load.waiting_core_seconds / kBacklogSeconds + load.running_cores;
  const double cores = CoresOf(load);
  const double missing = wanted_cores - load.capacity_cores -
                         cores * static_cast<double>(CountIncoming(load.pool));
  auto count = static_cast<std::int64_t>(std::floor(missing / cores));
  for (const auto& [id, machine] : m_machines) {
    if (count <= 0) {
      return;
    }
    const auto avoided = m_avoided_until.find(id);
    const bool is_free = machine.pool == m_standby &&
                         machine.state == MachineState::kUp && !IsMoving(id) &&
                         !is_taken(id) &&
                         (avoided == m_avoided_until.end() ||
                          avoided->second <= m_ports.clock.Now());
    if (!is_free) {
      continue;
    }
    --count;
    Log("Machine " + id.Text() + " goes to pool " + load.pool.Text() +
            ": its backlog is " +
            std::to_string(
                static_cast<std::int64_t>(load.waiting_core_seconds)) +
            " core-seconds.",
        {{"event", "machine_lent"},
         {"machine", id.Text()},
         {"pool", load.pool.Text()},
         {"waiting_core_seconds", std::to_string(load.waiting_core_seconds)},
         {"running_cores", std::to_string(load.running_cores)},
         {"capacity_cores", std::to_string(load.capacity_cores)}});
    Order(id, load.pool);
  }
}

void Balancer::Return(const PoolLoad& load, const IsTaken& is_taken) {
  const core::TimePoint now = m_ports.clock.Now();
  std::size_t machines = 0;
  for (const auto& [id, machine] : m_machines) {
    machines += machine.pool == load.pool && !IsMoving(id) ? 1 : 0;
  }
  const bool has_slack = load.waiting_cores <= 0 &&
                         load.running_cores < kSlackShare * load.capacity_cores;
  for (const auto& [id, machine] : m_machines) {
    if (machine.pool != load.pool) {
      continue;
    }
    const bool is_idle = has_slack && machine.state == MachineState::kUp &&
                         !machine.worker.IsEmpty() && !IsMoving(id) &&
                         !is_taken(id) &&
                         m_ports.workers.IsEmpty(machine.worker);
    if (!is_idle) {
      m_idle_since.erase(id);
      continue;
    }
    const core::TimePoint since = m_idle_since.emplace(id, now).first->second;
    if (machines <= m_own[load.pool] || now < since + kIdleBeforeReturn) {
      continue;
    }
    --machines;
    m_ports.workers.SetAside(machine.worker);
    Log("Machine " + id.Text() + " goes back to standby: it was idle in pool " +
            load.pool.Text() + ".",
        {{"event", "machine_returned"},
         {"machine", id.Text()},
         {"pool", load.pool.Text()}});
    Order(id, m_standby);
  }
}

void Balancer::Order(const core::MachineId& machine, const core::PoolId& to) {
  const core::TimePoint now = m_ports.clock.Now();
  m_moves[machine] = {to, now, false};
  m_ports.machines.Move(m_token, machine, to);
}

void Balancer::Log(std::string sentence,
                   std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(core::Severity::kInfo)) {
    m_ports.logger.Write({core::Part::kCapacity, core::Severity::kInfo,
                          std::move(sentence), std::move(fields)});
  }
}

}  // namespace crocusmast::capacity
