#include <algorithm>
#include <limits>
#include <utility>

#include "crocusmast/routing/router.h"

namespace crocusmast::routing {
namespace internal {

// Differs from any number of free slots that a pool can have.
constexpr std::uint64_t kNeverSent = std::numeric_limits<std::uint64_t>::max();

}  // namespace internal

void Router::On(const MembershipChanged& message) {
  const core::TimePoint now = m_ports.clock.Now();
  RecordPreviousOwners(*message.view, now);
  m_membership = message.view;
  m_placements.SetMembership(m_membership);
  m_table.SetTargets(m_membership->owned, now);
  ApplyReleases();
  m_peer_free_slots.RetainPeers(m_membership->peers);
  m_quotas.SetEntries(m_membership->entries, now);
  m_claims.SetEntries(m_membership->entries);
  ResetSentFreeSlots();
  StartAllQueued();
}

// A release is valid only from the previous owner, and only for the duration
// of the takeover delay.
void Router::RecordPreviousOwners(const membership::MembershipView& next,
                                  core::TimePoint now) {
  for (const fleet::InstanceRecord& target : next.owned) {
    const auto previous = m_membership->owner_of.find(target.id);
    if (previous != m_membership->owner_of.end() &&
        previous->second != m_self.id) {
      m_previous_owner[target.id] = previous->second;
    }
  }
  for (auto release = m_releases.begin(); release != m_releases.end();) {
    release = release->second.received_at + kTakeoverDelay <= now
                  ? m_releases.erase(release)
                  : std::next(release);
  }
}

void Router::ApplyReleases() {
  for (auto release = m_releases.begin(); release != m_releases.end();) {
    const auto previous = m_previous_owner.find(release->first);
    const bool is_from_previous_owner =
        previous != m_previous_owner.end() &&
        previous->second == release->second.peer;
    if (!is_from_previous_owner) {
      ++release;
      continue;
    }
    m_table.EndTakeoverDelay({release->first, release->second.incarnation},
                             m_ports.clock.Now());
    m_previous_owner.erase(previous);
    release = m_releases.erase(release);
  }
}

void Router::On(const TargetReleaseReceived& message) {
  m_releases[message.released.target] =
      Release{message.peer, message.released.incarnation, m_ports.clock.Now()};
  ApplyReleases();
  StartAllQueued();
}

void Router::SendReleases() {
  for (const ReleasedTarget& released : m_table.TakeReleased()) {
    m_ports.peers.SendTargetRelease(PeerIds(), released);
  }
}

std::vector<core::InstanceId> Router::PeerIds() const {
  std::vector<core::InstanceId> peers;
  for (const membership::UpPeer& peer : m_membership->peers) {
    peers.push_back(peer.id);
  }
  return peers;
}

void Router::On(const PlanListsChanged& message) {
  m_revision = message.revision;
  m_placements.SetPlanLists(message.lists);
  m_quotas.SetPlanLists(message.lists, m_ports.clock.Now());
  StartAllQueued();
}

void Router::On(const FreeSlotsReceived& message) {
  m_peer_free_slots.Update(message.peer, message.free_slots);
  for (const PoolFreeSlots& entry : message.free_slots) {
    StartQueued(entry.pool);
  }
}

void Router::On(const QuotaDemandReceived& message) {
  m_quotas.HandleDemand(message.borrower, message.demand, m_ports.clock.Now());
}

void Router::On(const QuotaGrantReceived& message) {
  if (!m_quotas.Borrower().HandleGrant(message.grant)) {
    return;
  }
  if (const auto placement = m_placements.Find(message.grant.key)) {
    StartQueued(placement->pool);
  }
}

void Router::On(const IdleQueryReceived& message) {
  const bool is_known_live = m_membership->owner_of.count(message.target) > 0;
  const bool is_idle =
      !is_known_live && m_table.InFlightOn(message.target) == 0;
  m_ports.peers.SendIdleReply(message.peer, message.target, is_idle);
}

void Router::On(const ExplainQuery& message) {
  message.reply->TryPush(m_recorder.Find(message.request));
}

void Router::On(const StatusQuery& message) {
  RouterStatus status;
  status.revision = m_revision;
  status.requests = m_pending.size();
  for (const membership::UpPeer& peer : m_membership->peers) {
    status.peers.push_back(peer.id);
  }
  std::set<core::PoolId> pools;
  for (const core::PoolId& pool : m_table.Pools()) {
    pools.insert(pool);
  }
  for (const core::PoolId& pool : m_queue.Pools()) {
    pools.insert(pool);
  }
  for (const core::PoolId& pool : pools) {
    status.pools.push_back(PoolStatus{
        pool, core::Slots(m_table.FreeSlots(pool)),
        core::Slots(m_table.InFlight(pool)), m_queue.WaitingForPool(pool)});
  }
  message.reply->TryPush(std::move(status));
}

void Router::SendUpdates() {
  SendReleases();
  SendQuotaMessages();
  SendFreeSlots(m_ports.clock.Now());
}

void Router::SendQuotaMessages() {
  m_quotas.ProcessDemands(m_ports.clock.Now());
  for (const QuotaKey& key : m_quotas.TakeRaisedQuotas()) {
    if (const auto placement = m_placements.Find(key)) {
      StartQueued(placement->pool);
    }
  }
  for (const OutgoingDemand& demand : m_quotas.TakeOutgoingDemands()) {
    m_ports.peers.SendQuotaDemand(demand.lender, demand.demand);
  }
  for (const OutgoingGrant& grant : m_quotas.TakeOutgoingGrants()) {
    m_ports.peers.SendQuotaGrant(grant);
  }
}

void Router::ResetSentFreeSlots() {
  for (const core::PoolId& pool : m_table.Pools()) {
    m_sent_free_slots.try_emplace(pool, internal::kNeverSent);
  }
  for (auto& [pool, last_sent] : m_sent_free_slots) {
    last_sent = internal::kNeverSent;
    m_changed_pools.insert(pool);
  }
  m_report_reset_at = m_ports.clock.Now();
}

void Router::SendFreeSlots(core::TimePoint now) {
  if (m_changed_pools.empty() || now < m_report_sent_at + kMinReportInterval) {
    return;
  }
  const bool is_minor_due = m_report_sent_at + kMinorReportInterval <= now;
  std::vector<PoolFreeSlots> free_slots;
  for (auto pool = m_changed_pools.begin(); pool != m_changed_pools.end();) {
    const std::uint64_t free = m_table.FreeSlots(*pool);
    const auto [last_sent, is_new] =
        m_sent_free_slots.try_emplace(*pool, internal::kNeverSent);
    const bool crosses_zero = (last_sent->second == 0) != (free == 0);
    if (last_sent->second != free && !crosses_zero && !is_minor_due) {
      ++pool;
      continue;
    }
    if (last_sent->second != free) {
      free_slots.push_back(PoolFreeSlots{*pool, core::Slots(free)});
      last_sent->second = free;
    }
    pool = m_changed_pools.erase(pool);
  }
  if (free_slots.empty() || m_membership->peers.empty()) {
    return;
  }
  m_ports.peers.SendFreeSlots(PeerIds(), free_slots);
  m_report_sent_at = now;
}

}  // namespace crocusmast::routing
