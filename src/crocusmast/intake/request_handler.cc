#include "crocusmast/intake/request_handler.h"

#include <string_view>
#include <utility>

namespace crocusmast::intake {
namespace internal {

constexpr std::size_t kJobIdLength = 16;

/**
 * @brief Parses a job id; returns an empty one if the text is not a valid id.
 */
core::JobId ParseJobId(std::string_view text) {
  const bool is_hex = text.size() == kJobIdLength &&
                      text.find_first_not_of("0123456789abcdefABCDEF") ==
                          std::string_view::npos;
  if (!is_hex) {
    return {};
  }
  return core::Handle([text] { return core::JobId::Create(text); },
                      [](const core::Error&) { return core::JobId(); });
}

}  // namespace internal

using job::StoreOutcome;

RequestHandler::RequestHandler(const RequestHandlerPorts& ports,
                               job::JobCatalog& job_catalog)
    : m_ports(ports), m_job_catalog(job_catalog) {}

void RequestHandler::Handle(CallerRequest&& request) {
  if (m_queue_catalog == nullptr || m_queue_catalog->Version().Count() == 0) {
    Reply(request.exchange, ResponseStatus::kTemporarilyUnavailable, {},
          "no configuration has been loaded yet");
    return;
  }
  const queue::Queue* queue =
      m_queue_catalog->Match(request.host, request.path);
  if (queue == nullptr) {
    Reply(request.exchange, ResponseStatus::kQueueNotFound, {},
          "no queue matches this host and path");
    return;
  }
  switch (request.operation) {
    case JobOperation::kSubmit:
      Submit(std::move(request), *queue);
      break;
    case JobOperation::kGet:
      if (request.path.size() == queue->prefix.size()) {
        CountQueued(request, *queue);
      } else {
        GetState(request, *queue);
      }
      break;
    case JobOperation::kCancel:
      Cancel(request, *queue);
      break;
  }
}

void RequestHandler::Submit(CallerRequest&& request,
                            const queue::Queue& queue) {
  const core::JobId id = internal::ParseJobId(
      std::string_view(request.path).substr(queue.prefix.size()));
  if (id.IsEmpty()) {
    Reply(request.exchange, ResponseStatus::kBadRequest, {},
          "the path does not end in a job id of 16 hexadecimal digits");
    return;
  }
  if (!request.spec) {
    Reply(request.exchange, ResponseStatus::kBadRequest, id,
          request.parse_error);
    return;
  }
  const std::string validation_error = core::Handle(
      [&request]() -> core::Result<std::string> {
        BOOST_LEAF_CHECK(job::Validate(*request.spec));
        return std::string();
      },
      [](const core::Error& error) { return Describe(error); });
  if (!validation_error.empty()) {
    Reply(request.exchange, ResponseStatus::kBadRequest, id, validation_error);
    return;
  }
  if (const job::JobEntry* known = m_job_catalog.Find(id); known != nullptr) {
    const bool is_same_queue = known->job.queue == queue.id;
    Reply(
        request.exchange,
        is_same_queue ? ResponseStatus::kAccepted : ResponseStatus::kIdConflict,
        id, is_same_queue ? "" : "a job of another queue has this id");
    return;
  }
  PendingRequest pending;
  pending.operation = JobOperation::kSubmit;
  pending.job = {id, queue.id, m_ports.clock.WallNow(),
                 std::move(*request.spec)};
  pending.deadline = request.deadline;
  pending.started_at = m_ports.clock.Now();
  pending.store_writes.writes = 1;
  m_ports.store.Create(request.exchange, pending.job);
  m_pending.emplace(request.exchange.Count(), std::move(pending));
}

void RequestHandler::GetState(const CallerRequest& request,
                              const queue::Queue& queue) {
  const core::JobId id = internal::ParseJobId(
      std::string_view(request.path).substr(queue.prefix.size()));
  if (id.IsEmpty()) {
    Reply(request.exchange, ResponseStatus::kJobNotFound, {},
          "the path does not end in a job id");
    return;
  }
  if (const job::JobEntry* known = m_job_catalog.Find(id); known != nullptr) {
    JobResponse response;
    response.exchange = request.exchange;
    response.status = ResponseStatus::kJobState;
    response.state = known->State();
    Send(std::move(response), id);
    return;
  }
  PendingRequest pending;
  pending.operation = JobOperation::kGet;
  pending.job.id = id;
  pending.deadline = request.deadline;
  m_ports.store.Read(request.exchange, id);
  m_pending.emplace(request.exchange.Count(), std::move(pending));
}

void RequestHandler::Cancel(const CallerRequest& request,
                            const queue::Queue& queue) {
  const core::JobId id = internal::ParseJobId(
      std::string_view(request.path).substr(queue.prefix.size()));
  if (id.IsEmpty()) {
    Reply(request.exchange, ResponseStatus::kJobNotFound, {},
          "the path does not end in a job id");
    return;
  }
  PendingRequest pending;
  pending.operation = JobOperation::kCancel;
  pending.job.id = id;
  pending.deadline = request.deadline;
  pending.started_at = m_ports.clock.Now();
  const job::JobEntry* known = m_job_catalog.Find(id);
  if (known != nullptr && job::IsFinal(known->State())) {
    Reply(request.exchange, ResponseStatus::kCancelled, id, "");
    return;
  }
  if (known == nullptr) {
    m_ports.store.Read(request.exchange, id);
  } else {
    pending.store_writes.writes = 1;
    m_ports.store.Cancel(request.exchange, id);
  }
  m_pending.emplace(request.exchange.Count(), std::move(pending));
}

void RequestHandler::CountQueued(const CallerRequest& request,
                                 const queue::Queue& queue) {
  if (m_jobs_complete_at + kMaxQueuedCountAge < m_ports.clock.Now()) {
    Reply(request.exchange, ResponseStatus::kTemporarilyUnavailable, {},
          "the job list from the store is out of date");
    return;
  }
  JobResponse response;
  response.exchange = request.exchange;
  response.status = ResponseStatus::kQueuedCount;
  response.count = m_job_catalog.CountQueued(queue.id);
  Send(std::move(response), {});
}

void RequestHandler::Handle(const job::JobWriteReply& reply) {
  const auto found = m_pending.find(reply.exchange.Count());
  if (found == m_pending.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  RecordFailure(reply.failure, pending.store_writes);
  const bool is_unconfirmed = reply.outcome == StoreOutcome::kUnknown ||
                              reply.outcome == StoreOutcome::kRefused;
  pending.may_be_applied =
      pending.may_be_applied || reply.outcome == StoreOutcome::kUnknown;
  if (is_unconfirmed && pending.may_be_applied && CanRetry(pending)) {
    pending.retry_at =
        m_ports.clock.Now() + kInitialRetryDelay * (1U << pending.retries);
    ++pending.retries;
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
  EndExpired(now);
  for (auto& [number, pending] : m_pending) {
    if (!pending.retry_at || now < *pending.retry_at) {
      continue;
    }
    pending.retry_at.reset();
    ++pending.store_writes.writes;
    if (pending.operation == JobOperation::kSubmit) {
      m_ports.store.Create(job::ExchangeId(number), pending.job);
    } else {
      m_ports.store.Cancel(job::ExchangeId(number), pending.job.id);
    }
  }
}

void RequestHandler::EndExpired(core::TimePoint now) {
  for (auto next = m_pending.begin(); next != m_pending.end();) {
    const auto current = next++;
    const PendingRequest& pending = current->second;
    if (pending.deadline + kLostReplyGrace <= now) {
      Reply(job::ExchangeId(current->first),
            pending.operation == JobOperation::kGet
                ? ResponseStatus::kTemporarilyUnavailable
                : ResponseStatus::kUnknown,
            pending.job.id, "the store did not reply before the deadline",
            pending.store_writes);
      m_pending.erase(current);
    }
  }
}

bool RequestHandler::CanRetry(const PendingRequest& pending) const {
  return pending.retries < kMaxRetries &&
         m_ports.clock.Now() + kMinTimeToRetry < pending.deadline;
}

void RequestHandler::FinishSubmit(job::ExchangeId exchange,
                                  PendingRequest& pending,
                                  StoreOutcome outcome) {
  const core::JobId id = pending.job.id;
  switch (outcome) {
    case StoreOutcome::kDone:
      m_ports.meter.Observe(core::Timing::kQueueWait,
                            m_ports.clock.Now() - pending.started_at);
      m_job_catalog.Apply(job::JobStored{std::move(pending.job)},
                          m_ports.clock.Now());
      Reply(exchange, ResponseStatus::kAccepted, id, "", pending.store_writes);
      break;
    case StoreOutcome::kConflict:
      Reply(exchange, ResponseStatus::kAccepted, id,
            "the job was already stored", pending.store_writes);
      break;
    case StoreOutcome::kAbsent:
    case StoreOutcome::kRefused:
      Reply(exchange,
            pending.may_be_applied ? ResponseStatus::kUnknown
                                   : ResponseStatus::kTemporarilyUnavailable,
            id, "the store rejected the job", pending.store_writes);
      break;
    case StoreOutcome::kUnknown:
      Reply(exchange, ResponseStatus::kUnknown, id, "the store did not reply",
            pending.store_writes);
      break;
  }
}

void RequestHandler::FinishCancel(const job::JobWriteReply& reply,
                                  PendingRequest& pending) {
  if (reply.outcome == StoreOutcome::kDone) {
    m_job_catalog.Apply(job::CancellationStored{pending.job.id},
                        m_ports.clock.Now());
    JobResponse response;
    response.exchange = reply.exchange;
    response.status = ResponseStatus::kCancelled;
    response.revision = reply.revision;
    response.store_writes = pending.store_writes;
    Send(std::move(response), pending.job.id);
    return;
  }
  const bool is_unconfirmed =
      reply.outcome == StoreOutcome::kUnknown || pending.may_be_applied;
  Reply(reply.exchange,
        is_unconfirmed ? ResponseStatus::kUnknown
                       : ResponseStatus::kTemporarilyUnavailable,
        pending.job.id, "the store did not confirm the cancellation",
        pending.store_writes);
}

void RequestHandler::Handle(job::JobReadReply&& reply) {
  const auto found = m_pending.find(reply.exchange.Count());
  if (found == m_pending.end()) {
    return;
  }
  PendingRequest pending = std::move(found->second);
  m_pending.erase(found);
  const core::JobId id = pending.job.id;
  if (reply.outcome == StoreOutcome::kAbsent) {
    Reply(reply.exchange, ResponseStatus::kJobNotFound, id,
          "the job does not exist");
    return;
  }
  if (reply.outcome != StoreOutcome::kDone) {
    Reply(reply.exchange, ResponseStatus::kTemporarilyUnavailable, id,
          "the store did not reply");
    return;
  }
  for (job::JobEvent& event : reply.events) {
    m_job_catalog.Apply(std::move(event), m_ports.clock.Now());
  }
  const job::JobEntry* known = m_job_catalog.Find(id);
  if (known == nullptr) {
    Reply(reply.exchange, ResponseStatus::kJobNotFound, id,
          "the job does not exist");
    return;
  }
  if (pending.operation == JobOperation::kCancel &&
      !job::IsFinal(known->State())) {
    pending.store_writes.writes = 1;
    m_ports.store.Cancel(reply.exchange, id);
    m_pending.emplace(reply.exchange.Count(), std::move(pending));
    return;
  }
  JobResponse response;
  response.exchange = reply.exchange;
  response.status = pending.operation == JobOperation::kCancel
                        ? ResponseStatus::kCancelled
                        : ResponseStatus::kJobState;
  response.state = known->State();
  Send(std::move(response), id);
}

}  // namespace crocusmast::intake
