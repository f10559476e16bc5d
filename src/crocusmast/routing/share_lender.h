#ifndef CROCUSMAST_ROUTING_SHARE_LENDER_H_
#define CROCUSMAST_ROUTING_SHARE_LENDER_H_

#include <map>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/routing/share_key.h"

namespace crocusmast::routing {

/** @brief A grant and who gets it. */
struct AddressedGrant {
  /** @brief The borrower. */
  core::InstanceId borrower;
  /** @brief The grant. */
  ShareGrant grant;
};

/**
 * @brief Lends the slots of one plan's kind of work to entry instances.
 *
 * What the borrowers occupy together never passes the limit, as long as they
 * agree who lends. A borrower below an even part gets slots that others hold
 * above theirs as these come free.
 */
class QuotaLender {
 public:
  /**
   * @brief Makes a lender.
   * @param key The limit's name.
   * @param open_at Before this nothing new is lent, so that slots lent by the
   * lender before are known or out of use.
   * @param expected_borrowers Once all these have told what they keep, it lends
   * at once.
   */
  QuotaLender(ShareKey key,
              core::TimePoint open_at,
              std::set<core::InstanceId> expected_borrowers);

  /**
   * @brief Sets the limit.
   * @param limit The most slots lent together.
   * @return The grants that follow.
   */
  std::vector<AddressedGrant> SetLimit(core::Slots limit);

  /**
   * @brief Takes in what a borrower says.
   * @param borrower The borrower.
   * @param demand What it says.
   * @param now The time.
   * @return The grants that follow.
   */
  std::vector<AddressedGrant> HandleDemand(const core::InstanceId& borrower,
                                           const ShareWant& demand,
                                           core::TimePoint now);

  /**
   * @brief Takes back what a borrower holds that is gone for good.
   * @param borrower The borrower.
   * @return The grants that follow.
   */
  std::vector<AddressedGrant> Drop(const core::InstanceId& borrower);

  /**
   * @brief Lends what the opening time kept back.
   * @param now The time.
   * @return The grants that follow.
   */
  std::vector<AddressedGrant> Advance(core::TimePoint now);

  /** @brief Returns what the borrowers occupy together. */
  core::Slots Occupied() const;

  /** @brief Lists the borrowers. */
  std::vector<core::InstanceId> Borrowers() const;

 private:
  /** @brief What one borrower holds. */
  struct Loan {
    std::uint64_t occupied = 0;
    std::uint64_t ceiling = 0;
    std::uint64_t wanted = 0;
    GrantNumber number;
    ShareSession session;
  };

  std::vector<AddressedGrant> Balance();
  std::uint64_t FairShare() const;
  bool HasUnmetDemand(std::uint64_t fair_share) const;
  void GrantFreeSlots(std::vector<AddressedGrant>& grants);
  void ReclaimExcess(std::vector<AddressedGrant>& grants);
  AddressedGrant IssueGrant(const core::InstanceId& borrower,
                            Loan& loan,
                            std::uint64_t ceiling);
  AddressedGrant CurrentGrant(const core::InstanceId& borrower,
                              const Loan& loan) const;

  const ShareKey m_key;
  const core::TimePoint m_open_at;
  std::set<core::InstanceId> m_expected_borrowers;
  bool m_is_open = false;
  std::uint64_t m_limit = 0;
  std::map<core::InstanceId, Loan> m_loans;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_SHARE_LENDER_H_
