#include "crocusmast/routing/router.h"

#include <functional>
#include <string>

namespace crocusmast::routing {

using request::DecisionKind;
using request::DeliveryStatus;
using request::Outcome;
using request::Reason;

Router::Router(RouterIdentity self, RouterPorts ports)
    : m_self(std::move(self)),
      m_ports(ports),
      m_recorder(ports.logger, ports.meter, ports.clock),
      m_quotas(m_self.id, QuotaSession(m_self.run_number)),
      m_membership(std::make_shared<const membership::MembershipView>()),
      m_last_tick(ports.clock.Now()),
      m_next_key(m_self.run_number) {}

void Router::Handle(Message&& message) {
  BlockTargetsAfterStall(m_ports.clock.Now());
  std::visit([this](auto& content) { On(content); }, message);
  SendUpdates();
}

void Router::BlockTargetsAfterStall(core::TimePoint now) {
  if (m_last_tick + kStallLimit <= now) {
    m_table.BlockAll(now + kTakeoverDelay);
  }
}

void Router::Tick() {
  const core::TimePoint now = m_ports.clock.Now();
  BlockTargetsAfterStall(now);
  m_last_tick = now;
  m_table.Advance(now);
  ExpireDeadlines();
  for (const std::uint64_t key : std::exchange(m_claims_to_retry, {})) {
    const auto found = m_pending.find(key);
    if (found != m_pending.end()) {
      ContinueClaim(found->second);
    }
  }
  StartAllQueued();
  for (const core::PoolId& pool : m_table.Pools()) {
    m_changed_pools.insert(pool);
  }
  if (m_report_reset_at + kReportRefreshInterval <= now) {
    ResetSentFreeSlots();
  }
  if (m_quotas_checked_at + kQuotaCheckInterval <= now) {
    m_quotas_checked_at = now;
    m_quotas.Borrower().MarkAllDirty();
  }
  SendUpdates();
}

void Router::On(RequestArrived& message) {
  const QuotaKey quota{message.spec.plan, message.spec.kind};
  if (!m_placements.HasPlan(quota.plan)) {
    Refuse(message, Reason::kUnknownPlan);
    return;
  }
  if (m_placements.Find(quota) == nullptr) {
    Refuse(message, Reason::kNoAllowance);
    return;
  }
  Admit(message, quota);
}

void Router::Admit(RequestArrived& message, const QuotaKey& quota) {
  m_retry_budget.Deposit();
  const core::RequestKey key(m_next_key++);
  const bool needs_claim =
      !message.is_forwarded &&
      message.spec.retry_safety == request::RetrySafety::kAtMostOnce;
  const WaitQueueKey queue_key{m_placements.Find(quota)->pool,
                               message.spec.urgency, quota,
                               message.is_forwarded};
  const bool is_admitted = core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_AUTO(request, request::Request::Create(message.spec,
                                                          m_ports.clock.Now()));
        m_pending.emplace(key.Count(), PendingRequest{std::move(request),
                                                      key,
                                                      message.instructions,
                                                      queue_key,
                                                      {},
                                                      {},
                                                      false,
                                                      false});
        return true;
      },
      [](const core::Error&) { return false; });
  if (!is_admitted) {
    Refuse(message, Reason::kDeadline);
    return;
  }
  PendingRequest& pending = m_pending.at(key.Count());
  m_deadlines.emplace(message.spec.deadline, key.Count());
  if (needs_claim) {
    ContinueClaim(pending);
  } else {
    PlaceOrEnqueue(pending);
  }
}

void Router::Refuse(const RequestArrived& message, Reason reason) {
  m_recorder.Record(message.spec, DecisionKind::kRefused, {}, reason);
  message.instructions->TryPush(
      ReturnError{Outcome::kRefused, reason, RetryAfter(message.spec)});
}

std::chrono::seconds Router::RetryAfter(
    const request::RequestSpec& spec) const {
  // The request id sets the delay, which spreads the retries of callers.
  constexpr std::size_t kMaxRetryAfterSeconds = 4;
  const std::size_t hash = std::hash<core::RequestId>()(spec.id);
  return std::chrono::seconds(1 + hash % kMaxRetryAfterSeconds);
}

void Router::PlaceOrEnqueue(PendingRequest& pending) {
  const bool has_queue = m_queue.WaitingForPool(pending.queue_key.pool) > 0;
  if (!has_queue && TryPlace(pending)) {
    return;
  }
  const core::PoolId pool = pending.queue_key.pool;
  Enqueue(pending);
  if (has_queue) {
    StartQueued(pool);
  }
}

void Router::Enqueue(PendingRequest& pending) {
  if (!m_queue.Push(pending.queue_key, pending.key)) {
    FinishUnanswered(pending, Reason::kQueueFull);
    return;
  }
  pending.is_queued = true;
  m_recorder.Record(pending.request.Spec(), DecisionKind::kQueued);
  const QuotaKey& quota = pending.queue_key.quota;
  m_quotas.Borrower().SetWaiting(quota, m_queue.WaitingForQuota(quota));
}

