#include "crocusmast/maintenance/budget.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace crocusmast::maintenance {
namespace internal {

constexpr std::uint64_t kHundredPercent = 100;

bool IsLive(const fleet::InstanceRecord& target) {
  return target.state == fleet::InstanceState::kLive;
}

/** @brief Number of unavailable targets in each rack and availability zone. */
struct UnavailableCounts {
  std::map<core::RackId, int> racks;
  std::map<core::ZoneId, int> zones;

  void Add(const fleet::InstanceRecord& target) {
    ++racks[target.rack];
    ++zones[target.zone];
  }

  /** @brief Returns the sort key of a target; the lowest drains first. */
  std::tuple<int, int, core::InstanceId> SortKey(
      const fleet::InstanceRecord& target) {
    return {racks[target.rack], zones[target.zone], target.id};
  }
};

/**
 * @brief Returns the live targets of a pool that are still pending in the wave.
 */
std::vector<fleet::InstanceRecord> FindCandidates(const Wave& wave,
                                                  const DrainInput& input,
                                                  const core::PoolId& pool) {
  std::set<std::pair<core::InstanceId, std::uint64_t>> pending;
  for (const WaveItem& item : wave.Items()) {
    if (item.state == ItemState::kPending && item.pool == pool) {
      pending.emplace(item.instance, item.incarnation.Count());
    }
  }
  std::vector<fleet::InstanceRecord> candidates;
  for (const fleet::InstanceRecord& target : input.targets) {
    if (IsLive(target) &&
        pending.count({target.id, target.incarnation.Count()}) > 0) {
      candidates.push_back(target);
    }
  }
  return candidates;
}

/**
 * @brief Counts the slots of the targets that the wave is already draining or
 * rebooting but that an outdated membership list still shows as live.
 */
core::Slots CountSlotsInMaintenance(const Wave& wave,
                                    const DrainInput& input,
                                    const core::PoolId& pool) {
  std::uint64_t slots = 0;
  for (const WaveItem& item : wave.Items()) {
    const bool is_in_maintenance = item.state == ItemState::kDraining ||
                                   item.state == ItemState::kRebooting;
    if (!is_in_maintenance || item.pool != pool) {
      continue;
    }
    for (const fleet::InstanceRecord& target : input.targets) {
      if (target.id == item.instance && IsLive(target) &&
          target.incarnation == item.incarnation) {
        slots += target.slots.Count();
      }
    }
  }
  return core::Slots(slots);
}

std::string DescribeShortage(const core::PoolId& pool,
                             const PoolBudget& budget) {
  return "Pool " + pool.Text() +
         " is blocked: " + std::to_string(budget.live.Count()) +
         " slots are live, its plans are guaranteed " +
         std::to_string(budget.guaranteed.Count()) + ". ";
}

void SelectPoolDrains(const Wave& wave,
                      const DrainInput& input,
                      const core::PoolId& pool,
                      UnavailableCounts& unavailable,
                      DrainSelection& selection) {
  std::vector<fleet::InstanceRecord> candidates =
      FindCandidates(wave, input, pool);
  PoolBudget budget = ComputeBudget(input, pool);
  budget.live = budget.live - CountSlotsInMaintenance(wave, input, pool);
  while (!candidates.empty()) {
    const auto next = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const auto& left, const auto& right) {
          return unavailable.SortKey(left) < unavailable.SortKey(right);
        });
    const core::Slots after = budget.live - next->slots;
    if (after < budget.guaranteed) {
      selection.block_reason += DescribeShortage(pool, budget);
      return;
    }
    budget.live = after;
    unavailable.Add(*next);
    selection.instances.push_back(next->id);
    candidates.erase(next);
  }
}

}  // namespace internal

PoolBudget ComputeBudget(const DrainInput& input, const core::PoolId& pool) {
  std::uint64_t live = 0;
  for (const fleet::InstanceRecord& target : input.targets) {
    if (target.pool == pool && internal::IsLive(target)) {
      live += target.slots.Count();
    }
  }
  std::uint64_t guaranteed = 0;
  const auto& rows = input.lists.Rows();
  for (const auto& [key, row] : rows) {
    const auto* allowance = std::get_if<configuration::Allowance>(&row);
    if (allowance == nullptr || allowance->pool != pool) {
      continue;
    }
    const auto& plan =
        std::get<configuration::Plan>(rows.at({allowance->plan, {}}));
    guaranteed += (allowance->slots.Count() * plan.availability.Count() +
                   internal::kHundredPercent - 1) /
                  internal::kHundredPercent;
  }
  return PoolBudget{core::Slots(live), core::Slots(guaranteed)};
}

DrainSelection SelectDrains(const Wave& wave, const DrainInput& input) {
  DrainSelection selection;
  if (wave.State() != WaveState::kRunning) {
    return selection;
  }
  internal::UnavailableCounts unavailable;
  for (const fleet::InstanceRecord& target : input.targets) {
    if (!internal::IsLive(target)) {
      unavailable.Add(target);
    }
  }
  std::set<core::PoolId> pools;
  for (const WaveItem& item : wave.Items()) {
    pools.insert(item.pool);
  }
  for (const core::PoolId& pool : pools) {
    internal::SelectPoolDrains(wave, input, pool, unavailable, selection);
  }
  return selection;
}

}  // namespace crocusmast::maintenance
