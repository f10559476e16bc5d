#ifndef CROCUSMAST_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define CROCUSMAST_MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <map>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/fleet/instance.h"
#include "crocusmast/membership/membership_source.h"
#include "crocusmast/membership/membership_view.h"

namespace crocusmast::membership {

/**
 * @brief A peer whose link was down for this long is treated as down and no
 * longer owns targets.
 */
inline constexpr std::chrono::milliseconds kPeerDownTimeout{700};
/**
 * @brief A peer whose link was never up is treated as down this long after the
 * membership list first named it.
 */
inline constexpr std::chrono::milliseconds kFirstLinkTimeout{3000};

/** @brief Identity of the instance that keeps the table. */
struct LocalInstance {
  /** @brief Its id. */
  core::InstanceId id;
  /** @brief Its region. */
  core::RegionId region;
  /** @brief Its availability zone. */
  core::ZoneId zone;
};

/**
 * @brief Live instances, according to the membership list, the links to peers
 * and leaving notices; the root of the aggregate.
 *
 * An entry instance counts as up while the list names it as live and its link
 * has not been down for longer than the time-out.
 */
class MembershipTable {
 public:
  /**
   * @brief Constructs a table without other instances.
   * @param self The instance that keeps it.
   */
  explicit MembershipTable(LocalInstance self);

  /** @brief Returns the version of the last applied update. */
  MembershipVersion Version() const { return m_version; }

  /**
   * @brief Applies an update of the membership list.
   * @param update The update.
   * @param now The current time.
   * @return True if anything changed.
   */
  bool Apply(const MembershipUpdate& update, core::TimePoint now);

  /**
   * @brief Marks an instance as leaving before the membership list does.
   * @param id The instance.
   * @return True if the instance was live.
   */
  bool MarkLeaving(const core::InstanceId& id);

  /**
   * @brief Records that the link to a peer is up.
   * @param peer The peer.
   * @return True if the peer was treated as down.
   */
  bool RecordLinkUp(const core::InstanceId& peer);

  /**
   * @brief Records that the link to a peer is down.
   * @param peer The peer.
   * @param now The current time.
   */
  void RecordLinkDown(const core::InstanceId& peer, core::TimePoint now);

  /**
   * @brief Treats peers as down whose links were down for longer than the
   * time-out.
   * @param now The current time.
   * @return True if any peer is newly down.
   */
  bool ExpireLinks(core::TimePoint now);

  /** @brief Computes the current view. */
  MembershipView View() const;

  /**
   * @brief Lists the peers to keep links to: all peers of the own region, and
   * one of each other region.
   */
  std::vector<PeerAddress> LinkedPeers() const;

 private:
  /** @brief State of the link to a peer. */
  struct Link {
    core::TimePoint down_deadline;
    bool is_linked = false;
    bool is_down = false;
  };

  void ApplyRecord(const fleet::InstanceRecord& record, core::TimePoint now);
  bool RemoveMissing(const MembershipUpdate& update);
  bool IsUp(const fleet::InstanceRecord& entry) const;
  std::vector<core::InstanceId> UpEntries() const;
  void AddTarget(const fleet::InstanceRecord& target,
                 MembershipView& view) const;
  std::vector<core::InstanceId> SelectOwner(const fleet::InstanceRecord& target,
                                            const MembershipView& view) const;
  void AddPeers(MembershipView& view) const;
  bool WatchesStore(const MembershipView& view) const;

  const LocalInstance m_self;
  MembershipVersion m_version;
  std::map<core::InstanceId, fleet::Instance> m_instances;
  std::map<core::InstanceId, Link> m_links;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MEMBERSHIP_TABLE_H_
