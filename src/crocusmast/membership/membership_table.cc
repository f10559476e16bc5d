#include "crocusmast/membership/membership_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::membership {

using fleet::InstanceRecord;
using fleet::Role;

MembershipTable::MembershipTable(LocalInstance self)
    : m_self(std::move(self)) {}

bool MembershipTable::Apply(const MembershipUpdate& update,
                            core::TimePoint now) {
  m_version = update.version;
  bool changed = update.is_full_list && RemoveMissing(update);
  for (const InstanceRecord& record : update.changed) {
    ApplyRecord(record, now);
    changed = true;
  }
  for (const core::InstanceId& id : update.removed) {
    changed |= m_instances.erase(id) > 0;
    m_links.erase(id);
  }
  return changed;
}

void MembershipTable::ApplyRecord(const InstanceRecord& record,
                                  core::TimePoint now) {
  const auto [it, is_new] =
      m_instances.try_emplace(record.id, fleet::Instance(record));
  if (!is_new) {
    it->second.ApplyReport(record);
  }
  if (is_new && record.role == Role::kEntry && record.id != m_self.id) {
    m_links.try_emplace(record.id, Link{now + kFirstLinkTimeout, false, false});
  }
}

bool MembershipTable::RemoveMissing(const MembershipUpdate& update) {
  std::set<core::InstanceId> listed;
  for (const InstanceRecord& record : update.changed) {
    listed.insert(record.id);
  }
  bool removed = false;
  for (auto it = m_instances.begin(); it != m_instances.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    m_links.erase(it->first);
    it = m_instances.erase(it);
    removed = true;
  }
  return removed;
}

bool MembershipTable::MarkLeaving(const core::InstanceId& id) {
  const auto found = m_instances.find(id);
  if (found == m_instances.end()) {
    return false;
  }
  const core::Incarnation incarnation = found->second.Record().incarnation;
  return found->second.SetLeaving(incarnation) ==
         fleet::InstanceEvent::kStartedLeaving;
}

bool MembershipTable::RecordLinkUp(const core::InstanceId& peer) {
  Link& link = m_links[peer];
  const bool was_down = link.is_down;
  link.is_linked = true;
  link.is_down = false;
  return was_down;
}

void MembershipTable::RecordLinkDown(const core::InstanceId& peer,
                                     core::TimePoint now) {
  Link& link = m_links[peer];
  if (link.is_linked) {
    link.is_linked = false;
    link.down_deadline = now + kPeerDownTimeout;
  }
}

bool MembershipTable::ExpireLinks(core::TimePoint now) {
  bool changed = false;
  for (auto& [peer, link] : m_links) {
    if (!link.is_linked && !link.is_down && link.down_deadline <= now) {
      link.is_down = true;
      changed = true;
    }
  }
  return changed;
}

bool MembershipTable::IsUp(const InstanceRecord& entry) const {
  if (entry.id == m_self.id) {
    return true;
  }
  const auto link = m_links.find(entry.id);
  return link == m_links.end() || !link->second.is_down;
}

std::vector<core::InstanceId> MembershipTable::UpEntries() const {
  std::vector<core::InstanceId> entries;
  for (const auto& [id, instance] : m_instances) {
    const InstanceRecord& record = instance.Record();
    if (record.role == Role::kEntry && record.region == m_self.region &&
        instance.IsLive() && IsUp(record)) {
      entries.push_back(id);
    }
  }
  return entries;
}

MembershipView MembershipTable::View() const {
  MembershipView view;
  view.entries = UpEntries();
  const auto it =
      std::find(view.entries.begin(), view.entries.end(), m_self.id);
  view.rank = static_cast<std::size_t>(it - view.entries.begin());
  AddPeers(view);
  for (const auto& [id, instance] : m_instances) {
    const InstanceRecord& record = instance.Record();
    if (record.role == Role::kTarget && record.region == m_self.region) {
      AddTarget(record, view);
    }
  }
  view.watches_store = WatchesStore(view);
  return view;
}

void MembershipTable::AddPeers(MembershipView& view) const {
  for (const core::InstanceId& id : view.entries) {
    if (id != m_self.id) {
      view.peers.push_back(UpPeer{id, m_instances.at(id).Record().zone});
    }
  }
}

void MembershipTable::AddTarget(const InstanceRecord& target,
                                MembershipView& view) const {
  const bool is_live = target.state == fleet::InstanceState::kLive;
  view.targets.push_back(target);
  if (is_live) {
    view.pools[target.pool].push_back(target.id);
  }
  const std::vector<core::InstanceId> owner = SelectOwner(target, view);
  if (owner.empty()) {
    return;
  }
  if (owner.front() == m_self.id) {
    view.owned.push_back(target);
  }
  if (is_live) {
    view.owner_of.emplace(target.id, owner.front());
  }
}

std::vector<core::InstanceId> MembershipTable::SelectOwner(
    const InstanceRecord& target,
    const MembershipView& view) const {
  std::vector<core::InstanceId> candidates;
  for (const core::InstanceId& id : view.entries) {
    if (m_instances.at(id).Record().zone == target.zone) {
      candidates.push_back(id);
    }
  }
  if (candidates.empty()) {
    candidates = view.entries;
  }
  return RankByRendezvous(target.id.Text(), candidates, 1);
}

bool MembershipTable::WatchesStore(const MembershipView& view) const {
  for (const core::InstanceId& id : view.entries) {
    if (m_instances.at(id).Record().zone == m_self.zone) {
      return id == m_self.id;
    }
  }
  return true;
}

std::vector<PeerAddress> MembershipTable::LinkedPeers() const {
  std::vector<PeerAddress> peers;
  std::map<core::RegionId, std::vector<core::InstanceId>> remote;
  for (const auto& [id, instance] : m_instances) {
    const InstanceRecord& record = instance.Record();
    if (record.role != Role::kEntry || id == m_self.id) {
      continue;
    }
    if (record.region == m_self.region) {
      peers.push_back(PeerAddress{id, record.address, false});
    } else {
      remote[record.region].push_back(id);
    }
  }
  for (const auto& [region, candidates] : remote) {
    const std::vector<core::InstanceId> chosen =
        RankByRendezvous(m_self.id.Text(), candidates, 1);
    peers.push_back(PeerAddress{
        chosen.front(), m_instances.at(chosen.front()).Record().address, true});
  }
  return peers;
}

}  // namespace crocusmast::membership
