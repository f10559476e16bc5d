#include "crocusmast/routing/target_table.h"

#include <algorithm>

namespace crocusmast::routing {
namespace internal {

// A new sample has a weight of 1 / kMeanTimeDivisor in the mean service time.
constexpr int kMeanTimeDivisor = 16;
// One of this many slots is reserved for urgent requests while the mean service
// time is long.
constexpr std::uint64_t kSlotsPerReservedSlot = 8;

bool Contains(const std::vector<core::InstanceId>* tried,
              const core::InstanceId& id) {
  return tried != nullptr &&
         std::find(tried->begin(), tried->end(), id) != tried->end();
}

}  // namespace internal

TargetTable::Rank TargetTable::RankOf(const Target& target) {
  return Rank(target.in_flight, target.last_used, target.record.id);
}

void TargetTable::SetTargets(const std::vector<fleet::InstanceRecord>& owned,
                             core::TimePoint now) {
  for (auto& [id, target] : m_targets) {
    target.was_owned = target.is_owned;
    target.is_owned = false;
  }
  for (const fleet::InstanceRecord& record : owned) {
    Add(record, now);
  }
  std::vector<core::InstanceId> ids;
  ids.reserve(m_targets.size());
  for (const auto& [id, target] : m_targets) {
    ids.push_back(id);
  }
  for (const core::InstanceId& id : ids) {
    UpdateEligibility(m_targets.at(id), now);
    EraseIfIdle(id);
  }
}

void TargetTable::Add(const fleet::InstanceRecord& record,
                      core::TimePoint now) {
  const auto found = m_targets.find(record.id);
  const bool is_same = found != m_targets.end() &&
                       found->second.record.incarnation == record.incarnation &&
                       found->second.record.pool == record.pool;
  if (is_same) {
    MarkIneligible(found->second);
    found->second.record = record;
    found->second.is_owned = true;
    if (!found->second.was_owned) {
      found->second.blocked_until = now + kTakeoverDelay;
    }
    return;
  }
  if (found != m_targets.end()) {
    MarkIneligible(found->second);
    PoolState& old_pool = m_pools[found->second.record.pool];
    old_pool.in_flight -= found->second.in_flight;
    old_pool.members.erase(record.id);
    m_targets.erase(found);
  }
  Target target;
  target.record = record;
  target.blocked_until = now + kTakeoverDelay;
  m_pools[record.pool].members.insert(record.id);
  m_targets.emplace(record.id, std::move(target));
}

void TargetTable::EraseIfIdle(const core::InstanceId& id) {
  const auto found = m_targets.find(id);
  if (found->second.is_owned || found->second.in_flight > 0) {
    return;
  }
  MarkIneligible(found->second);
  if (found->second.record.state == fleet::InstanceState::kLive) {
    m_released.push_back({id, found->second.record.incarnation});
  }
  const auto pool = m_pools.find(found->second.record.pool);
  pool->second.members.erase(id);
  if (pool->second.members.empty()) {
    m_pools.erase(pool);
  }
  m_targets.erase(found);
}

bool TargetTable::IsEligible(const Target& target, core::TimePoint now) const {
  const bool is_live = target.record.state == fleet::InstanceState::kLive;
  if (!is_live || !target.is_owned || now < target.blocked_until ||
      now < m_blocked_until) {
    return false;
  }
  if (target.circuit.State() == CircuitState::kOpen) {
    return false;
  }
  if (target.circuit.State() == CircuitState::kHalfOpen) {
    return target.in_flight == 0;
  }
  return target.in_flight < target.record.slots.Count();
}

void TargetTable::MarkIneligible(Target& target) {
  if (!target.is_eligible) {
    return;
  }
  PoolState& pool = m_pools[target.record.pool];
  pool.eligible.erase(RankOf(target));
  pool.free_slots -= target.record.slots.Count() - target.in_flight;
  target.is_eligible = false;
}

void TargetTable::UpdateEligibility(Target& target, core::TimePoint now) {
  MarkIneligible(target);
  target.circuit.Advance(now);
  if (IsEligible(target, now)) {
    PoolState& pool = m_pools[target.record.pool];
    pool.eligible.insert(RankOf(target));
    pool.free_slots += target.record.slots.Count() - target.in_flight;
    target.is_eligible = true;
    return;
  }
  core::TimePoint recheck_at = std::max(target.blocked_until, m_blocked_until);
  if (target.circuit.State() == CircuitState::kOpen) {
    recheck_at = std::max(recheck_at, target.circuit.OpenUntil());
  }
  if (now < recheck_at) {
    m_recheck_times.emplace(recheck_at, target.record.id);
  }
}

void TargetTable::Advance(core::TimePoint now) {
  while (!m_recheck_times.empty() && m_recheck_times.begin()->first <= now) {
    const core::InstanceId id = m_recheck_times.begin()->second;
    m_recheck_times.erase(m_recheck_times.begin());
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
      UpdateEligibility(found->second, now);
    }
  }
}

