#include "crocusmast/leadership/elector.h"

#include <utility>

namespace crocusmast::leadership {

Elector::Elector(Holder self,
                 std::chrono::milliseconds patience,
                 LeasePort& port,
                 const core::Clock& clock,
                 core::Logger& logger)
    : m_self(std::move(self)),
      m_patience(patience),
      m_port(port),
      m_clock(clock),
      m_logger(logger) {}

void Elector::Handle(const DutyStored& stored) {
  m_vacant_since.reset();
  if (m_phase == Phase::kHolding && m_token.Count() < stored.revision.Count()) {
    Lose("the store names " + stored.holder.instance + " at revision " +
         std::to_string(stored.revision.Count()));
  }
  const bool is_own_claim =
      m_phase == Phase::kClaiming && stored.holder == m_self;
  if (is_own_claim) {
    Hold(stored.revision);
    return;
  }
  // A process that has just started holds nothing: the other life is over.
  if (m_phase == Phase::kWatching &&
      stored.holder.instance == m_self.instance &&
      stored.holder.life != m_self.life) {
    Log(core::Severity::kInfo,
        "An earlier life of this instance has the scheduling duty; ending it.");
    m_port.Depose(stored.revision);
  }
}

void Elector::Handle(const DutyVacant& vacant) {
  if (!m_vacant_since) {
    m_vacant_since = m_clock.Now();
  }
  if (m_phase == Phase::kHolding && m_token.Count() < vacant.revision.Count()) {
    Lose("the store has removed the claim at revision " +
         std::to_string(vacant.revision.Count()));
  }
  Try();
}

void Elector::Try() {
  const core::TimePoint now = m_clock.Now();
  const bool may_try = m_phase == Phase::kWatching && m_vacant_since &&
                       *m_vacant_since + m_patience <= now && m_try_at <= now;
  if (!may_try) {
    return;
  }
  m_phase = Phase::kAsking;
  m_try_at = now + kClaimRetry;
  m_port.Grant(kSchedulingLease.length);
}

void Elector::Handle(const LeaseGranted& granted) {
  if (m_phase != Phase::kAsking) {
    if (granted.outcome == LeaseOutcome::kDone) {
      m_port.Release(granted.lease);
    }
    return;
  }
  if (granted.outcome != LeaseOutcome::kDone) {
    m_phase = Phase::kWatching;
    return;
  }
  m_lease_id = granted.lease;
  m_lease_asked_at = granted.asked_at;
  m_phase = Phase::kClaiming;
  m_port.Claim(m_self, m_lease_id);
}

void Elector::Handle(const DutyClaimed& claimed) {
  if (m_phase != Phase::kClaiming) {
    return;
  }
  if (claimed.outcome == LeaseOutcome::kDone) {
    Hold(claimed.revision);
    return;
  }
  // An unknown claim may still be done: the end of its lease removes it.
  m_port.Release(m_lease_id);
  m_phase = Phase::kWatching;
}

void Elector::Hold(core::Revision revision) {
  m_phase = Phase::kHolding;
  m_token = core::FencingToken(revision.Count());
  m_vacant_since.reset();
  m_lease.Extend(m_lease_asked_at);
  Log(core::Severity::kInfo,
      "This instance holds the scheduling duty with token " +
          std::to_string(m_token.Count()) + ".");
}

void Elector::Handle(const LeaseRenewed& renewed) {
  if (m_phase != Phase::kHolding || !(renewed.lease == m_lease_id)) {
    return;
  }
  if (renewed.outcome == LeaseOutcome::kDone) {
    m_lease.Extend(renewed.asked_at);
  } else if (renewed.outcome == LeaseOutcome::kLost) {
    Lose("the store has ended the lease");
  }
}

void Elector::Tick() {
  const core::TimePoint now = m_clock.Now();
  if (m_phase == Phase::kHolding) {
    if (!m_lease.MayAct(now)) {
      Lose("no renewal succeeded in time");
    } else if (m_lease.IsRenewalDue(now)) {
      m_lease.RenewAt(now + kSchedulingLease.renewal);
      m_port.Renew(m_lease_id);
    }
    return;
  }
  const bool is_stuck =
      (m_phase == Phase::kAsking || m_phase == Phase::kClaiming) &&
      m_try_at + kSchedulingLease.length < now;
  if (is_stuck) {
    m_phase = Phase::kWatching;
  }
  Try();
}

void Elector::Deposed(const std::string& evidence) {
  if (m_phase == Phase::kHolding) {
    Lose(evidence);
    m_port.Release(m_lease_id);
  }
}

void Elector::Lose(const std::string& reason) {
  m_phase = Phase::kWatching;
  m_lease.Lose();
  Log(core::Severity::kWarning, "The scheduling duty with token " +
                                    std::to_string(m_token.Count()) +
                                    " is lost: " + reason + ".");
  m_token = {};
}

void Elector::Resign() {
  if (m_phase == Phase::kHolding || m_phase == Phase::kClaiming) {
    m_port.Release(m_lease_id);
    Log(core::Severity::kInfo, "The scheduling duty is handed over.");
  }
  m_phase = Phase::kResigned;
  m_lease.Lose();
  m_token = {};
}

bool Elector::MayAct() const {
  return m_phase == Phase::kHolding && m_lease.MayAct(m_clock.Now());
}

bool Elector::IsSure() const {
  return m_phase == Phase::kHolding && m_lease.IsSure(m_clock.Now());
}

void Elector::Log(core::Severity severity, std::string sentence) const {
  if (m_logger.IsEnabled(severity)) {
    m_logger.Write(
        {core::Part::kLeadership, severity, std::move(sentence), {}});
  }
}

}  // namespace crocusmast::leadership
