#include "crocusmast/routing/router.h"

namespace crocusmast::routing {

using request::DecisionKind;
using request::Outcome;
using request::Reason;

void Router::ContinueClaim(PendingRequest& pending) {
  const core::RequestId& id = pending.request.Spec().id;
  const request::ClaimToken token{m_self.id, pending.key};
  pending.needs_claim = true;
  while (std::optional<core::InstanceId> replica =
             m_claims.NextReplica(id, pending.claimed_replicas)) {
    if (*replica != m_self.id) {
      Instruct(pending, ClaimAt{pending.key, *replica, token});
      return;
    }
    const request::ClaimOutcome outcome =
        m_claims.Registry().Claim(id, token, m_ports.clock.Now());
    if (!HandleClaimOutcome(pending, *replica, outcome)) {
      return;
    }
  }
  pending.needs_claim = false;
  PlaceOrEnqueue(pending);
}

bool Router::HandleClaimOutcome(PendingRequest& pending,
                                const core::InstanceId& replica,
                                request::ClaimOutcome outcome) {
  const request::RequestSpec& spec = pending.request.Spec();
  if (outcome == request::ClaimOutcome::kGranted) {
    pending.claimed_replicas.insert(replica);
    m_recorder.Record(spec, DecisionKind::kClaimed, replica);
    return true;
  }
  if (outcome == request::ClaimOutcome::kFull) {
    FinishUnanswered(pending, Reason::kClaimFailed);
    return false;
  }
  m_ports.meter.Add(core::Counter::kDuplicatesStopped, 1);
  m_recorder.Record(spec, DecisionKind::kUnknown, {}, Reason::kDuplicate);
  Instruct(pending, ReturnError{Outcome::kUnknown, Reason::kDuplicate,
                                RetryAfter(spec)});
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
    m_claims_to_retry.insert(message.key.Count());
    return;
  }
  if (HandleClaimOutcome(found->second, message.replica, *message.outcome)) {
    ContinueClaim(found->second);
  }
}

void Router::ReleaseClaims(const PendingRequest& pending) {
  const core::RequestId& id = pending.request.Spec().id;
  const request::ClaimToken token{m_self.id, pending.key};
  for (const core::InstanceId& replica : pending.claimed_replicas) {
    if (replica == m_self.id) {
      m_claims.Registry().Release(id, token);
    } else {
      m_ports.peers.SendClaimRelease(replica, id, token);
    }
  }
}

void Router::On(const ClaimReceived& message) {
  const request::ClaimOutcome outcome =
      m_claims.Registry().Claim(message.id, message.token, m_ports.clock.Now());
  m_ports.peers.SendClaimReply(message.peer, message.call, outcome);
}

void Router::On(const ClaimReleaseReceived& message) {
  m_claims.Registry().Release(message.id, message.token);
}

}  // namespace crocusmast::routing
