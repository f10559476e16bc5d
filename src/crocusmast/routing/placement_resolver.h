#ifndef CROCUSMAST_ROUTING_PLACEMENT_RESOLVER_H_
#define CROCUSMAST_ROUTING_PLACEMENT_RESOLVER_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/membership/membership_view.h"
#include "crocusmast/routing/quota_key.h"

namespace crocusmast::routing {

/** @brief Where a plan's work of one kind may run. */
struct Placement {
  /** @brief The pool. */
  core::PoolId pool;
  /**
   * @brief The targets that the plan may use, limited to its number of
   * instances.
   */
  std::set<core::InstanceId> targets;
  /** @brief The peers that own any of these targets. */
  std::vector<membership::UpPeer> peers;
};

/**
 * @brief Determines the targets that each plan may use for each kind of work.
 *
 * A plan that may use fewer instances than its pool has gets the first ones by
 * rendezvous hashing, the same on every entry instance.
 */
class PlacementResolver {
 public:
  /**
   * @brief Replaces the plan lists.
   * @param lists The lists.
   */
  void SetPlanLists(std::shared_ptr<const configuration::PlanLists> lists);

  /**
   * @brief Replaces the membership view.
   * @param membership_view The view.
   */
  void SetMembership(
      std::shared_ptr<const membership::MembershipView> membership_view);

  /**
   * @brief Tells whether a plan exists.
   * @param plan The plan.
   */
  bool HasPlan(const core::PlanId& plan) const {
    return m_lists->HasPlan(plan);
  }

  /**
   * @brief Finds where a plan's work of one kind may run.
   * @param quota The plan and the kind of work.
   * @return The placement, or null if the plan lists do not allow the work.
   */
  std::shared_ptr<const Placement> Find(const QuotaKey& quota);

 private:
  std::shared_ptr<const Placement> Resolve(
      const configuration::Allowance& allowance) const;
  void AddPeers(Placement& placement) const;

  std::shared_ptr<const configuration::PlanLists> m_lists =
      std::make_shared<const configuration::PlanLists>();
  std::shared_ptr<const membership::MembershipView> m_membership =
      std::make_shared<const membership::MembershipView>();
  std::map<QuotaKey, std::shared_ptr<const Placement>> m_cache;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PLACEMENT_RESOLVER_H_
