#ifndef CROCUSMAST_ROUTING_QUOTA_LENDER_H_
#define CROCUSMAST_ROUTING_QUOTA_LENDER_H_

#include <map>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/routing/quota_key.h"

namespace crocusmast::routing {

/** @brief A grant and the borrower to send it to. */
struct OutgoingGrant {
  /** @brief The borrower. */
  core::InstanceId borrower;
  /** @brief The grant. */
  QuotaGrant grant;
};

/**
 * @brief Lends the slots of one quota to entry instances.
 *
 * The borrowers never occupy more slots than the limit in total, provided that
 * they agree on the lender. Slots above a borrower's fair share are reclaimed,
 * as they become free, for borrowers below theirs.
 */
class QuotaLender {
 public:
  /**
   * @brief Constructs a lender.
   * @param key The quota.
   * @param granting_starts_at Before this time no new slots are granted, so
   * that all slots that the previous lender granted are known or no longer in
   * use.
   * @param expected_borrowers Once each of these has reported the slots that it
   * keeps, the lender grants slots at once.
   */
  QuotaLender(QuotaKey key,
              core::TimePoint granting_starts_at,
              std::set<core::InstanceId> expected_borrowers);

  /**
   * @brief Sets the limit of the quota.
   * @param limit The maximum number of slots in total.
   * @return The grants to send.
   */
  std::vector<OutgoingGrant> SetLimit(core::Slots limit);

  /**
   * @brief Handles the demand of a borrower.
   * @param borrower The borrower.
   * @param demand The demand.
   * @param now The current time.
   * @return The grants to send.
   */
  std::vector<OutgoingGrant> HandleDemand(const core::InstanceId& borrower,
                                          const QuotaDemand& demand,
                                          core::TimePoint now);

  /**
   * @brief Reclaims all slots of a borrower that was removed.
   * @param borrower The borrower.
   * @return The grants to send.
   */
  std::vector<OutgoingGrant> RemoveBorrower(const core::InstanceId& borrower);

  /**
   * @brief Starts granting slots once the takeover delay has passed.
   * @param now The current time.
   * @return The grants to send.
   */
  std::vector<OutgoingGrant> Advance(core::TimePoint now);

  /** @brief Returns the number of slots that the borrowers occupy in total. */
  core::Slots Occupied() const;

  /** @brief Lists the borrowers. */
  std::vector<core::InstanceId> Borrowers() const;

 private:
  /** @brief State of one borrower. */
  struct Loan {
    std::uint64_t occupied = 0;
    std::uint64_t ceiling = 0;
    std::uint64_t wanted = 0;
    GrantNumber number;
    QuotaSession session;
  };

  std::vector<OutgoingGrant> Balance();
  std::uint64_t FairShare() const;
  bool NeedsReclaim(std::uint64_t fair_share) const;
  void GrantFreeSlots(std::vector<OutgoingGrant>& grants);
  void ReclaimExcess(std::vector<OutgoingGrant>& grants);
  OutgoingGrant IssueGrant(const core::InstanceId& borrower,
                           Loan& loan,
                           std::uint64_t ceiling);
  OutgoingGrant CurrentGrant(const core::InstanceId& borrower,
                             const Loan& loan) const;

  const QuotaKey m_key;
  const core::TimePoint m_granting_starts_at;
  std::set<core::InstanceId> m_expected_borrowers;
  bool m_is_granting = false;
  std::uint64_t m_limit = 0;
  std::map<core::InstanceId, Loan> m_loans;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_QUOTA_LENDER_H_
