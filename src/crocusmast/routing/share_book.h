#ifndef CROCUSMAST_ROUTING_SHARE_BOOK_H_
#define CROCUSMAST_ROUTING_SHARE_BOOK_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/configuration/lists.h"
#include "crocusmast/membership/roster_view.h"
#include "crocusmast/routing/share_borrower.h"
#include "crocusmast/routing/share_lender.h"

namespace crocusmast::routing {

/** @brief A lender stays shut this long after it took over. */
inline constexpr std::chrono::milliseconds kLenderTakeoverDelay{2000};

/** @brief News for the lender of a limit. */
struct OutgoingDemand {
  /** @brief The lender. */
  core::InstanceId lender;
  /** @brief The news. */
  ShareWant demand;
};

/**
 * @brief Both sides of the lending of plans' slots on one entry instance.
 *
 * The lender of a limit is found by rendezvous among the entry instances that
 * are up. News to itself stays inside.
 */
class QuotaManager {
 public:
  /**
   * @brief Makes a book without limits.
   * @param self The instance that keeps it.
   * @param first_session A number above that of any earlier run.
   */
  QuotaManager(core::InstanceId self, ShareSession first_session);

  /**
   * @brief Takes in the lists in force.
   * @param lists The lists.
   * @param now The time.
   */
  void SetLists(std::shared_ptr<const configuration::Lists> lists,
                core::TimePoint now);

  /**
   * @brief Takes in which entry instances are up.
   * @param entries The instances.
   * @param now The time.
   */
  void SetEntries(const std::vector<core::InstanceId>& entries,
                  core::TimePoint now);

  /** @brief Returns the borrower's side. */
  QuotaBorrower& Borrower() { return m_borrower; }

  /**
   * @brief Takes in a borrower's news.
   * @param borrower The borrower.
   * @param demand The news.
   * @param now The time.
   */
  void HandleDemand(const core::InstanceId& borrower,
                    const ShareWant& demand,
                    core::TimePoint now);

  /**
   * @brief Works out what has to be sent, and hands to itself what is its own.
   * @param now The time.
   */
  void ProcessDemands(core::TimePoint now);

  /** @brief Returns the news for other lenders, and forgets them. */
  std::vector<OutgoingDemand> TakeOutgoingDemands();

  /** @brief Returns the grants for other borrowers, and forgets them. */
  std::vector<AddressedGrant> TakeOutgoingGrants();

  /** @brief Returns the limits whose ceiling rose, and forgets them. */
  std::vector<ShareKey> TakeRaisedQuotas();

 private:
  void SetLimits(core::TimePoint now);
  void ChangeLenders(core::TimePoint now);
  core::InstanceId LenderOf(const ShareKey& key) const;
  void DispatchGrants(std::vector<AddressedGrant> grants);
  void DropRemovedBorrowers(core::TimePoint now);
  void OpenLenders(core::TimePoint now);

  const core::InstanceId m_self;
  QuotaBorrower m_borrower;
  std::shared_ptr<const configuration::Lists> m_lists;
  std::vector<core::InstanceId> m_entries;
  std::set<core::InstanceId> m_expected_borrowers;
  std::map<ShareKey, core::InstanceId> m_lender_of;
  std::map<ShareKey, QuotaLender> m_lenders;
  std::map<core::InstanceId, core::TimePoint> m_removed_at;
  std::optional<core::TimePoint> m_lenders_open_at;
  std::vector<OutgoingDemand> m_demands;
  std::vector<AddressedGrant> m_grants;
  std::vector<ShareKey> m_raised_quotas;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_SHARE_BOOK_H_
