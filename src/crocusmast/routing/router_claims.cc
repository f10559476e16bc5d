#include "crocusmast/routing/router.h"

namespace crocusmast::routing {

using request::DecisionKind;
using request::Outcome;
using request::Reason;

void Router::ContinueClaim(Pending& pending) {
  const core::RequestId& id = pending.request.Spec().id;
  const request::ClaimToken token{m_self.id, pending.key};
  pending.needs_claim = true;
  while (std::optional<core::InstanceId> holder =
             m_claims.NextHolder(id, pending.claims)) {
    if (*holder != m_self.id) {
      Instruct(pending, ClaimAt{pending.key, *holder, token});
      return;
    }
    const request::ClaimOutcome outcome =
        m_claims.Register().Claim(id, token, m_ports.clock.Now());
    if (!TakeClaim(pending, *holder, outcome)) {
      return;
    }
  }
  pending.needs_claim = false;
  Place(pending);
}

bool Router::TakeClaim(Pending& pending,
                       const core::InstanceId& holder,
                       request::ClaimOutcome outcome) {
  const request::RequestSpec& spec = pending.request.Spec();
  if (outcome == request::ClaimOutcome::kFresh) {
    pending.claims.insert(holder);
    m_recorder.Record(spec, DecisionKind::kClaimed, holder);
    return true;
  }
  if (outcome == request::ClaimOutcome::kFull) {
    Conclude(pending, Reason::kClaimFailed);
    return false;
  }
  m_ports.meter.Add(core::Counter::kDuplicatesStopped, 1);
  m_recorder.Record(spec, DecisionKind::kUnknown, {}, Reason::kDuplicate);
  Instruct(pending,
           GiveUp{Outcome::kUnknown, Reason::kDuplicate, RetryAfter(spec)});
  Erase(pending);
  return false;
}

void Router::On(const ClaimFinished& message) {
  const auto found = m_pending.find(message.key.Count());
  if (found == m_pending.end() || !found->second.needs_claim) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
    return;
  }
  if (!message.outcome) {
    m_claims_to_repeat.insert(message.key.Count());
    return;
  }
  if (TakeClaim(found->second, message.holder, *message.outcome)) {
    ContinueClaim(found->second);
  }
}

void Router::ReleaseClaims(const Pending& pending) {
  const core::RequestId& id = pending.request.Spec().id;
  const request::ClaimToken token{m_self.id, pending.key};
  for (const core::InstanceId& holder : pending.claims) {
    if (holder == m_self.id) {
      m_claims.Register().Release(id, token);
    } else {
      m_ports.peers.SendRelease(holder, id, token);
    }
  }
}

void Router::On(const ClaimSeen& message) {
  const request::ClaimOutcome outcome =
      m_claims.Register().Claim(message.id, message.token, m_ports.clock.Now());
  m_ports.peers.SendClaimReply(message.peer, message.call, outcome);
}

void Router::On(const ReleaseSeen& message) {
  m_claims.Register().Release(message.id, message.token);
}

}  // namespace crocusmast::routing