bool Router::TryPlace(PendingRequest& pending) {
  const std::shared_ptr<const Placement> placement =
      m_placements.Find(pending.queue_key.quota);
  if (placement == nullptr) {
    return false;
  }
  const bool needs_quota = !pending.queue_key.is_forwarded;
  if (needs_quota && !m_quotas.Borrower().TryAcquire(pending.queue_key.quota,
                                                     m_ports.clock.Now())) {
    return false;
  }
  if (TryPlaceLocally(pending, *placement) ||
      TryPlaceAtPeer(pending, *placement)) {
    m_ports.meter.Observe(core::Timing::kQueueWait,
                          m_ports.clock.Now() - pending.request.ArrivedAt());
    return true;
  }
  if (needs_quota) {
    m_quotas.Borrower().Release(pending.queue_key.quota);
  }
  return false;
}

bool Router::TryPlaceLocally(PendingRequest& pending,
                             const Placement& placement) {
  const TargetCriteria criteria{placement.pool, pending.queue_key.urgency,
                                &placement.targets,
                                &pending.request.AttemptedDestinations()};
  std::optional<ChosenTarget> choice =
      m_table.Choose(criteria, m_ports.clock.Now());
  if (!choice) {
    return false;
  }
  m_changed_pools.insert(placement.pool);
  core::Handle([&] { return pending.request.Send(choice->target); },
               [](const core::Error&) {});
  m_recorder.Record(pending.request.Spec(), DecisionKind::kSent,
                    choice->target);
  pending.choice = choice;
  Instruct(pending, SendTo{pending.key, *std::move(choice)});
  return true;
}

bool Router::TryPlaceAtPeer(PendingRequest& pending,
                            const Placement& placement) {
  if (pending.queue_key.is_forwarded) {
    return false;
  }
  const std::optional<core::InstanceId> peer =
      m_peer_free_slots.Choose(placement.pool, placement.peers, m_self.zone,
                               pending.request.AttemptedDestinations());
  if (!peer) {
    return false;
  }
  core::Handle([&] { return pending.request.Send(*peer); },
               [](const core::Error&) {});
  m_recorder.Record(pending.request.Spec(), DecisionKind::kForwarded, *peer);
  Instruct(pending, ForwardTo{pending.key, *peer});
  return true;
}

bool Router::TryStartQueued(core::RequestKey key) {
  PendingRequest& pending = m_pending.at(key.Count());
  if (!TryPlace(pending)) {
    return false;
  }
  pending.is_queued = false;
  return true;
}

void Router::StartQueued(const core::PoolId& pool) {
  QuotaKey started;
  const auto start = [&](core::RequestKey key) {
    started = m_pending.at(key.Count()).queue_key.quota;
    return TryStartQueued(key);
  };
  while (m_queue.StartNext(pool, start)) {
    m_quotas.Borrower().SetWaiting(started, m_queue.WaitingForQuota(started));
  }
}

void Router::StartAllQueued() {
  for (const core::PoolId& pool : m_queue.Pools()) {
    StartQueued(pool);
  }
}

void Router::On(const AttemptFinished& message) {
  const auto found = m_pending.find(message.key.Count());
  if (found == m_pending.end()) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
    return;
  }
  PendingRequest& pending = found->second;
  const core::PoolId pool = pending.queue_key.pool;
  // Empty if the report is late, duplicate or from another instance.
  const std::optional<bool> can_retry = core::Handle(
      [&]() -> core::Result<std::optional<bool>> {
        BOOST_LEAF_AUTO(is_waiting,
                        pending.request.FinishAttempt(message.destination,
                                                      message.report.delivery));
        return std::optional<bool>(is_waiting);
      },
      [](const core::Error&) { return std::optional<bool>(); });
  if (!can_retry) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
    return;
  }
  ReturnResources(pending, message);
  const bool is_answered = message.report.delivery == DeliveryStatus::kAnswered;
  if (is_answered && !message.report.is_failure) {
    m_recorder.Record(pending.request.Spec(), DecisionKind::kAnswered,
                      message.destination);
    Erase(pending);
  } else if (is_answered) {
    OnFailedAnswer(pending);
  } else if (*can_retry) {
    OnUnansweredAttempt(pending, message.reason);
  } else {
    m_recorder.Record(pending.request.Spec(), DecisionKind::kUnknown,
                      message.destination, Reason::kLostAnswer);
    Instruct(pending, ReturnError{Outcome::kUnknown, Reason::kLostAnswer,
                                  RetryAfter(pending.request.Spec())});
    Erase(pending);
  }
  StartQueued(pool);
}

