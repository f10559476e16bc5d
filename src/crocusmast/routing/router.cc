#include "crocusmast/routing/router.h"

#include <functional>
#include <string>

namespace crocusmast::routing {

using request::DecisionKind;
using request::Delivery;
using request::Outcome;
using request::Reason;

Router::Router(RouterSelf self, RouterPorts ports)
    : m_self(std::move(self)),
      m_ports(ports),
      m_recorder(ports.logger, ports.meter, ports.clock),
      m_shares(m_self.id, ShareSession(m_self.run)),
      m_roster(std::make_shared<const membership::RosterView>()),
      m_last_tick(ports.clock.Now()),
      m_next_key(m_self.run) {}

void Router::Handle(Message&& message) {
  HoldAfterPause(m_ports.clock.Now());
  std::visit([this](auto& content) { On(content); }, message);
  AfterMessage();
}

void Router::HoldAfterPause(core::TimePoint now) {
  if (m_last_tick + kPauseLimit <= now) {
    m_table.HoldAll(now + kTakeoverHold);
  }
}

void Router::Tick() {
  const core::TimePoint now = m_ports.clock.Now();
  HoldAfterPause(now);
  m_last_tick = now;
  m_table.Advance(now);
  ExpireDeadlines();
  for (const std::uint64_t key : std::exchange(m_claims_to_repeat, {})) {
    const auto found = m_pending.find(key);
    if (found != m_pending.end()) {
      ContinueClaim(found->second);
    }
  }
  DrainAll();
  for (const core::PoolId& pool : m_table.Pools()) {
    m_changed_pools.insert(pool);
  }
  if (m_loads_forgotten_at + kLoadRepeat <= now) {
    ForgetToldLoads();
  }
  if (m_shares_checked_at + kShareCheck <= now) {
    m_shares_checked_at = now;
    m_shares.Borrower().TouchAll();
  }
  AfterMessage();
}

// Arrivals.

void Router::On(Arrival& message) {
  const ShareKey share{message.spec.plan, message.spec.kind};
  if (!m_placements.HasPlan(share.plan)) {
    Refuse(message, Reason::kUnknownPlan);
    return;
  }
  if (m_placements.Find(share) == nullptr) {
    Refuse(message, Reason::kNoAllowance);
    return;
  }
  Admit(message, share);
}

void Router::Admit(Arrival& message, const ShareKey& share) {
  m_retries.Earn();
  const core::RequestKey key(m_next_key++);
  const bool needs_claim = !message.is_forwarded &&
                           message.spec.repeat == request::Repeat::kAtMostOnce;
  const WaitPlace place{m_placements.Find(share)->pool, message.spec.urgency,
                        share, message.is_forwarded};
  const bool is_admitted = core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_AUTO(request, request::Request::Create(message.spec,
                                                          m_ports.clock.Now()));
        m_pending.emplace(key.Count(), Pending{std::move(request),
                                               key,
                                               message.reply,
                                               place,
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
  Pending& pending = m_pending.at(key.Count());
  m_deadlines.emplace(message.spec.deadline, key.Count());
  if (needs_claim) {
    ContinueClaim(pending);
  } else {
    Place(pending);
  }
}

void Router::Refuse(const Arrival& message, Reason reason) {
  m_recorder.Record(message.spec, DecisionKind::kRefused, {}, reason);
  message.reply->TryPush(
      GiveUp{Outcome::kRefused, reason, RetryAfter(message.spec)});
}

std::chrono::seconds Router::RetryAfter(
    const request::RequestSpec& spec) const {
  constexpr std::size_t kSpread = 4;
  const std::size_t hash = std::hash<core::RequestId>()(spec.id);
  return std::chrono::seconds(1 + hash % kSpread);
}

// Placement.

void Router::Place(Pending& pending) {
  const bool has_queue = m_queue.WaitingFor(pending.place.pool) > 0;
  if (!has_queue && TryPlace(pending)) {
    return;
  }
  const core::PoolId pool = pending.place.pool;
  Enqueue(pending);
  if (has_queue) {
    Drain(pool);
  }
}

void Router::Enqueue(Pending& pending) {
  if (!m_queue.Push(pending.place, pending.key)) {
    Conclude(pending, Reason::kQueueFull);
    return;
  }
  pending.is_queued = true;
  m_recorder.Record(pending.request.Spec(), DecisionKind::kQueued);
  const ShareKey& share = pending.place.share;
  m_shares.Borrower().SetWaiting(share, m_queue.Waiting(share));
}

bool Router::TryPlace(Pending& pending) {
  const std::shared_ptr<const Placement> placement =
      m_placements.Find(pending.place.share);
  if (placement == nullptr) {
    return false;
  }
  const bool needs_share = !pending.place.is_forwarded;
  if (needs_share && !m_shares.Borrower().TryAcquire(pending.place.share,
                                                     m_ports.clock.Now())) {
    return false;
  }
  if (TryPlaceHere(pending, *placement) ||
      TryPlaceAtPeer(pending, *placement)) {
    m_ports.meter.Observe(core::Timing::kQueueWait,
                          m_ports.clock.Now() - pending.request.ArrivedAt());
    return true;
  }
  if (needs_share) {
    m_shares.Borrower().Release(pending.place.share);
  }
  return false;
}

bool Router::TryPlaceHere(Pending& pending, const Placement& placement) {
  const Selection selection{placement.pool, pending.place.urgency,
                            &placement.targets, &pending.request.Tried()};
  std::optional<Choice> choice = m_table.Choose(selection, m_ports.clock.Now());
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

bool Router::TryPlaceAtPeer(Pending& pending, const Placement& placement) {
  if (pending.place.is_forwarded) {
    return false;
  }
  const std::optional<core::InstanceId> peer = m_peer_loads.Choose(
      placement.pool, placement.peers, m_self.zone, pending.request.Tried());
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
  Pending& pending = m_pending.at(key.Count());
  if (!TryPlace(pending)) {
    return false;
  }
  pending.is_queued = false;
  return true;
}

void Router::Drain(const core::PoolId& pool) {
  ShareKey started;
  const auto start = [&](core::RequestKey key) {
    started = m_pending.at(key.Count()).place.share;
    return TryStartQueued(key);
  };
  while (m_queue.StartNext(pool, start)) {
    m_shares.Borrower().SetWaiting(started, m_queue.Waiting(started));
  }
}

void Router::DrainAll() {
  for (const core::PoolId& pool : m_queue.Pools()) {
    Drain(pool);
  }
}

// Ends of attempts.

void Router::On(const SendFinished& message) {
  const auto found = m_pending.find(message.key.Count());
  if (found == m_pending.end()) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
    return;
  }
  Pending& pending = found->second;
  const core::PoolId pool = pending.place.pool;
  const std::optional<bool> waits = core::Handle(
      [&]() -> core::Result<std::optional<bool>> {
        BOOST_LEAF_AUTO(again, pending.request.Settle(message.source,
                                                      message.report.delivery));
        return std::optional<bool>(again);
      },
      [](const core::Error&) { return std::optional<bool>(); });
  if (!waits) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
    return;
  }
  ReturnResources(pending, message);
  const bool is_answered = message.report.delivery == Delivery::kAnswered;
  if (is_answered && !message.report.is_failure) {
    m_recorder.Record(pending.request.Spec(), DecisionKind::kAnswered,
                      message.source);
    Erase(pending);
  } else if (is_answered) {
    OnFailedAnswer(pending);
  } else if (*waits) {
    OnLostAttempt(pending, message.reason);
  } else {
    m_recorder.Record(pending.request.Spec(), DecisionKind::kUnknown,
                      message.source, Reason::kLostAnswer);
    Instruct(pending, GiveUp{Outcome::kUnknown, Reason::kLostAnswer,
                             RetryAfter(pending.request.Spec())});
    Erase(pending);
  }
  Drain(pool);
}

void Router::ReturnResources(Pending& pending, const SendFinished& message) {
  const core::TimePoint now = m_ports.clock.Now();
  m_changed_pools.insert(pending.place.pool);
  if (!pending.place.is_forwarded) {
    m_shares.Borrower().Release(pending.place.share);
  }
  if (!pending.choice) {
    const bool is_full = message.report.delivery == Delivery::kNotRun;
    m_peer_loads.Finish(pending.place.pool, message.source, is_full);
    return;
  }
  m_ports.meter.Observe(core::Timing::kTargetCall, message.report.latency);
  if (m_table.Finish(*pending.choice, message.report, now)) {
    m_ports.meter.Add(core::Counter::kCircuitsOpened, 1);
    m_ports.logger.Write(
        {core::Part::kRouting,
         core::Severity::kWarning,
         "The circuit of " + message.source.Text() + " is open.",
         {{"target", message.source.Text()}}});
  }
  if (message.report.is_leaving) {
    m_ports.leaving.TargetLeaves(message.source);
  }
  pending.choice.reset();
}

bool Router::MayRetry(const Pending& pending) {
  return pending.request.Tried().size() < kMaxAttempts &&
         m_ports.clock.Now() < pending.request.Spec().deadline &&
         m_retries.TrySpend();
}

void Router::OnFailedAnswer(Pending& pending) {
  const bool is_repeatable =
      pending.request.Spec().repeat == request::Repeat::kRepeatable;
  if (is_repeatable && MayRetry(pending)) {
    core::Handle([&] { return pending.request.Reopen(); },
                 [](const core::Error&) {});
    m_recorder.Record(pending.request.Spec(), DecisionKind::kRetried);
    if (TryPlace(pending)) {
      return;
    }
  }
  m_recorder.Record(pending.request.Spec(), DecisionKind::kAnswered,
                    pending.request.Tried().back());
  Instruct(pending, ReturnAnswer{});
  Erase(pending);
}

void Router::OnLostAttempt(Pending& pending, Reason reason) {
  if (!MayRetry(pending)) {
    Conclude(pending, reason == Reason::kNone ? Reason::kAttempts : reason);
    return;
  }
  m_recorder.Record(pending.request.Spec(), DecisionKind::kRetried);
  if (!TryPlace(pending)) {
    Enqueue(pending);
  }
}

void Router::Conclude(Pending& pending, Reason reason) {
  const Outcome outcome =
      core::Handle([&] { return pending.request.GiveUp(); },
                   [](const core::Error&) { return Outcome::kUnknown; });
  const bool is_refused = outcome == Outcome::kRefused;
  if (is_refused) {
    ReleaseClaims(pending);
  }
  const request::RequestSpec& spec = pending.request.Spec();
  m_recorder.Record(
      spec, is_refused ? DecisionKind::kRefused : DecisionKind::kUnknown, {},
      reason);
  Instruct(pending, GiveUp{outcome, reason, RetryAfter(spec)});
  Erase(pending);
}

void Router::Instruct(Pending& pending, Instruction instruction) {
  pending.reply->TryPush(std::move(instruction));
}

void Router::Erase(Pending& pending) {
  if (pending.is_queued) {
    const ShareKey share = pending.place.share;
    m_queue.Remove(pending.place, pending.key);
    m_shares.Borrower().SetWaiting(share, m_queue.Waiting(share));
  }
  const std::uint64_t key = pending.key.Count();
  m_deadlines.erase({pending.request.Spec().deadline, key});
  m_pending.erase(key);
}

void Router::ExpireDeadlines() {
  const core::TimePoint now = m_ports.clock.Now();
  auto next = m_deadlines.begin();
  while (next != m_deadlines.end() && next->first <= now) {
    Pending& pending = m_pending.at(next->second);
    ++next;
    if (pending.request.CurrentState() == request::State::kWaiting) {
      Conclude(pending,
               pending.needs_claim ? Reason::kClaimFailed : Reason::kDeadline);
    }
  }
}

void Router::On(const Abandoned& message) {
  for (auto& [key, pending] : m_pending) {
    if (pending.reply != message.reply) {
      continue;
    }
    if (pending.request.CurrentState() == request::State::kSent) {
      ReturnResources(
          pending,
          SendFinished{
              pending.key, pending.request.Tried().back(), {}, Reason::kNone});
    }
    Conclude(pending, Reason::kOverloaded);
    return;
  }
}

}  // namespace crocusmast::routing
