#include "crocusmast/routing/peer_free_slots.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace crocusmast::routing {

void PeerFreeSlots::Update(const core::InstanceId& peer,
                           const std::vector<PoolFreeSlots>& free_slots) {
  for (const PoolFreeSlots& entry : free_slots) {
    m_free[entry.pool][peer] = entry.free.Count();
  }
}

void PeerFreeSlots::RetainPeers(const std::vector<membership::UpPeer>& peers) {
  std::set<core::InstanceId> kept;
  for (const membership::UpPeer& peer : peers) {
    kept.insert(peer.id);
  }
  for (auto& [pool, free] : m_free) {
    for (auto it = free.begin(); it != free.end();) {
      it = kept.count(it->first) > 0 ? std::next(it) : free.erase(it);
    }
  }
}

std::optional<core::InstanceId> PeerFreeSlots::Choose(
    const core::PoolId& pool,
    const std::vector<membership::UpPeer>& candidates,
    const core::ZoneId& own_zone,
    const std::vector<core::InstanceId>& tried) {
  std::map<core::InstanceId, std::uint64_t>& free = m_free[pool];
  const core::InstanceId* best = nullptr;
  std::tuple<bool, std::uint64_t> best_rank;
  for (const membership::UpPeer& peer : candidates) {
    const auto entry = free.find(peer.id);
    const bool was_tried =
        std::find(tried.begin(), tried.end(), peer.id) != tried.end();
    if (entry == free.end() || entry->second == 0 || was_tried) {
      continue;
    }
    const std::tuple<bool, std::uint64_t> rank(peer.zone == own_zone,
                                               entry->second);
    if (best == nullptr || best_rank < rank) {
      best = &peer.id;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  --free[*best];
  return *best;
}

void PeerFreeSlots::Finish(const core::PoolId& pool,
                           const core::InstanceId& peer,
                           bool is_full) {
  const auto found = m_free.find(pool);
  if (found == m_free.end()) {
    return;
  }
  const auto entry = found->second.find(peer);
  if (entry != found->second.end()) {
    entry->second = is_full ? 0 : entry->second + 1;
  }
}

}  // namespace crocusmast::routing
