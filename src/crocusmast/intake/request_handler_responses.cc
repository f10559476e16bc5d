#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "crocusmast/intake/request_handler.h"

namespace crocusmast::intake {
namespace internal {

std::string_view ResponseStatusName(ResponseStatus status) {
  switch (status) {
    case ResponseStatus::kAccepted:
      return "accepted";
    case ResponseStatus::kJobState:
      return "state";
    case ResponseStatus::kQueuedCount:
      return "count";
    case ResponseStatus::kCancelled:
      return "cancelled";
    case ResponseStatus::kQueueNotFound:
      return "no queue";
    case ResponseStatus::kJobNotFound:
      return "no job";
    case ResponseStatus::kBadRequest:
      return "bad request";
    case ResponseStatus::kIdConflict:
      return "id taken";
    case ResponseStatus::kTemporarilyUnavailable:
      return "not now";
    case ResponseStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace internal

void RequestHandler::LogCircuit(bool is_closed) {
  m_ports.logger.Write(
      {core::Component::kIntake,
       is_closed ? core::Severity::kInfo : core::Severity::kWarning,
       is_closed ? "The store replies again; submissions are accepted."
                 : "The store does not reply; submissions are rejected.",
       {{"event",
         is_closed ? "store_circuit_closed" : "store_circuit_opened"}}});
}

void RequestHandler::Reply(job::ExchangeId exchange,
                           ResponseStatus status,
                           const core::JobId& job,
                           std::string detail,
                           const StoreWriteHistory& store_writes) {
  JobResponse response;
  response.exchange = exchange;
  response.status = status;
  response.detail = std::move(detail);
  response.store_writes = store_writes;
  response.retry_after = kStoreRetryAfter;
  Send(std::move(response), job);
}

void RequestHandler::Send(JobResponse response, const core::JobId& job) {
  const bool is_success = response.status == ResponseStatus::kAccepted ||
                          response.status == ResponseStatus::kJobState ||
                          response.status == ResponseStatus::kQueuedCount ||
                          response.status == ResponseStatus::kCancelled;
  if (response.status == ResponseStatus::kUnknown) {
    m_ports.meter.Add(core::Counter::kRequestsUnknown, 1);
  } else {
    m_ports.meter.Add(is_success ? core::Counter::kRequestsAnswered
                                 : core::Counter::kRequestsRefused,
                      1);
  }
  if (m_ports.logger.IsEnabled(core::Severity::kInfo)) {
    const std::string status(internal::ResponseStatusName(response.status));
    std::string sentence = "Sent response: " + status;
    if (!job.IsEmpty()) {
      sentence += " for job " + job.Text();
    }
    if (response.status == ResponseStatus::kJobState) {
      sentence += ": " + std::string(job::JobStateName(response.state));
    }
    sentence += response.detail.empty() ? "" : ": " + response.detail;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_ports.clock.Now() - m_jobs_complete_at);
    std::vector<core::LogField> fields{
        {"event", "answered"},
        {"job", job.Text()},
        {"answer", status},
        {"version",
         std::to_string(m_queue_catalog ? m_queue_catalog->Version().Count()
                                        : 0)},
        {"book_age_ms", std::to_string(age.count())}};
    if (response.revision != core::Revision()) {
      fields.push_back({"revision", std::to_string(response.revision.Count())});
    }
    if (response.store_writes.first_failure != job::StoreFailure::kNone) {
      const StoreWriteHistory& history = response.store_writes;
      fields.push_back({"store_writes", std::to_string(history.writes)});
      fields.push_back({"first_failure",
                        std::string(StoreFailureName(history.first_failure))});
      fields.push_back({"last_failure",
                        std::string(StoreFailureName(history.last_failure))});
    }
    m_ports.logger.Write({core::Component::kIntake, core::Severity::kInfo,
                          sentence + ".", std::move(fields)});
  }
  m_ports.responses.Send(std::move(response));
}

}  // namespace crocusmast::intake
