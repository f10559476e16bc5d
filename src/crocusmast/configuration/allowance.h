#ifndef CROCUSMAST_CONFIGURATION_ALLOWANCE_H_
#define CROCUSMAST_CONFIGURATION_ALLOWANCE_H_

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::configuration {

/**
 * @brief Limits of a plan for one kind of work; a row of the list of
 * allowances.
 */
struct Allowance {
  /** @brief Plan that the row belongs to; must be in the list of plans. */
  core::PlanId plan;
  /** @brief Kind of work; unique within the plan. */
  core::KindId kind;
  /** @brief Pool that runs this kind of work. */
  core::PoolId pool;
  /** @brief Maximum number of instances of the pool in use. */
  core::InstanceCount instances;
  /** @brief Maximum number of concurrent requests. */
  core::Slots slots;
  /** @brief Maximum number of open connections. */
  core::Connections connections;

  friend bool operator==(const Allowance& left, const Allowance& right) {
    return left.plan == right.plan && left.kind == right.kind &&
           left.pool == right.pool && left.instances == right.instances &&
           left.slots == right.slots && left.connections == right.connections;
  }
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_ALLOWANCE_H_
