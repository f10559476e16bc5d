#ifndef CROCUSMAST_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define CROCUSMAST_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <map>
#include <vector>

#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::membership {

/** @brief Another entry instance that is up. */
struct UpPeer {
  /** @brief The peer. */
  core::InstanceId id;
  /** @brief Its availability zone. */
  core::ZoneId zone;
};

/** @brief Immutable membership view of one entry instance. */
struct MembershipView {
  /**
   * @brief The targets that this instance owns: no other one sends requests to
   * them.
   */
  std::vector<fleet::InstanceRecord> owned;
  /** @brief All targets of the region, both live and leaving. */
  std::vector<fleet::InstanceRecord> targets;
  /**
   * @brief The entry instances of the region that are up, including this one.
   */
  std::vector<core::InstanceId> entries;
  /** @brief The peers of the region that are up. */
  std::vector<UpPeer> peers;
  /** @brief The live targets of the region, by pool. */
  std::map<core::PoolId, std::vector<core::InstanceId>> pools;
  /** @brief The owner of each live target of the region. */
  std::map<core::InstanceId, core::InstanceId> owner_of;
  /**
   * @brief Position of this instance among the entry instances, starting at
   * zero.
   */
  std::size_t rank = 0;
  /** @brief Whether this instance watches the store on behalf of its zone. */
  bool watches_store = false;
};

/** @brief A peer that this instance keeps a link to. */
struct PeerAddress {
  /** @brief The peer. */
  core::InstanceId id;
  /** @brief Address for peer links. */
  fleet::Endpoint address;
  /**
   * @brief True if this instance opens the connection regardless of the order
   * of the ids.
   */
  bool always_connects = false;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MEMBERSHIP_VIEW_H_
