#ifndef CROCUSMAST_INTAKE_MESSAGES_H_
#define CROCUSMAST_INTAKE_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/job/progress.h"

namespace crocusmast::intake {

/** @brief What a caller wants. */
enum class Verb {
  kSubmit,
  /** @brief Shows a job, or counts what a queue holds. */
  kShow,
  kCancel,
};

/** @brief A caller's request, decoded. */
struct CallerRequest {
  job::ExchangeId exchange;
  Verb verb = Verb::kShow;
  /** @brief The host that the caller named, without a port. */
  std::string host;
  std::string path;
  /** @brief The job to submit; absent if the body can't be read. */
  std::optional<job::JobSpec> spec;
  /** @brief Why the body can't be read; empty if it can. */
  std::string problem;
  /** @brief When the caller stops waiting. */
  core::TimePoint deadline;
};

/** @brief How a request ended. */
enum class AnswerKind {
  kAccepted,
  kState,
  kCount,
  kCancelled,
  /** @brief There is no such queue. */
  kNoQueue,
  /** @brief There is no such job. */
  kNoJob,
  /** @brief The request can't be read; nothing was done. */
  kBadRequest,
  /** @brief Another job has this id; nothing was done. */
  kTaken,
  /** @brief Not now; nothing was done. */
  kNotNow,
  /** @brief It may have been done. */
  kUnknown,
};

/** @brief The answer to a caller. */
struct Answer {
  job::ExchangeId exchange;
  AnswerKind kind = AnswerKind::kNotNow;
  job::JobState state = job::JobState::kQueued;
  std::uint64_t count = 0;
  /** @brief What was wrong, for the caller to read. */
  std::string detail;
  /** @brief When the caller may come back; with kNotNow. */
  std::chrono::seconds retry_after{1};
};

/** @brief Takes answers to callers. */
class AnswerPort {
 public:
  virtual ~AnswerPort() = default;
  /** @brief Sends an answer. */
  virtual void Send(Answer answer) = 0;
};

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_MESSAGES_H_
