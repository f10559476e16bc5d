#ifndef CROCUSMAST_INTAKE_INTAKE_H_
#define CROCUSMAST_INTAKE_INTAKE_H_

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
inline constexpr std::chrono::milliseconds kCountMaxAge{1800};
/** @brief A store call without an answer is repeated while this much of the
 * caller's time is left. */
inline constexpr std::chrono::milliseconds kRepeatReserve{500};
/** @brief The pause before the first repeat; doubles with each. The store may
 * be refusing this instance at once. */
inline constexpr std::chrono::milliseconds kRepeatPause{100};
/** @brief After this many repeats the caller is told: at another instance the
 * same call may succeed. */
inline constexpr std::uint32_t kMaxRepeats = 3;
/** @brief When a caller may come back after the store failed; outages last
 * for seconds. */
inline constexpr std::chrono::seconds kStoreRetryAfter{1};

/** @brief What the intake uses; all outlive it. */
struct IntakePorts {
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
class Intake {
 public:
  /**
   * @brief Makes an intake.
   * @param ports What it uses.
   * @param book What the store holds, as far as is known; outlives it.
   */
  Intake(const IntakePorts& ports, job::JobBook& book);

  /** @brief Takes in a version of the configuration. */
  void SetDirectory(const queue::Directory& directory) {
    m_directory = &directory;
  }

  /**
   * @brief Takes in when the book was last known to be up to date.
   * @param now The time.
   */
  void BookIsCurrent(core::TimePoint now) { m_book_current_at = now; }

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
  struct Pending {
    Verb verb = Verb::kShow;
    job::AcceptedJob job;
    core::TimePoint deadline;
    /** @brief A call for it may have been done, or may be done later. */
    bool is_uncertain = false;
    core::TimePoint began_at;
    std::uint32_t repeats = 0;
    /** @brief When the call is repeated; empty while one is under way. */
    std::optional<core::TimePoint> repeat_at;
  };

  void Submit(CallerRequest&& request, const queue::Queue& queue);
  void Show(const CallerRequest& request, const queue::Queue& queue);
  void Cancel(const CallerRequest& request, const queue::Queue& queue);
  void Count(const CallerRequest& request, const queue::Queue& queue);
  void FinishSubmit(job::ExchangeId exchange,
                    Pending& waiting,
                    job::StoreOutcome outcome);
  void FinishCancel(job::ExchangeId exchange,
                    Pending& waiting,
                    job::StoreOutcome outcome);
  bool MayRepeat(const Pending& waiting) const;
  void Reply(job::ExchangeId exchange,
             AnswerKind kind,
             const core::JobId& job,
             std::string detail);
  void Send(Answer answer, const core::JobId& job);

  IntakePorts m_ports;
  job::JobBook& m_book;
  const queue::Directory* m_directory = nullptr;
  core::TimePoint m_book_current_at;
  std::unordered_map<std::uint64_t, Pending> m_waiting;
};

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_INTAKE_H_
