#ifndef CROCUSMAST_ROUTING_QUOTA_KEY_H_
#define CROCUSMAST_ROUTING_QUOTA_KEY_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::routing {

/**
 * @brief Identifies a quota that entry instances share: the slots of one plan
 * for one kind of work.
 */
struct QuotaKey {
  /** @brief The plan. */
  core::PlanId plan;
  /** @brief The kind of work. */
  core::KindId kind;

  friend bool operator<(const QuotaKey& left, const QuotaKey& right) {
    return std::tie(left.plan, left.kind) < std::tie(right.plan, right.kind);
  }
  friend bool operator==(const QuotaKey& left, const QuotaKey& right) {
    return left.plan == right.plan && left.kind == right.kind;
  }
};

/** @brief Numbers the grants to one borrower, to detect outdated messages. */
using GrantNumber = core::Quantity<struct GrantNumberTag>;

/**
 * @brief Numbers the sessions of a borrower with its lenders, in ascending
 * order.
 */
using QuotaSession = core::Quantity<struct QuotaSessionTag>;

/** @brief A borrower's message to the lender. */
struct QuotaDemand {
  /** @brief The quota. */
  QuotaKey key;
  /** @brief Slots that the borrower uses or may still use. */
  core::Slots occupied;
  /**
   * @brief Slots that it wants in total: at least those that it occupies, and
   * those that its running and waiting requests need.
   */
  core::Slots wanted;
  /** @brief The latest grant that it has applied. */
  GrantNumber last_applied_grant;
  /** @brief The session that the grants belong to. */
  QuotaSession session;
};

/** @brief The lender's message to a borrower. */
struct QuotaGrant {
  /** @brief The quota. */
  QuotaKey key;
  /**
   * @brief The maximum number of slots that the borrower may use from now on.
   */
  core::Slots ceiling;
  /** @brief The number of this grant. */
  GrantNumber number;
  /** @brief The session that the grant belongs to. */
  QuotaSession session;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_QUOTA_KEY_H_
