#include "crocusmast/capacity/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusmast::capacity {

using upkeep::Machine;
using upkeep::MachineState;

Balancer::Balancer(const BalancerPorts& ports) : m_ports(ports) {}

void Balancer::BeginTerm(core::FencingToken token,
                         const std::vector<job::PoolSize>& pools) {
  EndTerm();
  m_is_active = true;
  m_token = token;
  for (const job::PoolSize& size : pools) {
    m_baseline[size.pool] = size.machines;
  }
}

void Balancer::EndTerm() {
  m_is_active = false;
  m_has_new_sizes = false;
  m_next_check_at = {};
  m_next_log_at = {};
  m_listed_at = {};
  m_list_sent_at = {};
  m_list_requested_at = {};
  m_machines.clear();
  m_baseline.clear();
  m_moves.clear();
  m_idle_since.clear();
  m_cooldown_until.clear();
  m_invalid_moves.clear();
  m_late_limits.clear();
}

void Balancer::Handle(const upkeep::MachineListReceived& list) {
  if (!m_is_active || !list.is_known) {
    return;
  }
  m_listed_at = m_ports.clock.Now();
  m_list_sent_at = list.requested_at;
  const bool is_first = m_baseline.empty();
  m_machines.clear();
  for (const Machine& machine : list.machines) {
    m_machines.emplace(machine.id, machine);
    if (is_first) {
      ++m_baseline[machine.pool];
    }
  }
  m_has_new_sizes = m_has_new_sizes || is_first;
  RemoveFinishedMoves();
}

std::vector<job::PoolSize> Balancer::PoolSizes() const {
  std::vector<job::PoolSize> sizes;
  for (const auto& [pool, machines] : m_baseline) {
    sizes.push_back({pool, static_cast<std::uint32_t>(machines)});
  }
  return sizes;
}

bool Balancer::RunCycle(bool is_lease_valid,
                        const ReservedPredicate& is_reserved) {
  const core::TimePoint now = m_ports.clock.Now();
  if (!m_is_active || now < m_next_check_at) {
    return false;
  }
  m_next_check_at = now + kCheckInterval;
  RemoveRejectedMoves();
  std::map<core::PoolId, PoolView> views = BuildPoolViews(is_reserved);
  const bool has_standby = std::any_of(
      views.begin(), views.end(),
      [](const auto& entry) { return entry.second.load.is_standby; });
  if (!has_standby) {
    return std::exchange(m_has_new_sizes, false);
  }
  const auto age = m_moves.empty() ? kMaxListAge : kMaxListAgeDuringMoves;
  if (m_listed_at + age <= now &&
      m_list_requested_at + kMaxListAgeDuringMoves <= now) {
    m_list_requested_at = now;
    m_ports.machines.RequestMachineList();
  }
  LogLoads(views);
  LimitLateJobs(views);
  if (is_lease_valid && !m_machines.empty()) {
    for (const auto& [machine, move] : m_moves) {
      if (MayRequest(move) && move.requested_at + kMoveRetryInterval <= now) {
        RequestMove(machine);
      }
    }
    BorrowMachines(views);
    for (auto& [pool, view] : views) {
      ReturnMachines(view, views);
    }
  }
  return std::exchange(m_has_new_sizes, false);
}

