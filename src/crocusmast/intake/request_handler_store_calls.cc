#include <algorithm>

#include "crocusmast/intake/request_handler.h"

namespace crocusmast::intake {

using job::StoreOutcome;

void RequestHandler::Write(job::ExchangeId exchange, PendingRequest& pending) {
  pending.sent_at = m_ports.clock.Now();
  ++pending.store_writes.writes;
  if (pending.operation == JobOperation::kSubmit) {
    m_ports.store.Create(exchange, pending.job);
  } else {
    m_ports.store.Cancel(exchange, pending.job.id);
  }
}

void RequestHandler::Read(job::ExchangeId exchange, PendingRequest& pending) {
  pending.sent_at = m_ports.clock.Now();
  m_ports.store.Read(exchange, pending.job.id);
}

void RequestHandler::Handle(const job::JobWriteReply& reply) {
  const auto found = m_pending.find(reply.exchange.Count());
  if (found == m_pending.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  Record(reply.outcome, pending);
  RecordFailure(reply.failure, pending.store_writes);
  const bool is_unconfirmed = reply.outcome == StoreOutcome::kUnknown ||
                              reply.outcome == StoreOutcome::kRefused;
  pending.may_be_applied =
      pending.may_be_applied || reply.outcome == StoreOutcome::kUnknown;
  if (is_unconfirmed && pending.may_be_applied && CanRetry(pending)) {
    pending.retry_at = m_ports.clock.Now() + pending.retry_delay;
    pending.retry_delay = std::min(pending.retry_delay * 2, kMaxRetryDelay);
    return;
  }
  PendingRequest finished = std::move(pending);
  m_pending.erase(found);
  if (finished.operation == JobOperation::kSubmit) {
    FinishSubmit(reply.exchange, finished, reply.outcome);
  } else {
    FinishCancel(reply, finished);
  }
}

void RequestHandler::Record(StoreOutcome outcome, PendingRequest& pending) {
  if (pending.is_probe) {
    pending.is_probe = false;
    m_store_circuit.EndProbe();
  }
  switch (outcome) {
    case StoreOutcome::kDone:
    case StoreOutcome::kConflict:
    case StoreOutcome::kAbsent:
      RecordStoreReply();
      break;
    case StoreOutcome::kRefused:
      break;
    case StoreOutcome::kUnknown:
      if (m_store_circuit.RecordFailure(pending.sent_at)) {
        m_ports.meter.Add(core::Counter::kCircuitsOpened, 1);
        LogCircuit(false);
      }
      break;
  }
}

void RequestHandler::RecordStoreReply() {
  if (m_store_circuit.RecordReply()) {
    LogCircuit(true);
  }
}

void RequestHandler::RecordFailure(job::StoreFailure failure,
                                   StoreWriteHistory& history) {
  if (failure == job::StoreFailure::kNone) {
    return;
  }
  if (history.first_failure == job::StoreFailure::kNone) {
    history.first_failure = failure;
  }
  history.last_failure = failure;
}

void RequestHandler::Tick() {
  const core::TimePoint now = m_ports.clock.Now();
  EndConfirmed();
  EndExpired(now);
  for (auto& [number, pending] : m_pending) {
    if (!pending.retry_at || now < *pending.retry_at) {
      continue;
    }
    if (!m_store_circuit.IsClosed()) {
      if (!m_store_circuit.TryStartProbe()) {
        continue;
      }
      pending.is_probe = true;
    }
    pending.retry_at.reset();
    Write(job::ExchangeId(number), pending);
  }
}

void RequestHandler::EndConfirmed() {
  for (auto next = m_pending.begin(); next != m_pending.end();) {
    const auto current = next++;
    const PendingRequest& pending = current->second;
    if (pending.operation != JobOperation::kSubmit) {
      continue;
    }
    const core::JobId id = pending.job.id;
    if (const job::JobEntry* known = m_job_catalog.Find(id); known != nullptr) {
      if (pending.is_probe) {
        m_store_circuit.EndProbe();
      }
      ReplyToKnownJob(job::ExchangeId(current->first), id, pending.job.queue,
                      *known);
      m_pending.erase(current);
    }
  }
}

void RequestHandler::EndExpired(core::TimePoint now) {
  for (auto next = m_pending.begin(); next != m_pending.end();) {
    const auto current = next++;
    const PendingRequest& pending = current->second;
    const bool is_expired = pending.retry_at
                                ? pending.deadline <= now + kMinTimeToRetry
                                : pending.deadline + kLostReplyGrace <= now;
    if (is_expired) {
      if (pending.is_probe) {
        m_store_circuit.EndProbe();
      }
      Reply(job::ExchangeId(current->first),
            pending.store_writes.writes == 0
                ? ResponseStatus::kTemporarilyUnavailable
                : ResponseStatus::kUnknown,
            pending.job.id, "the store did not reply before the deadline",
            pending.store_writes);
      m_pending.erase(current);
    }
  }
}

bool RequestHandler::CanRetry(const PendingRequest& pending) const {
  return m_ports.clock.Now() + kMinTimeToRetry < pending.deadline;
}

}  // namespace crocusmast::intake
