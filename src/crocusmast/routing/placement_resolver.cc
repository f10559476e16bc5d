#include "crocusmast/routing/placement_resolver.h"

#include <string>
#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::routing {

void PlacementResolver::SetPlanLists(
    std::shared_ptr<const configuration::PlanLists> lists) {
  m_lists = std::move(lists);
  m_cache.clear();
}

void PlacementResolver::SetMembership(
    std::shared_ptr<const membership::MembershipView> membership_view) {
  m_membership = std::move(membership_view);
  m_cache.clear();
}

std::shared_ptr<const Placement> PlacementResolver::Find(
    const QuotaKey& quota) {
  const auto known = m_cache.find(quota);
  if (known != m_cache.end()) {
    return known->second;
  }
  const std::optional<configuration::Allowance> allowance =
      m_lists->FindAllowance(quota.plan, quota.kind);
  if (!allowance) {
    return nullptr;
  }
  return m_cache.emplace(quota, Resolve(*allowance)).first->second;
}

std::shared_ptr<const Placement> PlacementResolver::Resolve(
    const configuration::Allowance& allowance) const {
  auto placement = std::make_shared<Placement>();
  placement->pool = allowance.pool;
  const auto pool = m_membership->pools.find(allowance.pool);
  if (pool == m_membership->pools.end()) {
    return placement;
  }
  const std::string name = allowance.plan.Text() + "/" + allowance.kind.Text();
  const std::vector<core::InstanceId> chosen = membership::RankByRendezvous(
      name, pool->second, allowance.instances.Count());
  placement->targets.insert(chosen.begin(), chosen.end());
  AddPeers(*placement);
  return placement;
}

void PlacementResolver::AddPeers(Placement& placement) const {
  std::set<core::InstanceId> owners;
  for (const core::InstanceId& target : placement.targets) {
    const auto owner = m_membership->owner_of.find(target);
    if (owner != m_membership->owner_of.end()) {
      owners.insert(owner->second);
    }
  }
  for (const membership::UpPeer& peer : m_membership->peers) {
    if (owners.count(peer.id) > 0) {
      placement.peers.push_back(peer);
    }
  }
}

}  // namespace crocusmast::routing
