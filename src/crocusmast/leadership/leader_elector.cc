#include "crocusmast/leadership/leader_elector.h"

#include <utility>

namespace crocusmast::leadership {

LeaderElector::LeaderElector(HolderIdentity self,
                             std::chrono::milliseconds claim_delay,
                             LeasePort& port,
                             const core::Clock& clock,
                             core::Logger& logger)
    : m_self(std::move(self)),
      m_claim_delay(claim_delay),
      m_port(port),
      m_clock(clock),
      m_logger(logger) {}

void LeaderElector::Handle(const LeaderObserved& leader) {
  const std::optional<Vacancy> vacancy = std::exchange(m_vacancy, std::nullopt);
  if (m_phase == Phase::kLeading && m_token.Count() < leader.revision.Count()) {
    LoseLeadership("the store names " + leader.holder.instance +
                   " as the leader at revision " +
                   std::to_string(leader.revision.Count()));
  }
  const bool is_own_claim =
      m_phase == Phase::kClaiming && leader.holder == m_self;
  if (is_own_claim) {
    m_vacancy = vacancy;
    BecomeLeader(leader.revision);
    return;
  }
  // A newly started process holds no claim, so a claim of another incarnation
  // of this instance was left by an earlier process.
  if (m_phase == Phase::kFollowing &&
      leader.holder.instance == m_self.instance &&
      leader.holder.incarnation != m_self.incarnation) {
    Log(core::Severity::kInfo,
        "An earlier process of this instance is the scheduling leader; "
        "revoking its claim.");
    m_port.RevokeClaim(leader.revision);
  }
}

void LeaderElector::Handle(const LeadershipVacant& vacant) {
  if (!m_vacancy) {
    m_vacancy = {m_clock.Now(), vacant.revision};
  }
  if (m_phase == Phase::kLeading && m_token.Count() < vacant.revision.Count()) {
    LoseLeadership("the claim was removed from the store at revision " +
                   std::to_string(vacant.revision.Count()));
  }
  TryAcquire();
}

void LeaderElector::TryAcquire() {
  const core::TimePoint now = m_clock.Now();
  const bool can_try = m_phase == Phase::kFollowing && m_vacancy &&
                       m_vacancy->since + m_claim_delay <= now &&
                       m_next_attempt_at <= now;
  if (!can_try) {
    return;
  }
  m_phase = Phase::kRequestingLease;
  m_next_attempt_at = now + kAcquireRetryInterval;
  m_port.RequestLease(kSchedulingLease.duration);
}

void LeaderElector::Handle(const LeaseGrantReply& reply) {
  if (m_phase != Phase::kRequestingLease) {
    if (reply.outcome == LeaseOutcome::kDone) {
      m_port.Release(reply.lease);
    }
    return;
  }
  if (reply.outcome != LeaseOutcome::kDone) {
    m_phase = Phase::kFollowing;
    return;
  }
  m_lease_id = reply.lease;
  m_lease_requested_at = reply.requested_at;
  m_phase = Phase::kClaiming;
  m_port.ClaimLeadership(m_self, m_lease_id);
}

void LeaderElector::Handle(const LeadershipClaimReply& reply) {
  if (m_phase != Phase::kClaiming) {
    return;
  }
  if (reply.outcome == LeaseOutcome::kDone) {
    BecomeLeader(reply.revision);
    return;
  }
  // A claim without a reply may still be applied; releasing its lease also
  // removes the claim.
  m_port.Release(m_lease_id);
  m_phase = Phase::kFollowing;
}

void LeaderElector::BecomeLeader(core::Revision revision) {
  m_phase = Phase::kLeading;
  m_token = core::FencingToken(revision.Count());
  m_ended_vacancy = std::exchange(m_vacancy, std::nullopt);
  m_lease.Extend(m_lease_requested_at);
  Log(core::Severity::kInfo,
      "This instance is the scheduling leader with token " +
          std::to_string(m_token.Count()) + ".");
}

void LeaderElector::Handle(const LeaseRenewalReply& reply) {
  const bool holds_lease =
      m_phase == Phase::kLeading || m_phase == Phase::kHandingOver;
  if (!holds_lease || !(reply.lease == m_lease_id)) {
    return;
  }
  if (reply.outcome == LeaseOutcome::kDone) {
    m_lease.Extend(reply.requested_at);
  } else if (reply.outcome == LeaseOutcome::kLost &&
             m_phase == Phase::kLeading) {
    LoseLeadership("the lease expired in the store");
  }
}

void LeaderElector::Tick() {
  const core::TimePoint now = m_clock.Now();
  if (m_phase == Phase::kLeading || m_phase == Phase::kHandingOver) {
    if (m_phase == Phase::kLeading && !m_lease.MayAct(now)) {
      LoseLeadership("the lease was not renewed before the renew deadline");
    } else if (m_lease.IsRenewalDue(now)) {
      m_lease.PostponeRenewal(now + kSchedulingLease.renew_interval);
      m_port.Renew(m_lease_id);
    }
    return;
  }
  const bool has_timed_out =
      (m_phase == Phase::kRequestingLease || m_phase == Phase::kClaiming) &&
      m_next_attempt_at + kSchedulingLease.duration < now;
  if (has_timed_out) {
    m_phase = Phase::kFollowing;
  }
  TryAcquire();
}

void LeaderElector::OnSuperseded(const std::string& evidence) {
  StepDown(evidence);
}

void LeaderElector::StepDown(const std::string& reason) {
  if (m_phase == Phase::kLeading) {
    LoseLeadership(reason);
    m_port.Release(m_lease_id);
  }
}

void LeaderElector::LoseLeadership(const std::string& reason) {
  m_phase = Phase::kFollowing;
  m_lease.MarkLost();
  Log(core::Severity::kWarning, "The scheduling leadership with token " +
                                    std::to_string(m_token.Count()) +
                                    " is lost: " + reason + ".");
  m_token = {};
}

void LeaderElector::StopActing() {
  if (m_phase == Phase::kLeading) {
    m_phase = Phase::kHandingOver;
  }
}

void LeaderElector::ReleaseLease() {
  if (m_phase == Phase::kHandingOver) {
    m_port.Release(m_lease_id);
    m_phase = Phase::kFollowing;
    m_lease.MarkLost();
    m_token = {};
  }
}

void LeaderElector::Resign() {
  if (m_phase == Phase::kLeading || m_phase == Phase::kClaiming ||
      m_phase == Phase::kHandingOver) {
    m_port.Release(m_lease_id);
    Log(core::Severity::kInfo, "The scheduling leadership is released.");
  }
  m_phase = Phase::kResigned;
  m_lease.MarkLost();
  m_token = {};
}

bool LeaderElector::MayAct() const {
  return m_phase == Phase::kLeading && m_lease.MayAct(m_clock.Now());
}

std::optional<core::TimePoint> LeaderElector::VacantSince(
    core::Revision revision) const {
  const bool is_known = m_phase == Phase::kLeading && m_ended_vacancy &&
                        !(m_ended_vacancy->revision < revision);
  return is_known ? std::optional(m_ended_vacancy->since) : std::nullopt;
}

bool LeaderElector::IsLeaseValid() const {
  return m_phase == Phase::kLeading && m_lease.IsValid(m_clock.Now());
}

void LeaderElector::Log(core::Severity severity, std::string sentence) const {
  if (m_logger.IsEnabled(severity)) {
    m_logger.Write(
        {core::Component::kLeadership, severity, std::move(sentence), {}});
  }
}

}  // namespace crocusmast::leadership
