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
    : m_ports(ports),
      m_job_catalog(job_catalog),
      m_store_circuit(ports.clock) {}

void RequestHandler::SetJobsCompleteAt(core::TimePoint complete_at) {
  // Only a reply to a watch or list moves this time.
  if (m_jobs_complete_at < complete_at) {
    RecordStoreReply();
  }
  m_jobs_complete_at = complete_at;
}

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
    ReplyToKnownJob(request.exchange, id, queue.id, *known);
    return;
  }
  PendingRequest pending;
  pending.operation = JobOperation::kSubmit;
  pending.job = {id, queue.id, m_ports.clock.WallNow(),
                 std::move(*request.spec)};
  pending.deadline = request.deadline;
  pending.started_at = m_ports.clock.Now();
  StartSubmit(request.exchange, std::move(pending));
}

void RequestHandler::ReplyToKnownJob(job::ExchangeId exchange,
                                     const core::JobId& id,
                                     const core::QueueId& queue,
                                     const job::JobEntry& known) {
  const bool is_same_queue = known.job.queue == queue;
  Reply(exchange,
        is_same_queue ? ResponseStatus::kAccepted : ResponseStatus::kIdConflict,
        id, is_same_queue ? "" : "a job of another queue has this id");
}

void RequestHandler::StartSubmit(job::ExchangeId exchange,
                                 PendingRequest pending) {
  if (m_store_circuit.IsClosed()) {
    Write(exchange, pending);
  } else if (m_store_circuit.TryStartProbe()) {
    // A lost write would leave the job's outcome unknown; a lost read does not.
    pending.is_probe = true;
    Read(exchange, pending);
  } else {
    Reply(exchange, ResponseStatus::kTemporarilyUnavailable, pending.job.id,
          "the store does not reply");
    return;
  }
  m_pending.emplace(exchange.Count(), std::move(pending));
}

void RequestHandler::FinishProbe(job::JobReadReply&& reply,
                                 PendingRequest pending) {
  const core::JobId id = pending.job.id;
  for (job::JobEvent& event : reply.events) {
    m_job_catalog.Apply(std::move(event), m_ports.clock.Now());
  }
  if (const job::JobEntry* known = m_job_catalog.Find(id); known != nullptr) {
    ReplyToKnownJob(reply.exchange, id, pending.job.queue, *known);
  } else if (reply.outcome == StoreOutcome::kAbsent) {
    Write(reply.exchange, pending);
    m_pending.emplace(reply.exchange.Count(), std::move(pending));
  } else {
    Reply(reply.exchange, ResponseStatus::kTemporarilyUnavailable, id,
          "the store does not reply");
  }
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
  Read(request.exchange, pending);
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
    Read(request.exchange, pending);
  } else {
    Write(request.exchange, pending);
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
  Record(reply.outcome, pending);
  if (pending.operation == JobOperation::kSubmit) {
    FinishProbe(std::move(reply), std::move(pending));
    return;
  }
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
    Write(reply.exchange, pending);
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
