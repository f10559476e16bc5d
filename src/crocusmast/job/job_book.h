#ifndef CROCUSMAST_JOB_JOB_BOOK_H_
#define CROCUSMAST_JOB_JOB_BOOK_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/progress.h"

namespace crocusmast::job {

/** @brief The store holds a job. */
struct JobStored {
  AcceptedJob job;
};
/** @brief The store holds that a caller cancelled a job. */
struct CancelStored {
  core::JobId id;
};
/** @brief The store holds a job's progress. */
struct ProgressStored {
  core::JobId id;
  JobProgress progress;
  /** @brief The store's revision of this progress. */
  core::Revision revision;
};
/** @brief The store holds that a job is over, and nothing else of it. */
struct JobEnded {
  core::JobId id;
  core::QueueId queue;
  JobState state = JobState::kSucceeded;
  /** @brief The store's revision of this record. */
  core::Revision revision;
};
/** @brief The store no longer holds a job. */
struct JobRemoved {
  core::JobId id;
};

/** @brief What the store says of jobs. */
using JobEvent =
    std::variant<JobStored, CancelStored, ProgressStored, JobEnded, JobRemoved>;

/**
 * @brief Returns the job that an event is about.
 * @param event The event.
 */
const core::JobId& IdOf(const JobEvent& event);

/** @brief What the store holds of one job. */
struct JobEntry {
  /** @brief The job; without payload and steps once its state is final. */
  AcceptedJob job;
  /** @brief The caller cancelled. */
  bool is_cancelled = false;
  /** @brief The stored progress; absent before the first start. */
  std::optional<JobProgress> progress;
  /** @brief The store's revision of the progress; 0 for none. */
  core::Revision revision;
  /** @brief When its final state was seen. */
  core::TimePoint ended_at;

  /** @brief Returns the state to show. */
  JobState State() const;
};

/** @brief All jobs that the store holds, as far as this instance has read. */
class JobBook {
 public:
  /**
   * @brief Takes in what the store says.
   * @param event The event; in the order of the store's revisions.
   * @param now The time.
   */
  void Apply(JobEvent event, core::TimePoint now);

  /**
   * @brief Forgets the jobs that a whole list of the store does not name.
   * @param named The jobs that it names.
   */
  void Retain(const std::unordered_set<core::JobId>& named);

  /**
   * @brief Returns a job.
   * @param id The job.
   * @return The job, or null.
   */
  const JobEntry* Find(const core::JobId& id) const;

  /**
   * @brief Counts a queue's jobs without a started task.
   * @param queue The queue.
   */
  std::uint64_t CountQueued(const core::QueueId& queue) const;

  /** @brief Returns all jobs. */
  const std::unordered_map<core::JobId, JobEntry>& Entries() const {
    return m_entries;
  }

 private:
  void HandleEvent(JobStored&& event, core::TimePoint now);
  void HandleEvent(CancelStored&& event, core::TimePoint now);
  void HandleEvent(ProgressStored&& event, core::TimePoint now);
  void HandleEvent(JobEnded&& event, core::TimePoint now);
  void HandleEvent(JobRemoved&& event, core::TimePoint now);
  static void DiscardSpecIfFinal(JobEntry& entry, core::TimePoint now);

  std::unordered_map<core::JobId, JobEntry> m_entries;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_BOOK_H_
