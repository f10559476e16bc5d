#ifndef CROCUSMAST_ROUTING_PLACEMENTS_H_
#define CROCUSMAST_ROUTING_PLACEMENTS_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "crocusmast/configuration/lists.h"
#include "crocusmast/membership/roster_view.h"
#include "crocusmast/routing/share_key.h"

namespace crocusmast::routing {

/** @brief Where a plan's kind of work may run. */
struct Placement {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief The targets, as many as the plan may use. */
  std::set<core::InstanceId> targets;
  /** @brief The peers that own some of them. */
  std::vector<membership::PeerInfo> peers;
};

/**
 * @brief Works out which targets each plan's kind of work may use.
 *
 * A plan that may use fewer instances than its pool has gets the first ones in
 * its rendezvous order, the same on every entry instance.
 */
class PlacementResolver {
 public:
  /**
   * @brief Takes in the lists in force.
   * @param lists The lists.
   */
  void SetLists(std::shared_ptr<const configuration::Lists> lists);

  /**
   * @brief Takes in who is live.
   * @param membership_view The view.
   */
  void SetMembership(
      std::shared_ptr<const membership::RosterView> membership_view);

  /**
   * @brief Tells whether a plan is sold.
   * @param plan The plan.
   */
  bool HasPlan(const core::PlanId& plan) const {
    return m_lists->HasPlan(plan);
  }

  /**
   * @brief Finds where a plan's kind of work may run.
   * @param quota The plan and kind.
   * @return The placement, or null if the lists do not allow the work.
   */
  std::shared_ptr<const Placement> Find(const ShareKey& quota);

 private:
  std::shared_ptr<const Placement> Resolve(
      const configuration::Allowance& allowance) const;
  void AddPeers(Placement& placement) const;

  std::shared_ptr<const configuration::Lists> m_lists =
      std::make_shared<const configuration::Lists>();
  std::shared_ptr<const membership::RosterView> m_membership =
      std::make_shared<const membership::RosterView>();
  std::map<ShareKey, std::shared_ptr<const Placement>> m_cache;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PLACEMENTS_H_