void Router::ReturnResources(PendingRequest& pending,
                             const AttemptFinished& message) {
  const core::TimePoint now = m_ports.clock.Now();
  m_changed_pools.insert(pending.queue_key.pool);
  if (!pending.queue_key.is_forwarded) {
    m_quotas.Borrower().Release(pending.queue_key.quota);
  }
  if (!pending.choice) {
    const bool is_full = message.report.delivery == DeliveryStatus::kNotRun;
    m_peer_free_slots.Finish(pending.queue_key.pool, message.destination,
                             is_full);
    return;
  }
  m_ports.meter.Observe(core::Timing::kTargetCall, message.report.latency);
  if (m_table.Finish(*pending.choice, message.report, now)) {
    m_ports.meter.Add(core::Counter::kCircuitsOpened, 1);
    m_ports.logger.Write(
        {core::Component::kRouting,
         core::Severity::kWarning,
         "Circuit breaker of target " + message.destination.Text() + " opened.",
         {{"target", message.destination.Text()}}});
  }
  if (message.report.is_leaving) {
    m_ports.leaving_listener.OnTargetLeaving(message.destination);
  }
  pending.choice.reset();
}

bool Router::TryTakeRetry(const PendingRequest& pending) {
  return pending.request.AttemptedDestinations().size() < kMaxAttempts &&
         m_ports.clock.Now() < pending.request.Spec().deadline &&
         m_retry_budget.TryWithdraw();
}

void Router::OnFailedAnswer(PendingRequest& pending) {
  const bool is_repeatable =
      pending.request.Spec().retry_safety == request::RetrySafety::kRepeatable;
  if (is_repeatable && TryTakeRetry(pending)) {
    core::Handle([&] { return pending.request.PrepareRetry(); },
                 [](const core::Error&) {});
    m_recorder.Record(pending.request.Spec(), DecisionKind::kRetried);
    if (TryPlace(pending)) {
      return;
    }
  }
  m_recorder.Record(pending.request.Spec(), DecisionKind::kAnswered,
                    pending.request.AttemptedDestinations().back());
  Instruct(pending, ReturnAnswer{});
  Erase(pending);
}

void Router::OnUnansweredAttempt(PendingRequest& pending, Reason reason) {
  if (!TryTakeRetry(pending)) {
    FinishUnanswered(pending,
                     reason == Reason::kNone ? Reason::kAttempts : reason);
    return;
  }
  m_recorder.Record(pending.request.Spec(), DecisionKind::kRetried);
  if (!TryPlace(pending)) {
    Enqueue(pending);
  }
}

void Router::FinishUnanswered(PendingRequest& pending, Reason reason) {
  const Outcome outcome =
      core::Handle([&] { return pending.request.Abort(); },
                   [](const core::Error&) { return Outcome::kUnknown; });
  const bool is_refused = outcome == Outcome::kRefused;
  if (is_refused) {
    ReleaseClaims(pending);
  }
  const request::RequestSpec& spec = pending.request.Spec();
  m_recorder.Record(
      spec, is_refused ? DecisionKind::kRefused : DecisionKind::kUnknown, {},
      reason);
  Instruct(pending, ReturnError{outcome, reason, RetryAfter(spec)});
  Erase(pending);
}

void Router::Instruct(PendingRequest& pending, Instruction instruction) {
  pending.instructions->TryPush(std::move(instruction));
}

void Router::Erase(PendingRequest& pending) {
  if (pending.is_queued) {
    const QuotaKey quota = pending.queue_key.quota;
    m_queue.Remove(pending.queue_key, pending.key);
    m_quotas.Borrower().SetWaiting(quota, m_queue.WaitingForQuota(quota));
  }
  const std::uint64_t key = pending.key.Count();
  m_deadlines.erase({pending.request.Spec().deadline, key});
  m_pending.erase(key);
}

void Router::ExpireDeadlines() {
  const core::TimePoint now = m_ports.clock.Now();
  auto next = m_deadlines.begin();
  while (next != m_deadlines.end() && next->first <= now) {
    PendingRequest& pending = m_pending.at(next->second);
    ++next;
    if (pending.request.CurrentState() == request::RequestState::kWaiting) {
      FinishUnanswered(pending, pending.needs_claim ? Reason::kClaimFailed
                                                    : Reason::kDeadline);
    }
  }
}

void Router::On(const RequestAbandoned& message) {
  for (auto& [key, pending] : m_pending) {
    if (pending.instructions != message.instructions) {
      continue;
    }
    if (pending.request.CurrentState() == request::RequestState::kSent) {
      ReturnResources(
          pending,
          AttemptFinished{pending.key,
                          pending.request.AttemptedDestinations().back(),
                          {},
                          Reason::kNone});
    }
    FinishUnanswered(pending, Reason::kOverloaded);
    return;
  }
}

}  // namespace crocusmast::routing
