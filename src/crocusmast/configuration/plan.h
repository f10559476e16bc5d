#ifndef CROCUSMAST_CONFIGURATION_PLAN_H_
#define CROCUSMAST_CONFIGURATION_PLAN_H_

#include <string>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::configuration {

/** @brief Plan that a customer has bought; a row of the list of plans. */
struct Plan {
  /** @brief Name of the plan; unique in the list. */
  core::PlanId id;
  /** @brief Name of the customer, for display only. */
  std::string customer;
  /** @brief Percentage of the plan's slots that must stay available. */
  core::Percent availability;
  /**
   * @brief Percentage of capacity to keep free above the plan's observed
   * demand.
   */
  core::Percent headroom;

  friend bool operator==(const Plan& left, const Plan& right) {
    return left.id == right.id && left.customer == right.customer &&
           left.availability == right.availability &&
           left.headroom == right.headroom;
  }
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_PLAN_H_
