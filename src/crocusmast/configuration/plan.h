#ifndef CROCUSMAST_CONFIGURATION_PLAN_H_
#define CROCUSMAST_CONFIGURATION_PLAN_H_

#include <string>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::configuration {

/** @brief A plan that a customer has bought: a row of the first list. */
struct Plan {
  /** @brief The plan's name, unique in the list. */
  core::PlanId id;
  /** @brief Who bought it, for people to read. */
  std::string customer;
  /** @brief The share of the plan's slots that must stay available. */
  core::Percent availability;
  /** @brief The capacity kept free above the plan's observed demand. */
  core::Percent headroom;

  friend bool operator==(const Plan& left, const Plan& right) {
    return left.id == right.id && left.customer == right.customer &&
           left.availability == right.availability &&
           left.headroom == right.headroom;
  }
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_PLAN_H_
