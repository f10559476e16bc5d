#ifndef CROCUSMAST_ROUTING_PEER_LOADS_H_
#define CROCUSMAST_ROUTING_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/membership/roster_view.h"

namespace crocusmast::routing {

/** @brief The free slots that an entry instance owns in a pool. */
struct PoolLoad {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief The free slots. */
  core::Slots free;
};

/** @brief What peers said of their free slots, less what was sent since. */
class PeerFreeSlots {
 public:
  /**
   * @brief Takes in what a peer says.
   * @param peer The peer.
   * @param loads Its free slots, for pools where they changed.
   */
  void Update(const core::InstanceId& peer, const std::vector<PoolLoad>& loads);

  /**
   * @brief Forgets peers that are not up.
   * @param peers The peers that are up.
   */
  void RetainPeers(const std::vector<membership::PeerInfo>& peers);

  /**
   * @brief Chooses a peer with free slots and counts one slot as taken.
   * @param pool The pool.
   * @param candidates Peers that own targets for the request.
   * @param own_zone Peers of this availability zone go first.
   * @param tried Peers not to choose.
   * @return The peer with the most free slots, or nothing.
   */
  std::optional<core::InstanceId> Choose(
      const core::PoolId& pool,
      const std::vector<membership::PeerInfo>& candidates,
      const core::ZoneId& own_zone,
      const std::vector<core::InstanceId>& tried);

  /**
   * @brief Counts a slot as free again that a peer refused or finished.
   * @param pool The pool.
   * @param peer The peer.
   * @param is_full True if the peer had no room.
   */
  void Finish(const core::PoolId& pool,
              const core::InstanceId& peer,
              bool is_full);

 private:
  std::map<core::PoolId, std::map<core::InstanceId, std::uint64_t>> m_free;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PEER_LOADS_H_
