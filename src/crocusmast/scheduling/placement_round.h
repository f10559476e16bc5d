#ifndef CROCUSMAST_SCHEDULING_PLACEMENT_ROUND_H_
#define CROCUSMAST_SCHEDULING_PLACEMENT_ROUND_H_

#include <algorithm>
#include <optional>
#include <unordered_set>
#include <vector>

#include "crocusmast/execution/worker.h"
#include "crocusmast/job/resources.h"
#include "crocusmast/scheduling/free_capacity.h"
#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/start_limits.h"
#include "crocusmast/scheduling/waiting_jobs.h"

namespace crocusmast::scheduling {

/**
 * @brief One attempt to place the waiting tasks of a pool. Workers only get
 * fuller in a round.
 */
struct Scheduler::PlacementRound {
  PlacementRound(const FreeCapacity& free,
                 std::optional<core::MilliCores> late_limit)
      : capacity(free),
        limits{free.FiniteCapacity(), late_limit},
        max_free(free.MaxFree()) {}

  /** @brief What the workers of the pool have free. */
  const FreeCapacity& capacity;
  /** @brief What jobs that are not in time may use of them. */
  const StartLimits limits;
  /** @brief Workers that get no finite tasks, so that a long-running task that
   * fits nowhere gets one that becomes empty. */
  std::unordered_set<const execution::Worker*> reserved;
  /** @brief The most that a worker had free at the beginning, by component. */
  job::Resources max_free;
  /** @brief What the job that is being placed is still worth. */
  Timeliness timeliness = Timeliness::kInTime;
  /** @brief Resources that no worker has free for a finite task. */
  std::vector<job::Resources> unavailable;

  /** @brief Tells whether a finite task of a job may be started. */
  bool MayStart(Timeliness job_timeliness) const {
    return limits.MayStart(job_timeliness, capacity.FiniteInUse());
  }

  /** @brief Tells whether a task of a job may find a worker. */
  bool MayPlace(const WaitingJobs::Entry& entry) const {
    if (!MayStart(entry.rank.timeliness)) {
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
