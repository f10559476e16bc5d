#ifndef CROCUSMAST_ROUTING_QUOTA_MANAGER_H_
#define CROCUSMAST_ROUTING_QUOTA_MANAGER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/membership/membership_view.h"
#include "crocusmast/routing/quota_borrower.h"
#include "crocusmast/routing/quota_lender.h"

namespace crocusmast::routing {

/**
 * @brief A lender that took over grants nothing for this long, unless all
 * expected borrowers report earlier. After the same time, the slots of a
 * removed borrower are reclaimed.
 */
inline constexpr std::chrono::milliseconds kLenderTakeoverDelay{2000};

/** @brief A demand and the lender to send it to. */
struct OutgoingDemand {
  /** @brief The lender. */
  core::InstanceId lender;
  /** @brief The demand. */
  QuotaDemand demand;
};

/**
 * @brief Lender and borrower of the plans' quotas on one entry instance.
 *
 * Rendezvous hashing among the entry instances that are up selects the lender
 * of each quota. Messages to the own instance are handled directly.
 */
class QuotaManager {
 public:
  /**
   * @brief Constructs a manager without quotas.
   * @param self The instance that runs it.
   * @param first_session The first session number; greater than that of any
   * earlier run of this instance.
   */
  QuotaManager(core::InstanceId self, QuotaSession first_session);

  /**
   * @brief Replaces the plan lists.
   * @param lists The lists.
   * @param now The current time.
   */
  void SetPlanLists(std::shared_ptr<const configuration::PlanLists> lists,
                    core::TimePoint now);

  /**
   * @brief Replaces the entry instances that are up.
   * @param entries The entry instances.
   * @param now The current time.
   */
  void SetEntries(const std::vector<core::InstanceId>& entries,
                  core::TimePoint now);

  /** @brief Returns the borrower of this instance. */
  QuotaBorrower& Borrower() { return m_borrower; }

  /**
   * @brief Handles the demand of a borrower.
   * @param borrower The borrower.
   * @param demand The demand.
   * @param now The current time.
   */
  void HandleDemand(const core::InstanceId& borrower,
                    const QuotaDemand& demand,
                    core::TimePoint now);

  /**
   * @brief Collects the demands and grants to send, and handles those for this
   * instance.
   * @param now The current time.
   */
  void ProcessDemands(core::TimePoint now);

  /** @brief Returns and clears the demands for other lenders. */
  std::vector<OutgoingDemand> TakeOutgoingDemands();

  /** @brief Returns and clears the grants for other borrowers. */
  std::vector<OutgoingGrant> TakeOutgoingGrants();

  /** @brief Returns and clears the quotas whose ceiling rose. */
  std::vector<QuotaKey> TakeRaisedQuotas();

 private:
  void SetLimits(core::TimePoint now);
  void ChangeLenders(core::TimePoint now);
  core::InstanceId LenderOf(const QuotaKey& key) const;
  void DispatchGrants(std::vector<OutgoingGrant> grants);
  void ReclaimFromRemovedBorrowers(core::TimePoint now);
  void StartGranting(core::TimePoint now);

  const core::InstanceId m_self;
  QuotaBorrower m_borrower;
  std::shared_ptr<const configuration::PlanLists> m_lists;
  std::vector<core::InstanceId> m_entries;
  std::set<core::InstanceId> m_expected_borrowers;
  std::map<QuotaKey, core::InstanceId> m_lender_of;
  std::map<QuotaKey, QuotaLender> m_lenders;
  std::map<core::InstanceId, core::TimePoint> m_removed_at;
  std::optional<core::TimePoint> m_lenders_start_at;
  std::vector<OutgoingDemand> m_demands;
  std::vector<OutgoingGrant> m_grants;
  std::vector<QuotaKey> m_raised_quotas;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_QUOTA_MANAGER_H_
