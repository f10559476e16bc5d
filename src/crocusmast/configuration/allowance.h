#ifndef CROCUSMAST_CONFIGURATION_ALLOWANCE_H_
#define CROCUSMAST_CONFIGURATION_ALLOWANCE_H_

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::configuration {

/** @brief What a plan may use for a kind of work: a row of the second list. */
struct Allowance {
  /** @brief The plan; stands in the list of plans. */
  core::PlanId plan;
  /** @brief The kind of work; unique within the plan. */
  core::KindId kind;
  /** @brief The pool that runs this work. */
  core::PoolId pool;
  /** @brief The most instances of the pool in use. */
  core::InstanceCount instances;
  /** @brief The most requests running at the same time. */
  core::Slots slots;
  /** @brief The most connections open at the same time. */
  core::Connections connections;

  friend bool operator==(const Allowance& left, const Allowance& right) {
    return left.plan == right.plan && left.kind == right.kind &&
           left.pool == right.pool && left.instances == right.instances &&
           left.slots == right.slots && left.connections == right.connections;
  }
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_ALLOWANCE_H_
