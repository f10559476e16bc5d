#ifndef CROCUSMAST_MEMBERSHIP_ROSTER_VIEW_H_
#define CROCUSMAST_MEMBERSHIP_ROSTER_VIEW_H_

#include <cstddef>
#include <map>
#include <vector>

#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::membership {

/** @brief Another entry instance that is up. */
struct PeerInfo {
  /** @brief The peer. */
  core::InstanceId id;
  /** @brief Its availability zone. */
  core::ZoneId zone;
};

/** @brief What one entry instance works from; never changed once made. */
struct RosterView {
  /** @brief The targets that this instance alone sends requests to. */
  std::vector<fleet::InstanceRecord> owned;
  /** @brief All targets of the region, live and leaving. */
  std::vector<fleet::InstanceRecord> targets;
  /** @brief The entry instances of the region that are up, self included. */
  std::vector<core::InstanceId> entries;
  /** @brief The peers of the region that are up. */
  std::vector<PeerInfo> peers;
  /** @brief For each pool the live targets of the region. */
  std::map<core::PoolId, std::vector<core::InstanceId>> pools;
  /** @brief For each live target of the region the instance that owns it. */
  std::map<core::InstanceId, core::InstanceId> owner_of;
  /** @brief This instance's place among the entry instances, from zero. */
  std::size_t rank = 0;
  /** @brief Whether this instance watches the store for its zone. */
  bool watches_store = false;
};

/** @brief A peer that this instance keeps a link to. */
struct PeerAddress {
  /** @brief The peer. */
  core::InstanceId id;
  /** @brief Where it takes peer links. */
  fleet::Endpoint address;
  /** @brief Whether this instance connects whatever the order of the ids. */
  bool dials = false;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_ROSTER_VIEW_H_
