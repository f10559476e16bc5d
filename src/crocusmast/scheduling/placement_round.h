#ifndef CROCUSMAST_SCHEDULING_PLACEMENT_ROUND_H_
#define CROCUSMAST_SCHEDULING_PLACEMENT_ROUND_H_

#include <algorithm>
#include <unordered_set>
#include <vector>

#include "crocusmast/execution/worker.h"
#include "crocusmast/job/resources.h"
#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/waiting_jobs.h"

namespace crocusmast::scheduling {

/**
 * @brief One attempt to place the waiting tasks of a pool. Workers only get
 * fuller in a round.
 */
struct Scheduler::PlacementRound {
  /** @brief Workers that accept tasks. */
  std::vector<execution::Worker*> usable;
  /** @brief Workers that get no finite tasks, so that a long-running task that
   * fits nowhere gets one that becomes empty. */
  std::unordered_set<const execution::Worker*> reserved;
  /** @brief The most that a worker had free at the beginning, by component. */
  job::Resources max_free;
  /** @brief Processor capacity of all workers of the pool that long-running
   * runs leave to finite ones. */
  core::MilliCores finite_capacity;
  /** @brief What finite runs have of it. */
  core::MilliCores finite_in_use;
  /** @brief The job that is being placed has expired. */
  bool is_placing_expired = false;
  /** @brief Resources that no worker has free for a finite task. */
  std::vector<job::Resources> unavailable;

  /** @brief Accounts for a run that was placed. */
  void AddStarted(const execution::AssignedRun& run) {
    if (!run.is_long_running) {
      finite_in_use = finite_in_use + run.resources.processor;
    }
  }

  /** @brief Tells whether a task of an expired job may be started. */
  bool MayStartExpired() const {
    return finite_in_use.Count() * 100 <
           finite_capacity.Count() * kExpiredSharePercent;
  }

  /** @brief Tells whether a task of a job may find a worker. */
  bool MayPlace(const WaitingJobs::Entry& entry) const {
    if (entry.rank.timeliness == Timeliness::kExpired && !MayStartExpired()) {
      return false;
    }
    // A worker may be reserved for a long-running task that fits nowhere.
    if (!entry.rank.is_finite || !entry.min_resources) {
      return true;
    }
    return max_free.CanFit(*entry.min_resources) &&
           std::none_of(unavailable.begin(), unavailable.end(),
                        [&entry](const job::Resources& missing) {
                          return entry.min_resources->CanFit(missing);
                        });
  }
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_PLACEMENT_ROUND_H_
