#ifndef CROCUSMAST_MEMBERSHIP_ROSTER_H_
#define CROCUSMAST_MEMBERSHIP_ROSTER_H_

#include <map>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/fleet/instance.h"
#include "crocusmast/membership/membership_list.h"
#include "crocusmast/membership/roster_view.h"

namespace crocusmast::membership {

/** @brief A peer without a link for this long no longer owns targets. */
inline constexpr std::chrono::milliseconds kPeerDownTimeout{700};
/** @brief A peer that was never linked is given this long. */
inline constexpr std::chrono::milliseconds kFirstLinkTimeout{3000};

/** @brief The instance that the roster is kept by. */
struct LocalInstance {
  /** @brief Its id. */
  core::InstanceId id;
  /** @brief Its region. */
  core::RegionId region;
  /** @brief Its availability zone. */
  core::ZoneId zone;
};

/**
 * @brief Who is live, from the list, from links and from hints; a root.
 *
 * An entry instance counts as up while the list names it live and its link
 * has not been down for longer than the grace.
 */
class Roster {
 public:
  /**
   * @brief Makes a roster that knows only its keeper.
   * @param self The instance that keeps it.
   */
  explicit Roster(LocalInstance self);

  /** @brief Returns the version of the list taken in. */
  ListVersion Version() const { return m_version; }

  /**
   * @brief Takes in an update of the list.
   * @param update The update.
   * @param now The time.
   * @return True if anything changed.
   */
  bool Apply(const ListUpdate& update, core::TimePoint now);

  /**
   * @brief Takes in that an instance leaves, from a source before the list.
   * @param id The instance.
   * @return True if it was live.
   */
  bool MarkLeaving(const core::InstanceId& id);

  /**
   * @brief Takes in that a link is up.
   * @param peer The peer.
   * @return True if the peer counted as down.
   */
  bool LinkUp(const core::InstanceId& peer);

  /**
   * @brief Takes in that a link is down.
   * @param peer The peer.
   * @param now The time.
   */
  void LinkDown(const core::InstanceId& peer, core::TimePoint now);

  /**
   * @brief Counts peers as down whose grace has passed.
   * @param now The time.
   * @return True if a peer went down.
   */
  bool ExpireLinks(core::TimePoint now);

  /** @brief Works out what the keeper works from. */
  RosterView View() const;

  /** @brief Lists the peers that the keeper links to. */
  std::vector<PeerAddress> LinkedPeers() const;

 private:
  /** @brief The state of the link to a peer. */
  struct Link {
    core::TimePoint down_deadline;
    bool is_linked = false;
    bool is_down = false;
  };

  void ApplyRecord(const fleet::InstanceRecord& record, core::TimePoint now);
  bool RemoveMissing(const ListUpdate& update);
  bool IsUp(const fleet::InstanceRecord& entry) const;
  std::vector<core::InstanceId> UpEntries() const;
  void AddTarget(const fleet::InstanceRecord& target, RosterView& view) const;
  std::vector<core::InstanceId> RankOwners(const fleet::InstanceRecord& target,
                                           const RosterView& view) const;
  void AddPeers(RosterView& view) const;
  bool WatchesStore(const RosterView& view) const;

  const LocalInstance m_self;
  ListVersion m_version;
  std::map<core::InstanceId, fleet::Instance> m_instances;
  std::map<core::InstanceId, Link> m_links;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_ROSTER_H_
