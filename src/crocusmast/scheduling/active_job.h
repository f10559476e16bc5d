#ifndef CROCUSMAST_SCHEDULING_ACTIVE_JOB_H_
#define CROCUSMAST_SCHEDULING_ACTIVE_JOB_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/job.h"
#include "crocusmast/job/resources.h"
#include "crocusmast/scheduling/job_order.h"

namespace crocusmast::scheduling {

/** @brief When a job reached its phases in this term; empty if it has not. */
struct JobTimes {
  /** @brief When the scheduler learned of it; empty for a job of an earlier
   * term. */
  core::TimePoint seen_at;
  core::TimePoint first_placed_at;
  core::TimePoint last_placed_at;
  /** @brief When the last of its runs was known to have ended. */
  core::TimePoint ended_at;
};

/** @brief A job with its scheduling state. */
struct ActiveJob {
  explicit ActiveJob(job::Job created) : job(std::move(created)) {}

  job::Job job;
  core::PoolId pool;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 0;
  /** @brief Starting its tasks requires tickets. */
  bool needs_tickets = false;
  /** @brief When it was accepted, by this leader's clock. */
  core::TimePoint accepted_at;
  /** @brief When it has to end to meet its queue's objective. */
  core::TimePoint deadline;
  /** @brief When it reached its phases. */
  JobTimes times;
  /** @brief When this leader handled its cancellation; empty before. */
  std::optional<core::TimePoint> cancelled_at;
  /** @brief An earlier leader may have started tasks that are not known yet.
   */
  bool is_inherited = false;
  /** @brief Its start is stored, so that a successor reconciles its runs. No
   * start command is sent before. */
  bool is_start_recorded = false;
  /** @brief Starts of its tasks were answered since its progress was captured
   * for the store. */
  bool has_answered_starts = false;
  /** @brief It may have tasks that are ready to be placed. */
  bool may_have_ready_tasks = true;
  /** @brief Component-wise minimum of the resources that its ready tasks
   * need; empty if unknown. */
  std::optional<job::Resources> min_resources;
  /** @brief Its rank among the waiting jobs of its pool; empty if it does not
   * wait. */
  std::optional<JobRank> waiting_rank;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_ACTIVE_JOB_H_
