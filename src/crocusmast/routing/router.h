#ifndef CROCUSMAST_ROUTING_ROUTER_H_
#define CROCUSMAST_ROUTING_ROUTER_H_

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "crocusmast/core/message_thread.h"
#include "crocusmast/routing/claim_directory.h"
#include "crocusmast/routing/decision_recorder.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/peer_free_slots.h"
#include "crocusmast/routing/pending_request.h"
#include "crocusmast/routing/placement_resolver.h"
#include "crocusmast/routing/quota_manager.h"
#include "crocusmast/routing/retry_budget.h"
#include "crocusmast/routing/target_leaving_listener.h"
#include "crocusmast/routing/target_table.h"
#include "crocusmast/routing/wait_queue.h"

namespace crocusmast::routing {

/** @brief The maximum number of attempts for a request. */
inline constexpr std::size_t kMaxAttempts = 3;
/**
 * @brief If the router did not run for this long, its membership view may be
 * out of date, and it sends nothing to targets for kTakeoverDelay.
 */
inline constexpr std::chrono::milliseconds kStallLimit{1500};
/** @brief The shortest time between two reports of free slots. */
inline constexpr std::chrono::milliseconds kMinReportInterval{20};
/**
 * @brief The shortest time between reports in which no pool's free slots change
 * from or to zero.
 */
inline constexpr std::chrono::milliseconds kMinorReportInterval{250};
/** @brief Interval between checks of all quotas for idle slots to return. */
inline constexpr std::chrono::milliseconds kQuotaCheckInterval{100};
/**
 * @brief Interval after which the free slots of all pools are reported again,
 * even if unchanged.
 */
inline constexpr std::chrono::seconds kReportRefreshInterval{5};

/** @brief The interfaces that the router uses; all must outlive it. */
struct RouterPorts {
  /** @brief Sends messages to other entry instances. */
  PeerNotifier& peers;
  /** @brief Is notified of targets that are leaving. */
  TargetLeavingListener& leaving_listener;
  /** @brief The logger. */
  core::Logger& logger;
  /** @brief The metrics. */
  core::Meter& meter;
  /** @brief The clock. */
  const core::Clock& clock;
};

/** @brief Identity of the instance that runs the router. */
struct RouterIdentity {
  /** @brief Its id. */
  core::InstanceId id;
  /** @brief Its availability zone. */
  core::ZoneId zone;
  /**
   * @brief A number greater than that of any earlier run of this instance. The
   * request keys and quota sessions of a run are counted up from it.
   */
  std::uint64_t run_number = 0;
};

/** @brief Decides when each request is sent, and to which target or peer. */
class Router final : public core::MessageHandler<Message> {
 public:
  /**
   * @brief Constructs a router without plan lists and targets.
   * @param self The instance that runs it.
   * @param ports The interfaces to use.
   */
  Router(RouterIdentity self, RouterPorts ports);

  void Handle(Message&& message) override;
  void Tick() override;

 private:
  void On(const std::monostate& nothing) {}
  void On(RequestArrived& message);
  void On(const AttemptFinished& message);
  void On(const ClaimFinished& message);
  void On(const RequestAbandoned& message);
  void On(const MembershipChanged& message);
  void On(const PlanListsChanged& message);
  void On(const FreeSlotsReceived& message);
  void On(const TargetReleaseReceived& message);
  void On(const QuotaDemandReceived& message);
  void On(const QuotaGrantReceived& message);
  void On(const ClaimReceived& message);
  void On(const ClaimReleaseReceived& message);
  void On(const IdleQueryReceived& message);
  void On(const ExplainQuery& message);
  void On(const StatusQuery& message);

  void Admit(RequestArrived& message, const QuotaKey& quota);
  void ContinueClaim(PendingRequest& pending);
  /**
   * @brief Handles the outcome of a claim.
   * @return True if it was granted; otherwise the request was ended and erased.
   */
  bool HandleClaimOutcome(PendingRequest& pending,
                          const core::InstanceId& replica,
                          request::ClaimOutcome outcome);
  void ReleaseClaims(const PendingRequest& pending);

  void PlaceOrEnqueue(PendingRequest& pending);
  void Enqueue(PendingRequest& pending);
  bool TryPlace(PendingRequest& pending);
  bool TryPlaceLocally(PendingRequest& pending, const Placement& placement);
  bool TryPlaceAtPeer(PendingRequest& pending, const Placement& placement);
  bool TryStartQueued(core::RequestKey key);
  void StartQueued(const core::PoolId& pool);
  void StartAllQueued();

  void ReturnResources(PendingRequest& pending, const AttemptFinished& message);
  void OnFailedAnswer(PendingRequest& pending);
  void OnUnansweredAttempt(PendingRequest& pending, request::Reason reason);
  bool TryTakeRetry(const PendingRequest& pending);
  void FinishUnanswered(PendingRequest& pending, request::Reason reason);
  void Refuse(const RequestArrived& message, request::Reason reason);
  void Instruct(PendingRequest& pending, Instruction instruction);
  void Erase(PendingRequest& pending);
  void ExpireDeadlines();
  std::chrono::seconds RetryAfter(const request::RequestSpec& spec) const;

  void BlockTargetsAfterStall(core::TimePoint now);
  void SendUpdates();
  void RecordPreviousOwners(const membership::MembershipView& next,
                            core::TimePoint now);
  void ApplyReleases();
  void SendReleases();
  std::vector<core::InstanceId> PeerIds() const;
  void SendQuotaMessages();
  void SendFreeSlots(core::TimePoint now);
  void ResetSentFreeSlots();

  /** @brief A peer's message that it no longer uses a target. */
  struct Release {
    core::InstanceId peer;
    core::Incarnation incarnation;
    core::TimePoint received_at;
  };

  const RouterIdentity m_self;
  RouterPorts m_ports;
  DecisionRecorder m_recorder;
  PlacementResolver m_placements;
  TargetTable m_table;
  WaitQueue m_queue;
  PeerFreeSlots m_peer_free_slots;
  QuotaManager m_quotas;
  ClaimDirectory m_claims;
  RetryBudget m_retry_budget;
  core::Revision m_revision;
  std::shared_ptr<const membership::MembershipView> m_membership;
  std::unordered_map<std::uint64_t, PendingRequest> m_pending;
  std::set<std::pair<core::TimePoint, std::uint64_t>> m_deadlines;
  std::set<std::uint64_t> m_claims_to_retry;
  std::map<core::InstanceId, core::InstanceId> m_previous_owner;
  std::map<core::InstanceId, Release> m_releases;
  std::map<core::PoolId, std::uint64_t> m_sent_free_slots;
  std::set<core::PoolId> m_changed_pools;
  core::TimePoint m_report_sent_at;
  core::TimePoint m_report_reset_at;
  core::TimePoint m_quotas_checked_at;
  core::TimePoint m_last_tick;
  std::uint64_t m_next_key;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_ROUTER_H_
