#ifndef CROCUSMAST_ROUTING_ROUTER_H_
#define CROCUSMAST_ROUTING_ROUTER_H_

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "crocusmast/core/duty.h"
#include "crocusmast/routing/claim_book.h"
#include "crocusmast/routing/leaving_listener.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/peer_loads.h"
#include "crocusmast/routing/pending.h"
#include "crocusmast/routing/placements.h"
#include "crocusmast/routing/recorder.h"
#include "crocusmast/routing/retry_budget.h"
#include "crocusmast/routing/share_book.h"
#include "crocusmast/routing/table.h"
#include "crocusmast/routing/wait_queue.h"

namespace crocusmast::routing {

/** @brief The most attempts at one request. */
inline constexpr std::size_t kMaxAttempts = 3;
/** @brief A duty that did not run for this long takes its view as old. */
inline constexpr std::chrono::milliseconds kPauseLimit{1500};
/** @brief The shortest time between two reports of free slots. */
inline constexpr std::chrono::milliseconds kLoadInterval{20};
/** @brief The time between reports of changes that open or close no pool. */
inline constexpr std::chrono::milliseconds kSmallLoadInterval{250};
/** @brief How often every limit is looked at for slots to give back. */
inline constexpr std::chrono::milliseconds kShareCheck{100};
/** @brief Free slots are reported again after this long, changed or not. */
inline constexpr std::chrono::seconds kLoadRepeat{5};

/** @brief The ports that the routing duty uses; all outlive it. */
struct RouterPorts {
  /** @brief The other entry instances. */
  PeerNews& peers;
  /** @brief Learns which targets leave. */
  LeavingListener& leaving;
  /** @brief The log. */
  core::Logger& logger;
  /** @brief The metrics. */
  core::Meter& meter;
  /** @brief The time. */
  const core::Clock& clock;
};

/** @brief The instance that the router runs on. */
struct RouterSelf {
  /** @brief Its id. */
  core::InstanceId id;
  /** @brief Its availability zone. */
  core::ZoneId zone;
  /** @brief A number above that of any earlier run. */
  std::uint64_t run = 0;
};

/** @brief Decides where each request goes and when. */
class Router final : public core::DutyHandler<Message> {
 public:
  /**
   * @brief Makes a router without lists and targets.
   * @param self The instance that it runs on.
   * @param ports The ports.
   */
  Router(RouterSelf self, RouterPorts ports);

  void Handle(Message&& message) override;
  void Tick() override;

 private:
  void On(const std::monostate& nothing) {}
  void On(Arrival& message);
  void On(const SendFinished& message);
  void On(const ClaimFinished& message);
  void On(const Abandoned& message);
  void On(const RosterChanged& message);
  void On(const ListsChanged& message);
  void On(const LoadsSeen& message);
  void On(const ReleasedSeen& message);
  void On(const WantSeen& message);
  void On(const GrantSeen& message);
  void On(const ClaimSeen& message);
  void On(const ReleaseSeen& message);
  void On(const IdleAsked& message);
  void On(const ExplainQuery& message);
  void On(const StatusQuery& message);

  void Admit(Arrival& message, const ShareKey& share);
  void ContinueClaim(Pending& pending);
  bool TakeClaim(Pending& pending,
                 const core::InstanceId& holder,
                 request::ClaimOutcome outcome);
  void ReleaseClaims(const Pending& pending);

  void Place(Pending& pending);
  void Enqueue(Pending& pending);
  bool TryPlace(Pending& pending);
  bool TryPlaceHere(Pending& pending, const Placement& placement);
  bool TryPlaceAtPeer(Pending& pending, const Placement& placement);
  bool TryStartQueued(core::RequestKey key);
  void Drain(const core::PoolId& pool);
  void DrainAll();

  void ReturnResources(Pending& pending, const SendFinished& message);
  void OnFailedAnswer(Pending& pending);
  void OnLostAttempt(Pending& pending, request::Reason reason);
  bool MayRetry(const Pending& pending);
  void Conclude(Pending& pending, request::Reason reason);
  void Refuse(const Arrival& message, request::Reason reason);
  void Instruct(Pending& pending, Instruction instruction);
  void Erase(Pending& pending);
  void ExpireDeadlines();
  std::chrono::seconds RetryAfter(const request::RequestSpec& spec) const;

  void HoldAfterPause(core::TimePoint now);
  void AfterMessage();
  void NoteOwners(const membership::RosterView& next, core::TimePoint now);
  void UseReleases();
  void SendReleases();
  std::vector<core::InstanceId> PeerIds() const;
  void SendShareNews();
  void SendLoads(core::TimePoint now);
  void ForgetToldLoads();

  /** @brief What a peer said of a target that it has done with. */
  struct Release {
    core::InstanceId peer;
    core::Incarnation incarnation;
    core::TimePoint at;
  };

  const RouterSelf m_self;
  RouterPorts m_ports;
  Recorder m_recorder;
  Placements m_placements;
  Table m_table;
  WaitQueue m_queue;
  PeerLoads m_peer_loads;
  ShareBook m_shares;
  ClaimBook m_claims;
  RetryBudget m_retries;
  core::Revision m_revision;
  std::shared_ptr<const membership::RosterView> m_roster;
  std::unordered_map<std::uint64_t, Pending> m_pending;
  std::set<std::pair<core::TimePoint, std::uint64_t>> m_deadlines;
  std::set<std::uint64_t> m_claims_to_repeat;
  std::map<core::InstanceId, core::InstanceId> m_owner_before;
  std::map<core::InstanceId, Release> m_releases;
  std::map<core::PoolId, std::uint64_t> m_told_loads;
  std::set<core::PoolId> m_changed_pools;
  core::TimePoint m_loads_sent_at;
  core::TimePoint m_loads_forgotten_at;
  core::TimePoint m_shares_checked_at;
  core::TimePoint m_last_tick;
  std::uint64_t m_next_key;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_ROUTER_H_
