#ifndef CROCUSMAST_INTAKE_MESSAGES_H_
#define CROCUSMAST_INTAKE_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/job/progress.h"

namespace crocusmast::intake {

/** @brief Operation that a caller requests. */
enum class JobOperation {
  /** @brief Submits a job. */
  kSubmit,
  /**
   * @brief Returns the state of a job, or the number of queued jobs of a queue.
   */
  kGet,
  /** @brief Cancels a job. */
  kCancel,
};

/** @brief Decoded request of a caller. */
struct CallerRequest {
  job::ExchangeId exchange;
  JobOperation operation = JobOperation::kGet;
  /** @brief Host that the caller addressed, without the port. */
  std::string host;
  std::string path;
  /** @brief Job to submit, for kSubmit only; empty if the body is invalid. */
  std::optional<job::JobSpec> spec;
  /** @brief Why the body is invalid; empty if it is valid. */
  std::string parse_error;
  /** @brief Time at which the caller stops waiting. */
  core::TimePoint deadline;
};

/** @brief Result of a request. */
enum class ResponseStatus {
  /** @brief The job is stored. */
  kAccepted,
  /** @brief The response contains the state of a job. */
  kJobState,
  /** @brief The response contains the number of queued jobs of a queue. */
  kQueuedCount,
  /** @brief The cancellation is stored, or the job had already ended. */
  kCancelled,
  /** @brief No queue matches the host and path. */
  kQueueNotFound,
  /** @brief The job does not exist. */
  kJobNotFound,
  /** @brief The request is invalid; it had no effect. */
  kBadRequest,
  /** @brief Another job has this id; the request had no effect. */
  kIdConflict,
  /** @brief The service cannot process the request now; it had no effect. */
  kTemporarilyUnavailable,
  /** @brief The outcome is unknown; the request may have been applied. */
  kUnknown,
};

/** @brief What is known of the writes to the store for a request. */
struct StoreWriteHistory {
  /** @brief Number of writes, repeated ones included. */
  std::uint32_t writes = 0;
  job::StoreFailure first_failure = job::StoreFailure::kNone;
  job::StoreFailure last_failure = job::StoreFailure::kNone;
};

/** @brief Response to a caller. */
struct JobResponse {
  job::ExchangeId exchange;
  ResponseStatus status = ResponseStatus::kTemporarilyUnavailable;
  /** @brief State of the job; only with kJobState. */
  job::JobState state = job::JobState::kQueued;
  /** @brief Number of queued jobs; only with kQueuedCount. */
  std::uint64_t count = 0;
  /** @brief Store revision of the caller's write, for the log; 0 for none. */
  core::Revision revision;
  /** @brief The writes that led to the response, for the log. */
  StoreWriteHistory store_writes{};
  /** @brief Error description for the caller. */
  std::string detail;
  /** @brief Time after which the caller may retry; only with
   * kTemporarilyUnavailable. */
  std::chrono::seconds retry_after{1};
};

/** @brief Sends responses to callers. */
class ResponsePort {
 public:
  virtual ~ResponsePort() = default;
  /**
   * @brief Sends a response to the caller of its exchange.
   * @param response Response to send.
   */
  virtual void Send(JobResponse response) = 0;
};

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_MESSAGES_H_
