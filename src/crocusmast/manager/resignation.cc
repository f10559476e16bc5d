#include "crocusmast/manager/resignation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace crocusmast::manager {

void Resignation::Begin(core::FencingToken token, job::HandoverState handover) {
  m_token = token;
  m_handover = std::move(handover);
  m_began_at = m_ports.clock.Now();
  m_sent_count = 0;
  Send();
}

void Resignation::Send() {
  const core::TimePoint now = m_ports.clock.Now();
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - m_began_at);
  job::HandoverState handover = *m_handover;
  for (job::LeasedWorker& worker : handover.workers) {
    worker.lease_remaining = std::max(worker.lease_remaining - elapsed,
                                      std::chrono::milliseconds::zero());
  }
  ++m_sent_count;
  m_next_send_at = now + kHandoverReplyTimeout;
  m_ports.store.HandOver(m_token, handover);
}

void Resignation::Handle(const job::HandoverReply& reply) {
  if (!IsPending() || !(reply.token == m_token)) {
    return;
  }
  switch (reply.outcome) {
    case job::StoreOutcome::kDone:
      End(Outcome::kStored, "the store has confirmed it");
      break;
    case job::StoreOutcome::kConflict:
      // The claim is gone: an earlier call of this resignation was applied, or
      // the lease has expired.
      End(m_sent_count > 1 ? Outcome::kUnconfirmed : Outcome::kFailed,
          "the claim is no longer in the store");
      break;
    default:
      m_next_send_at =
          std::min(m_next_send_at, m_ports.clock.Now() + kHandoverRetryDelay);
      break;
  }
}

void Resignation::Tick() {
  if (!IsPending()) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  if (m_began_at + kResignationTimeout <= now) {
    End(Outcome::kFailed, "the store did not answer in time");
  } else if (m_next_send_at <= now) {
    Send();
  }
}

void Resignation::End(Outcome outcome, const char* reason) {
  m_handover.reset();
  const bool is_stored = outcome == Outcome::kStored;
  std::string name = "unconfirmed";
  if (outcome != Outcome::kUnconfirmed) {
    name = is_stored ? "stored" : "failed";
    m_ports.meter.Add(is_stored ? core::Counter::kHandoversStored
                                : core::Counter::kHandoversFailed,
                      1);
  }
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_ports.clock.Now() - m_began_at);
  m_ports.logger.Write(
      {core::Component::kLeadership,
       is_stored ? core::Severity::kInfo : core::Severity::kWarning,
       "Handover of the term with token " + std::to_string(m_token.Count()) +
           ": " + name + ", " + reason + ".",
       {{"event", "handover"},
        {"token", std::to_string(m_token.Count())},
        {"outcome", name},
        {"calls", std::to_string(m_sent_count)},
        {"took_ms", std::to_string(took.count())}}});
}

}  // namespace crocusmast::manager
