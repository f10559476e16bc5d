#ifndef CROCUSMAST_SCHEDULING_WAITING_JOBS_H_
#define CROCUSMAST_SCHEDULING_WAITING_JOBS_H_

#include <optional>
#include <utility>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/resources.h"
#include "crocusmast/scheduling/active_job.h"
#include "crocusmast/scheduling/job_order.h"

namespace crocusmast::scheduling {

/**
 * @brief The jobs of a pool with tasks that are ready to be placed, in the
 * order in which they are placed.
 *
 * What a round of placements reads of each job is kept in one array, since most
 * jobs of a long queue are only skipped.
 */
class WaitingJobs {
 public:
  /** @brief A waiting job. */
  struct Entry {
    JobRank rank;
    ActiveJob* job = nullptr;
    /** @brief What each of its ready tasks needs at least; empty if unknown. */
    std::optional<job::Resources> min_resources;
  };

  /**
   * @brief Adds a job, or gives it another rank.
   * @param job The job; outlives its entry.
   * @param rank Its rank.
   */
  void Set(ActiveJob& job, const JobRank& rank);

  /**
   * @brief Sets what each ready task of a job needs at least.
   * @param job The job; ignored if it does not wait.
   */
  void UpdateMinResources(const ActiveJob& job);

  /**
   * @brief Removes a job; ignored if it does not wait.
   * @param job The job.
   */
  void Remove(ActiveJob& job);

  /**
   * @brief Moves the jobs whose rank is no longer valid.
   * @tparam Ranking Takes a job and returns its rank.
   * @param now The current time.
   * @param rank_of Returns the rank that a job has now.
   */
  template <typename Ranking>
  void Advance(core::TimePoint now, Ranking rank_of) {
    if (now <= m_valid_until) {
      return;
    }
    std::vector<Entry> outdated = TakeOutdated(now);
    for (Entry& entry : outdated) {
      entry.rank = rank_of(*entry.job);
      entry.job->waiting_rank = entry.rank;
    }
    Merge(std::move(outdated));
  }

  /** @brief Returns the jobs, the first to be placed first. */
  const std::vector<Entry>& Entries() const { return m_entries; }

 private:
  std::vector<Entry>::iterator Find(const ActiveJob& job);
  std::vector<Entry> TakeOutdated(core::TimePoint now);
  void Merge(std::vector<Entry> entries);

  std::vector<Entry> m_entries;
  /** @brief No rank changes with time before. */
  core::TimePoint m_valid_until = core::TimePoint::max();
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_WAITING_JOBS_H_
