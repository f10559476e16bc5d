#ifndef CROCUSMAST_MAINTENANCE_BUDGET_H_
#define CROCUSMAST_MAINTENANCE_BUDGET_H_

#include <string>
#include <vector>

#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/maintenance/wave.h"

namespace crocusmast::maintenance {

/** @brief Input of the drain selection. */
struct DrainInput {
  /** @brief Current plan lists. */
  const configuration::PlanLists& lists;
  /** @brief All targets of the region, live and leaving. */
  const std::vector<fleet::InstanceRecord>& targets;
};

/**
 * @brief Disruption budget of a pool: the live slots above the guaranteed ones
 * may be drained.
 */
struct PoolBudget {
  /** @brief Total slots of the live targets. */
  core::Slots live;
  /** @brief Total slots that the pool's plans are guaranteed. */
  core::Slots guaranteed;
};

/**
 * @brief Computes the disruption budget of a pool.
 *
 * A plan is guaranteed the percentage of its slots given by its availability,
 * rounded up. Only live targets contribute slots, so targets that are
 * unavailable for any reason, such as a failure, use up the budget too.
 *
 * @param input Plan lists and targets.
 * @param pool Pool to compute.
 * @return The live and the guaranteed slots.
 */
PoolBudget ComputeBudget(const DrainInput& input, const core::PoolId& pool);

/**
 * @brief Instances that may start to drain, and the pools that block the rest.
 */
struct DrainSelection {
  /** @brief Instances that may start to drain now. */
  std::vector<core::InstanceId> instances;
  /** @brief One sentence for each blocked pool; empty if there is none. */
  std::string block_reason;
};

/**
 * @brief Selects the instances of a wave that may start to drain now.
 *
 * Selects as many instances as possible while each pool keeps its guaranteed
 * slots. Instances in racks with fewer unavailable targets come first; among
 * these, instances in availability zones with fewer unavailable targets.
 *
 * @param wave Wave to continue.
 * @param input Plan lists and targets.
 * @return The selected instances, and what blocks the others.
 */
DrainSelection SelectDrains(const Wave& wave, const DrainInput& input);

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_BUDGET_H_