std::map<core::PoolId, Balancer::PoolView> Balancer::BuildPoolViews(
    const ReservedPredicate& is_reserved) {
  constexpr double kDefaultMachineCores = 16;
  std::map<core::PoolId, PoolView> views;
  for (PoolLoad& load : m_ports.loads.PoolLoads()) {
    const core::PoolId pool = load.pool;
    views[pool].load = std::move(load);
  }
  // A machine that is down does not come back in time for the work that waits.
  std::map<core::PoolId, std::size_t> down_count;
  for (const auto& [id, machine] : m_machines) {
    const auto move = m_moves.find(id);
    const core::PoolId& pool =
        move == m_moves.end() ? machine.pool : move->second.to;
    ++views[pool].machines;
    down_count[pool] += machine.state == MachineState::kDown ? 1 : 0;
  }
  for (auto& entry : views) {
    const core::PoolId& pool = entry.first;
    PoolView& view = entry.second;
    const PoolLoad& load = view.load;
    view.load.pool = pool;
    view.machine_cores =
        load.ready_workers > 0
            ? load.capacity_cores / static_cast<double>(load.ready_workers)
            : kDefaultMachineCores;
    const double backlog_cores =
        load.waiting_core_seconds / kToleratedBacklogSeconds;
    const std::size_t others =
        load.ready_workers + load.unavailable_workers + down_count[pool];
    view.arriving_machines = view.machines - std::min(view.machines, others);
    const auto deficit = [&](double arriving_cores) {
      const double needed_cores =
          backlog_cores + std::max(load.running_cores, arriving_cores);
      return (needed_cores - load.capacity_cores) / view.machine_cores -
             static_cast<double>(view.arriving_machines);
    };
    view.deficit = deficit(load.arriving_cores);
    view.steady_deficit = deficit(load.steady_cores);
  }
  FindIdleMachines(views, is_reserved);
  return views;
}

void Balancer::FindIdleMachines(std::map<core::PoolId, PoolView>& views,
                                const ReservedPredicate& is_reserved) {
  const core::TimePoint now = m_ports.clock.Now();
  for (const auto& [id, machine] : m_machines) {
    const auto found = views.find(machine.pool);
    if (found == views.end()) {
      continue;
    }
    PoolView& view = found->second;
    const auto cooldown = m_cooldown_until.find(id);
    const bool can_move =
        machine.state == MachineState::kUp && !IsMoving(id) &&
        (cooldown == m_cooldown_until.end() || cooldown->second <= now);
    const bool is_idle = can_move &&
                         (view.load.is_standby ||
                          (!machine.worker.IsEmpty() &&
                           m_ports.workers.IsConfirmedIdle(machine.worker))) &&
                         !is_reserved(id);
    const bool is_held = is_idle && !m_ports.machines.MayCommand(id);
    view.held_machines += is_held ? 1 : 0;
    if (is_idle && !is_held) {
      m_idle_since.emplace(id, now);
      view.idle.push_back(id);
    } else {
      m_idle_since.erase(id);
    }
  }
  for (auto& entry : views) {
    std::vector<core::MachineId>& idle = entry.second.idle;
    std::stable_sort(idle.begin(), idle.end(),
                     [this](const auto& left, const auto& right) {
                       return m_idle_since[right] < m_idle_since[left];
                     });
  }
}

std::size_t Balancer::BaselineOf(const core::PoolId& pool) const {
  const auto baseline = m_baseline.find(pool);
  return baseline == m_baseline.end() ? 0 : baseline->second;
}

void Balancer::LogLoads(const std::map<core::PoolId, PoolView>& views) {
  const core::TimePoint now = m_ports.clock.Now();
  if (now < m_next_log_at) {
    return;
  }
  m_next_log_at = now + kLogInterval;
  const auto rounded = [](double value) {
    return std::to_string(static_cast<std::int64_t>(std::llround(value)));
  };
  std::vector<core::LogField> fields{{"event", "pool_loads"}};
  for (const auto& [pool, view] : views) {
    const PoolLoad& load = view.load;
    fields.push_back(
        {pool.Text(),
         std::to_string(view.machines) + " " +
             std::to_string(view.idle.size()) + " " +
             rounded(load.capacity_cores) + " " + rounded(load.running_cores) +
             " " + rounded(load.waiting_cores) + " " +
             rounded(load.arriving_cores) + " " +
             std::to_string(load.waiting_in_time) + " " +
             std::to_string(load.waiting_late) + " " +
             std::to_string(load.waiting_expired) + " " +
             std::to_string(load.ready_workers) + " " +
             std::to_string(view.arriving_machines) + " " +
             rounded(view.deficit) + " " + rounded(view.steady_deficit) + " " +
             std::to_string(view.held_machines)});
  }
  Log("Pool loads, as: machines, idle machines, cores, cores in use, cores "
      "needed by waiting tasks, cores needed by recent arrivals, waiting jobs "
      "in time, late and expired, ready workers, arriving machines, missing "
      "machines by the peak and by the steady arrival rate, idle machines "
      "that may not be commanded yet.",
      std::move(fields));
}