bool TargetTable::CanServe(const Target& target,
                           const TargetCriteria& criteria,
                           const PoolState& pool) const {
  const core::InstanceId& id = target.record.id;
  if (criteria.allowed != nullptr && criteria.allowed->count(id) == 0) {
    return false;
  }
  if (internal::Contains(criteria.tried, id)) {
    return false;
  }
  const bool needs_reserve = criteria.urgency != request::Urgency::kUrgent &&
                             pool.mean_service_time > kLongServiceTime;
  const std::uint64_t slots = target.record.slots.Count();
  const std::uint64_t reserve =
      needs_reserve ? slots / internal::kSlotsPerReservedSlot : 0;
  return target.in_flight + reserve < slots;
}

std::optional<ChosenTarget> TargetTable::Choose(const TargetCriteria& criteria,
                                                core::TimePoint now) {
  Advance(now);
  const auto found = m_pools.find(criteria.pool);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  for (const Rank& rank : found->second.eligible) {
    Target& target = m_targets.at(std::get<core::InstanceId>(rank));
    if (CanServe(target, criteria, found->second)) {
      return TakeSlot(target, now);
    }
  }
  return ChooseWithOpenCircuit(criteria, now);
}

// Chooses only if the circuits of all usable targets of the pool are open: the
// idle target whose open time ends first.
std::optional<ChosenTarget> TargetTable::ChooseWithOpenCircuit(
    const TargetCriteria& criteria,
    core::TimePoint now) {
  Target* best = nullptr;
  for (const core::InstanceId& id : m_pools.at(criteria.pool).members) {
    Target& target = m_targets.at(id);
    const bool is_usable = target.is_owned && target.blocked_until <= now &&
                           m_blocked_until <= now &&
                           target.record.state == fleet::InstanceState::kLive;
    if (!is_usable) {
      continue;
    }
    if (target.circuit.State() != CircuitState::kOpen) {
      return std::nullopt;
    }
    const bool is_better = best == nullptr || target.circuit.OpenUntil() <
                                                  best->circuit.OpenUntil();
    if (target.in_flight == 0 && is_better &&
        !internal::Contains(criteria.tried, id) &&
        (criteria.allowed == nullptr || criteria.allowed->count(id) > 0)) {
      best = &target;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return TakeSlot(*best, now);
}

ChosenTarget TargetTable::TakeSlot(Target& target, core::TimePoint now) {
  MarkIneligible(target);
  ++target.in_flight;
  ++m_pools[target.record.pool].in_flight;
  target.last_used = ++m_use_count;
  UpdateEligibility(target, now);
  return ChosenTarget{target.record.id, target.record.incarnation,
                      target.record.address};
}

bool TargetTable::Finish(const ChosenTarget& choice,
                         const AttemptReport& report,
                         core::TimePoint now) {
  const auto found = m_targets.find(choice.target);
  if (found == m_targets.end() ||
      found->second.record.incarnation != choice.incarnation) {
    return false;
  }
  Target& target = found->second;
  MarkIneligible(target);
  --target.in_flight;
  PoolState& pool = m_pools[target.record.pool];
  --pool.in_flight;
  bool opened = false;
  if (report.is_throttled) {
    target.circuit.Throttle(now, report.backoff);
  } else if (report.is_failure) {
    opened = target.circuit.RecordFailure(now);
  } else if (report.delivery == request::DeliveryStatus::kAnswered) {
    target.circuit.RecordSuccess();
    pool.mean_service_time +=
        (report.latency - pool.mean_service_time) / internal::kMeanTimeDivisor;
  }
  if (report.is_leaving) {
    target.record.state = fleet::InstanceState::kLeaving;
  }
  UpdateEligibility(target, now);
  EraseIfIdle(choice.target);
  return opened;
}

void TargetTable::MarkLeaving(const core::InstanceId& target) {
  const auto found = m_targets.find(target);
  if (found != m_targets.end()) {
    MarkIneligible(found->second);
    found->second.record.state = fleet::InstanceState::kLeaving;
  }
}

void TargetTable::EndTakeoverDelay(const ReleasedTarget& released,
                                   core::TimePoint now) {
  const auto found = m_targets.find(released.target);
  if (found == m_targets.end() ||
      found->second.record.incarnation != released.incarnation ||
      !found->second.is_owned) {
    return;
  }
  found->second.blocked_until = std::min(found->second.blocked_until, now);
  UpdateEligibility(found->second, now);
}

std::vector<ReleasedTarget> TargetTable::TakeReleased() {
  return std::exchange(m_released, {});
}

void TargetTable::BlockAll(core::TimePoint until) {
  m_blocked_until = std::max(m_blocked_until, until);
  for (auto& [id, target] : m_targets) {
    MarkIneligible(target);
    m_recheck_times.emplace(std::max(m_blocked_until, target.blocked_until),
                            id);
  }
}

std::uint64_t TargetTable::FreeSlots(const core::PoolId& pool) const {
  const auto found = m_pools.find(pool);
  return found == m_pools.end() ? 0 : found->second.free_slots;
}

std::uint64_t TargetTable::InFlight(const core::PoolId& pool) const {
  const auto found = m_pools.find(pool);
  return found == m_pools.end() ? 0 : found->second.in_flight;
}

std::uint64_t TargetTable::InFlightOn(const core::InstanceId& target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? 0 : found->second.in_flight;
}

std::vector<core::PoolId> TargetTable::Pools() const {
  std::vector<core::PoolId> pools;
  pools.reserve(m_pools.size());
  for (const auto& [id, pool] : m_pools) {
    pools.push_back(id);
  }
  return pools;
}

}  // namespace crocusmast::routing
