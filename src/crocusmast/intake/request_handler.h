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
#include "crocusmast/job/job_book.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/queue/directory.h"

namespace crocusmast::intake {

/** @brief A count of queued jobs may be this old; from the job interface. */
inline constexpr std::chrono::milliseconds kMaxCountAge{1800};
/** @brief A store call without an answer is repeated while this much of the
 * caller's time is left. */
inline constexpr std::chrono::milliseconds kRetryReserve{500};
/** @brief The pause before the first repeat; doubles with each. The store may
 * be refusing this instance at once. */
inline constexpr std::chrono::milliseconds kInitialRetryDelay{100};
/** @brief After this many repeats the caller is told: at another instance the
 * same call may succeed. */
inline constexpr std::uint32_t kMaxRetries = 3;
/** @brief When a caller may come back after the store failed; outages last
 * for seconds. */
inline constexpr std::chrono::seconds kStoreRetryAfter{1};

/** @brief What the intake uses; all outlive it. */
struct RequestHandlerPorts {
  job::JobStore& store;
  AnswerPort& answers;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/**
 * @brief Serves callers: accepts jobs once they are stored, shows states,
 * takes cancels.
 *
 * A job is accepted when the store holds it. A state is shown only as stored,
 * so no later state contradicts it.
 */
class RequestHandler {
 public:
  /**
   * @brief Makes an intake.
   * @param ports What it uses.
   * @param job_catalog What the store holds, as far as is known; outlives it.
   */
  RequestHandler(const RequestHandlerPorts& ports, job::JobBook& job_catalog);

  /** @brief Takes in a version of the configuration. */
  void SetCatalog(const queue::Directory& catalog) {
    m_queue_catalog = &catalog;
  }

  /**
   * @brief Takes in when the book was last known to be up to date.
   * @param now The time.
   */
  void SetJobsUpdatedAt(core::TimePoint now) { m_jobs_updated_at = now; }

  /** @brief Takes a caller's request. */
  void Handle(CallerRequest&& request);
  /** @brief Takes the answer to a write. */
  void Handle(const job::JobWritten& written);
  /** @brief Takes the answer to a read. */
  void Handle(job::JobRead&& read);

  /** @brief Repeats the calls whose time has come. */
  void Tick();

 private:
  /** @brief A request that waits for the store. */
  struct PendingRequest {
    Verb verb = Verb::kShow;
    job::AcceptedJob job;
    core::TimePoint deadline;
    /** @brief A call for it may have been done, or may be done later. */
    bool may_be_applied = false;
    core::TimePoint started_at;
    std::uint32_t retries = 0;
    /** @brief When the call is repeated; empty while one is under way. */
    std::optional<core::TimePoint> retry_at;
  };

  void Submit(CallerRequest&& request, const queue::Queue& queue);
  void GetState(const CallerRequest& request, const queue::Queue& queue);
  void Cancel(const CallerRequest& request, const queue::Queue& queue);
  void CountQueued(const CallerRequest& request, const queue::Queue& queue);
  void FinishSubmit(job::ExchangeId exchange,
                    PendingRequest& pending,
                    job::StoreOutcome outcome);
  void FinishCancel(job::ExchangeId exchange,
                    PendingRequest& pending,
                    job::StoreOutcome outcome);
  bool CanRetry(const PendingRequest& pending) const;
  void Reply(job::ExchangeId exchange,
             AnswerKind kind,
             const core::JobId& job,
             std::string detail);
  void Send(Answer answer, const core::JobId& job);

  RequestHandlerPorts m_ports;
  job::JobBook& m_job_catalog;
  const queue::Directory* m_queue_catalog = nullptr;
  core::TimePoint m_jobs_updated_at;
  std::unordered_map<std::uint64_t, PendingRequest> m_pending;
};

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_REQUEST_HANDLER_H_
