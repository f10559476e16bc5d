#ifndef CROCUSMAST_INTAKE_REQUEST_HANDLER_H_
#define CROCUSMAST_INTAKE_REQUEST_HANDLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/intake/messages.h"
#include "crocusmast/intake/store_circuit.h"
#include "crocusmast/job/job_catalog.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/queue/queue_catalog.h"

namespace crocusmast::intake {

/**
 * @brief Maximum age of a count of queued jobs, as specified by the job
 * interface.
 */
inline constexpr std::chrono::milliseconds kMaxQueuedCountAge{1800};
/**
 * @brief A write without a reply is retried until this much time is left until
 * the caller's deadline; then the caller gets a response.
 */
inline constexpr std::chrono::milliseconds kMinTimeToRetry{100};
/**
 * @brief Time after the deadline from which a reply of the store counts as
 * lost. An earlier one is still passed on; a call to the store takes at most
 * 900 ms.
 */
inline constexpr std::chrono::milliseconds kLostReplyGrace{1000};
/**
 * @brief Delay before the first retry; it doubles with each retry up to
 * kMaxRetryDelay.
 *
 * The delay limits the load when the store resets this instance's connections
 * immediately.
 */
inline constexpr std::chrono::milliseconds kInitialRetryDelay{100};
/** @brief Maximum delay between two retries. */
inline constexpr std::chrono::milliseconds kMaxRetryDelay{400};
/**
 * @brief Time after which a caller may retry when the store has failed; outages
 * last for seconds.
 */
inline constexpr std::chrono::seconds kStoreRetryAfter{1};

/** @brief Dependencies of the request handler; all outlive it. */
struct RequestHandlerPorts {
  job::JobStore& store;
  ResponsePort& responses;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/**
 * @brief Handles callers' requests: accepts jobs, returns job states and
 * cancels jobs.
 *
 * A job is accepted only once it is stored. Only stored states are returned, so
 * a later response never contradicts an earlier one.
 */
class RequestHandler {
 public:
  /**
   * @brief Creates the handler.
   * @param ports Dependencies.
   * @param job_catalog Jobs known to be in the store; outlives the handler.
   */
  RequestHandler(const RequestHandlerPorts& ports,
                 job::JobCatalog& job_catalog);

  /**
   * @brief Sets the queues of the current configuration.
   * @param catalog Queues; must stay valid until the next call.
   */
  void SetQueueCatalog(const queue::QueueCatalog& catalog) {
    m_queue_catalog = &catalog;
  }

  /**
   * @brief Sets the time up to which the job catalog is known to be complete.
   * @param complete_at That time.
   */
  void SetJobsCompleteAt(core::TimePoint complete_at);

  /**
   * @brief Handles a caller's request; the response is sent at once or after
   * the store has replied.
   */
  void Handle(CallerRequest&& request);
  /** @brief Handles the store's reply to a write. */
  void Handle(const job::JobWriteReply& reply);
  /** @brief Handles the store's reply to a read. */
  void Handle(job::JobReadReply&& reply);

  /** @brief Retries the store calls that are due. */
  void Tick();

 private:
  /** @brief Request that waits for the store. */
  struct PendingRequest {
    JobOperation operation = JobOperation::kGet;
    job::AcceptedJob job;
    core::TimePoint deadline;
    /**
     * @brief A store call for the request may have been applied or may still
     * be.
     */
    bool may_be_applied = false;
    core::TimePoint started_at;
    /** @brief When the latest store call was made. */
    core::TimePoint sent_at;
    /** @brief The call in progress is the probe of the store circuit. */
    bool is_probe = false;
    std::chrono::milliseconds retry_delay = kInitialRetryDelay;
    StoreWriteHistory store_writes;
    /** @brief Time of the next retry; empty while a call is in progress. */
    std::optional<core::TimePoint> retry_at;
  };

  void Submit(CallerRequest&& request, const queue::Queue& queue);
  void StartSubmit(job::ExchangeId exchange, PendingRequest pending);
  void FinishProbe(job::JobReadReply&& reply, PendingRequest pending);
  void Write(job::ExchangeId exchange, PendingRequest& pending);
  void Read(job::ExchangeId exchange, PendingRequest& pending);
  void ReplyToKnownJob(job::ExchangeId exchange,
                       const core::JobId& id,
                       const core::QueueId& queue,
                       const job::JobEntry& known);
  /** @brief Records a store reply in the circuit. */
  void Record(job::StoreOutcome outcome, PendingRequest& pending);
  void RecordStoreReply();
  void GetState(const CallerRequest& request, const queue::Queue& queue);
  void Cancel(const CallerRequest& request, const queue::Queue& queue);
  void CountQueued(const CallerRequest& request, const queue::Queue& queue);
  void FinishSubmit(job::ExchangeId exchange,
                    PendingRequest& pending,
                    job::StoreOutcome outcome);
  void FinishCancel(const job::JobWriteReply& reply, PendingRequest& pending);
  static void RecordFailure(job::StoreFailure failure,
                            StoreWriteHistory& history);
  bool CanRetry(const PendingRequest& pending) const;
  /** @brief Responds to submissions that a watch of the store has confirmed. */
  void EndConfirmed();
  /** @brief Responds to requests whose reply from the store was lost. */
  void EndExpired(core::TimePoint now);
  void LogCircuit(bool is_closed);
  void Reply(job::ExchangeId exchange,
             ResponseStatus status,
             const core::JobId& job,
             std::string detail,
             const StoreWriteHistory& store_writes = {});
  void Send(JobResponse response, const core::JobId& job);

  RequestHandlerPorts m_ports;
  job::JobCatalog& m_job_catalog;
  const queue::QueueCatalog* m_queue_catalog = nullptr;
  core::TimePoint m_jobs_complete_at;
  StoreCircuit m_store_circuit;
  std::unordered_map<std::uint64_t, PendingRequest> m_pending;
};

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_REQUEST_HANDLER_H_
