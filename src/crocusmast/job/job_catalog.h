#ifndef CROCUSMAST_JOB_JOB_CATALOG_H_
#define CROCUSMAST_JOB_JOB_CATALOG_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/batch_id.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/progress.h"

namespace crocusmast::job {

/** @brief A job was stored. */
struct JobStored {
  AcceptedJob job;
};
/** @brief A caller's cancellation of a job was stored. */
struct CancellationStored {
  core::JobId id;
};
/** @brief The progress of a job was stored. */
struct ProgressStored {
  core::JobId id;
  JobProgress progress;
  /** @brief The store's revision of this progress. */
  core::Revision revision;
  /** @brief The batch that contains it; absent if it has a record of its own.
   */
  std::optional<BatchId> batch = std::nullopt;
};
/** @brief A job ended; only its final state is left in the store. */
struct JobEnded {
  core::JobId id;
  core::QueueId queue;
  JobState state = JobState::kSucceeded;
  /** @brief The store's revision of this record. */
  core::Revision revision;
};
/** @brief A job was removed from the store. */
struct JobRemoved {
  core::JobId id;
};

/** @brief A change of a job in the store. */
using JobEvent = std::variant<JobStored,
                              CancellationStored,
                              ProgressStored,
                              JobEnded,
                              JobRemoved>;

/**
 * @brief Returns the id of the job that an event concerns.
 * @param event The event.
 */
const core::JobId& JobIdOf(const JobEvent& event);

/** @brief A batch was stored; ProgressStored tells its contents. */
struct BatchStored {
  BatchId id;
};
/** @brief A batch was removed from the store. */
struct BatchRemoved {
  BatchId id;
};

/** @brief The stored state of one job. */
struct JobEntry {
  /** @brief The job; its spec is discarded once its state is final. */
  AcceptedJob job;
  /** @brief The caller cancelled the job. */
  bool is_cancelled = false;
  /** @brief Stored progress; absent before the first task starts. */
  std::optional<JobProgress> progress;
  /** @brief Store revision of the progress; 0 for none. */
  core::Revision revision;
  /** @brief The batch that contains the progress; absent if it has a record of
   * its own. */
  std::optional<BatchId> batch;
  /** @brief When its final state was received. */
  core::TimePoint ended_at;

  /** @brief Returns the state that callers are shown. */
  JobState State() const;
};

/** @brief Local copy of the jobs in the store, as far as events have arrived.
 */
class JobCatalog {
 public:
  /**
   * @brief Applies a change of the store.
   * @param event The event; events come in order of store revision.
   * @param now The current time.
   */
  void Apply(JobEvent event, core::TimePoint now);
  /** @brief Applies the storage or the removal of a batch. */
  void Apply(const BatchStored& event) { m_batches.insert(event.id); }
  void Apply(const BatchRemoved& event) { m_batches.erase(event.id); }

  /**
   * @brief Removes what is missing from a complete listing of the store.
   * @param listed The jobs of the listing.
   * @param listed_batches The batches of the listing.
   */
  void RetainOnly(const std::unordered_set<core::JobId>& listed,
                  const std::set<BatchId>& listed_batches);

  /**
   * @brief Finds a job.
   * @param id The job.
   * @return The job, or null if it is not known.
   */
  const JobEntry* Find(const core::JobId& id) const;

  /**
   * @brief Counts a queue's unscheduled jobs that have not started a task.
   * @param queue The queue.
   */
  std::uint64_t CountQueued(const core::QueueId& queue) const;

  /** @brief Returns all jobs. */
  const std::unordered_map<core::JobId, JobEntry>& Entries() const {
    return m_entries;
  }

  /** @brief Returns the batches that the store holds. */
  const std::set<BatchId>& Batches() const { return m_batches; }

 private:
  void HandleEvent(JobStored&& event, core::TimePoint now);
  void HandleEvent(CancellationStored&& event, core::TimePoint now);
  void HandleEvent(ProgressStored&& event, core::TimePoint now);
  void HandleEvent(JobEnded&& event, core::TimePoint now);
  void HandleEvent(JobRemoved&& event, core::TimePoint now);
  static void DiscardSpecIfFinal(JobEntry& entry, core::TimePoint now);

  std::unordered_map<core::JobId, JobEntry> m_entries;
  std::set<BatchId> m_batches;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_CATALOG_H_
