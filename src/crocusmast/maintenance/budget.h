#ifndef CROCUSMAST_MAINTENANCE_BUDGET_H_
#define CROCUSMAST_MAINTENANCE_BUDGET_H_

#include <string>
#include <vector>

#include "crocusmast/configuration/lists.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/maintenance/wave.h"

namespace crocusmast::maintenance {

/** @brief What the planner works from. */
struct DrainInput {
  /** @brief The lists in force. */
  const configuration::Lists& lists;
  /** @brief All targets of the region, live and leaving. */
  const std::vector<fleet::InstanceRecord>& targets;
};

/** @brief What a pool can do without. */
struct PoolBudget {
  /** @brief Slots of the live targets. */
  core::Slots live;
  /** @brief Slots that the plans of the pool are promised together. */
  core::Slots guaranteed;
};

/**
 * @brief Works out what a pool can do without.
 *
 * A plan is promised the availability's share of its slots, rounded up.
 * Targets that are gone for any reason are not live, so failures count too.
 *
 * @param input What the planner works from.
 * @param pool The pool.
 */
PoolBudget ComputeBudget(const DrainInput& input, const core::PoolId& pool);

/** @brief What may begin to drain, and what holds up the rest. */
struct DrainSelection {
  /** @brief Instances that may begin now. */
  std::vector<core::InstanceId> instances;
  /** @brief A sentence for each pool that cannot go on; empty if none. */
  std::string note;
};

/**
 * @brief Chooses the instances of a wave that may begin to drain now.
 *
 * As many as leave each pool the slots that its plans are promised; first
 * those in racks, then availability zones, with the fewest others out.
 *
 * @param wave The wave.
 * @param input What the planner works from.
 */
DrainSelection SelectDrains(const Wave& wave, const DrainInput& input);

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_BUDGET_H_
