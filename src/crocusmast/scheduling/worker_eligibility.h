#ifndef CROCUSMAST_SCHEDULING_WORKER_ELIGIBILITY_H_
#define CROCUSMAST_SCHEDULING_WORKER_ELIGIBILITY_H_

#include "crocusmast/core/clock.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/scheduling/active_job.h"

namespace crocusmast::scheduling {

/**
 * @brief Returns a run of a step's task that is not sent yet.
 * @param step The step.
 */
execution::AssignedRun MakeAssignedRun(const job::Step& step);

/**
 * @brief Tells whether a worker is listed and neither drains nor is cordoned.
 * @param worker The worker.
 */
bool IsStaying(const execution::Worker& worker);

/**
 * @brief Tells whether tasks may be placed on a worker now.
 * @param worker The worker.
 * @param now The current time.
 */
bool IsUsable(const execution::Worker& worker, core::TimePoint now);

/**
 * @brief Tells whether tasks of a step may be placed on a worker as soon as it
 * has room.
 * @param worker The worker.
 * @param active The job.
 * @param step A step of the job.
 */
bool MayTakeTasks(const execution::Worker& worker,
                  const ActiveJob& active,
                  const job::Step& step);

/**
 * @brief Tells whether a start command for a task of a step may be repeated to
 * a worker.
 * @param worker The worker.
 * @param active The job.
 * @param step A step of the job.
 */
bool MayRepeatOn(const execution::Worker& worker,
                 const ActiveJob& active,
                 const job::Step& step);

/**
 * @brief Tells whether a worker that has replied rejects the start command of
 * an earlier leader and can't be sent it again.
 *
 * Only if the worker started once more could an incarnation execute it, which
 * its task does not wait for.
 * @param worker The worker.
 * @param active The job.
 * @param step A step of the job.
 */
bool IsSettledWithoutRepeat(const execution::Worker& worker,
                            const ActiveJob& active,
                            const job::Step& step);

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_WORKER_ELIGIBILITY_H_
