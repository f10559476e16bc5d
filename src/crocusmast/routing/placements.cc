#include "crocusmast/routing/placements.h"

#include <string>
#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::routing {

void Placements::SetLists(std::shared_ptr<const configuration::Lists> lists) {
  m_lists = std::move(lists);
  m_known.clear();
}

void Placements::SetRoster(
    std::shared_ptr<const membership::RosterView> roster) {
  m_roster = std::move(roster);
  m_known.clear();
}

std::shared_ptr<const Placement> Placements::Find(const ShareKey& share) {
  const auto known = m_known.find(share);
  if (known != m_known.end()) {
    return known->second;
  }
  const std::optional<configuration::Allowance> allowance =
      m_lists->FindAllowance(share.plan, share.kind);
  if (!allowance) {
    return nullptr;
  }
  return m_known.emplace(share, Make(*allowance)).first->second;
}

std::shared_ptr<const Placement> Placements::Make(
    const configuration::Allowance& allowance) const {
  auto placement = std::make_shared<Placement>();
  placement->pool = allowance.pool;
  const auto pool = m_roster->pools.find(allowance.pool);
  if (pool == m_roster->pools.end()) {
    return placement;
  }
  const std::string name = allowance.plan.Text() + "/" + allowance.kind.Text();
  const std::vector<core::InstanceId> chosen = membership::RankByRendezvous(
      name, pool->second, allowance.instances.Count());
  placement->targets.insert(chosen.begin(), chosen.end());
  AddPeers(*placement);
  return placement;
}

void Placements::AddPeers(Placement& placement) const {
  std::set<core::InstanceId> owners;
  for (const core::InstanceId& target : placement.targets) {
    const auto owner = m_roster->owner_of.find(target);
    if (owner != m_roster->owner_of.end()) {
      owners.insert(owner->second);
    }
  }
  for (const membership::PeerView& peer : m_roster->peers) {
    if (owners.count(peer.id) > 0) {
      placement.peers.push_back(peer);
    }
  }
}

}  // namespace crocusmast::routing
