#ifndef CROCUSMAST_ROUTING_PEER_FREE_SLOTS_H_
#define CROCUSMAST_ROUTING_PEER_FREE_SLOTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/membership/membership_view.h"

namespace crocusmast::routing {

/** @brief Free slots that an entry instance has in a pool. */
struct PoolFreeSlots {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief The free slots. */
  core::Slots free;
};

/** @brief Free slots that peers reported, less the requests forwarded since. */
class PeerFreeSlots {
 public:
  /**
   * @brief Stores a peer's report.
   * @param peer The peer.
   * @param free_slots Its free slots, for pools where they changed.
   */
  void Update(const core::InstanceId& peer,
              const std::vector<PoolFreeSlots>& free_slots);

  /**
   * @brief Removes the reports of peers that are down.
   * @param peers The peers that are up.
   */
  void RetainPeers(const std::vector<membership::UpPeer>& peers);

  /**
   * @brief Chooses a peer with free slots and takes one slot.
   * @param pool The pool.
   * @param candidates Peers that own targets for the request.
   * @param own_zone Peers in this availability zone are preferred.
   * @param tried Peers to exclude.
   * @return The peer with the most free slots, or nothing.
   */
  std::optional<core::InstanceId> Choose(
      const core::PoolId& pool,
      const std::vector<membership::UpPeer>& candidates,
      const core::ZoneId& own_zone,
      const std::vector<core::InstanceId>& tried);

  /**
   * @brief Updates a peer's free slots after an attempt there has ended.
   * @param pool The pool.
   * @param peer The peer.
   * @param is_full True if the peer had no free slot: its count is set to zero.
   * Otherwise one slot becomes free.
   */
  void Finish(const core::PoolId& pool,
              const core::InstanceId& peer,
              bool is_full);

 private:
  std::map<core::PoolId, std::map<core::InstanceId, std::uint64_t>> m_free;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PEER_FREE_SLOTS_H_
