#ifndef CROCUSMAST_ROUTING_SHARE_KEY_H_
#define CROCUSMAST_ROUTING_SHARE_KEY_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::routing {

/** @brief Names a limit that entry instances share: a plan's kind of work. */
struct ShareKey {
  /** @brief The plan. */
  core::PlanId plan;
  /** @brief The kind of work. */
  core::KindId kind;

  friend bool operator<(const ShareKey& left, const ShareKey& right) {
    return std::tie(left.plan, left.kind) < std::tie(right.plan, right.kind);
  }
  friend bool operator==(const ShareKey& left, const ShareKey& right) {
    return left.plan == right.plan && left.kind == right.kind;
  }
};

/** @brief Numbers the grants to one borrower, so that late news is known. */
using GrantNumber = core::Quantity<struct GrantNumberTag>;

/** @brief Numbers the relations of a borrower to its lenders; it only rises. */
using ShareSession = core::Quantity<struct ShareSessionTag>;

/** @brief What a borrower tells the lender. */
struct ShareWant {
  /** @brief The limit. */
  ShareKey key;
  /** @brief Slots that the borrower has in use or may still use. */
  core::Slots occupied;
  /** @brief Slots that it could use now. */
  core::Slots wanted;
  /** @brief The latest grant that it has taken in. */
  GrantNumber seen;
  /** @brief The relation that the grants belong to. */
  ShareSession session;
};

/** @brief What the lender tells a borrower. */
struct ShareGrant {
  /** @brief The limit. */
  ShareKey key;
  /** @brief The most slots that the borrower may use from now on. */
  core::Slots ceiling;
  /** @brief The number of this grant. */
  GrantNumber number;
  /** @brief The relation that the grant belongs to. */
  ShareSession session;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_SHARE_KEY_H_