bool Balancer::HasSpareCapacity(const PoolView& view) const {
  const PoolLoad& load = view.load;
  return load.waiting_cores <= 0 &&
         std::max(load.running_cores, load.arriving_cores) <
             kSpareCapacityUtilization * load.capacity_cores;
}

void Balancer::LimitLateJobs(const std::map<core::PoolId, PoolView>& views) {
  constexpr double kMilliCoresPerCore = 1000;
  m_late_limits.clear();
  for (const auto& [pool, view] : views) {
    const bool is_needed_elsewhere =
        BaselineOf(pool) < view.machines &&
        std::any_of(views.begin(), views.end(),
                    [&view = view](const auto& other) {
                      return &other.second != &view &&
                             0 < other.second.load.waiting_in_time &&
                             kMinDeficit <= other.second.deficit;
                    });
    if (is_needed_elsewhere) {
      m_late_limits[pool] = core::MilliCores(
          static_cast<std::uint64_t>(static_cast<double>(BaselineOf(pool)) *
                                     view.machine_cores * kMilliCoresPerCore));
    }
  }
}

void Balancer::BorrowMachines(std::map<core::PoolId, PoolView>& views) {
  std::vector<PoolView*> borrowers;
  for (auto& [pool, view] : views) {
    if (!view.load.is_standby && kMinDeficit <= view.deficit) {
      borrowers.push_back(&view);
    }
  }
  while (!borrowers.empty()) {
    const auto neediest =
        std::max_element(borrowers.begin(), borrowers.end(),
                         [](const PoolView* left, const PoolView* right) {
                           return left->deficit < right->deficit;
                         });
    PoolView* lender = FindLender(**neediest, views);
    if (lender != nullptr) {
      MoveMachine(*lender, **neediest, "capacity deficit");
    }
    if (lender == nullptr || (*neediest)->deficit < kMinDeficit) {
      borrowers.erase(neediest);
    }
  }
}

Balancer::PoolView* Balancer::FindLender(
    const PoolView& borrower,
    std::map<core::PoolId, PoolView>& views) {
  PoolView* best = nullptr;
  for (auto& [pool, view] : views) {
    if (&view == &borrower || view.idle.empty() ||
        IsBanned(pool, borrower.load.pool)) {
      continue;
    }
    if (view.load.is_standby) {
      return &view;
    }
    const auto retained = static_cast<std::size_t>(
        std::ceil(kMinRetainedShare * static_cast<double>(BaselineOf(pool))));
    const bool can_lend = borrower.steady_deficit >= kMinDeficit &&
                          HasSpareCapacity(view) && view.deficit < -1 &&
                          retained < view.machines;
    if (can_lend && (best == nullptr || view.deficit < best->deficit)) {
      best = &view;
    }
  }
  return best;
}

void Balancer::ReturnMachines(PoolView& view,
                              std::map<core::PoolId, PoolView>& views) {
  const core::PoolId& pool = view.load.pool;
  const core::TimePoint now = m_ports.clock.Now();
  while (!view.load.is_standby && BaselineOf(pool) < view.machines &&
         HasSpareCapacity(view) && !view.idle.empty() &&
         m_idle_since[view.idle.back()] + kIdleTimeBeforeReturn <= now) {
    PoolView* to = nullptr;
    for (auto& [other, candidate] : views) {
      const bool is_below_baseline = candidate.machines < BaselineOf(other);
      if (&candidate != &view && !IsBanned(pool, other) &&
          (is_below_baseline || candidate.load.is_standby) &&
          (to == nullptr || !candidate.load.is_standby)) {
        to = &candidate;
      }
    }
    if (to == nullptr) {
      return;
    }
    MoveMachine(view, *to, "idle machine");
  }
}

void Balancer::Log(std::string sentence,
                   std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(core::Severity::kInfo)) {
    m_ports.logger.Write({core::Component::kCapacity, core::Severity::kInfo,
                          std::move(sentence), std::move(fields)});
  }
}

}  // namespace crocusmast::capacity
