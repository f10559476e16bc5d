#ifndef TEST_CAPACITY_LEADER_VIEW_H_
#define TEST_CAPACITY_LEADER_VIEW_H_

#include <chrono>
#include <string>

#include "crocusmast/capacity/pool_load.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/scheduling/job_order.h"
#include "crocusmast/scheduling/run_time_estimator.h"
#include "test/capacity/turn_traffic.h"
#include "test/support/factories.h"

namespace test {

namespace capacity = crocusmast::capacity;
namespace core = crocusmast::core;
namespace scheduling = crocusmast::scheduling;

inline core::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(seconds));
}

/** @brief What the leader knows of jobs whose run times it can only estimate.
 */
class LeaderView {
 public:
  /**
   * @brief Handles the end of a run.
   * @param job The job.
   * @param seconds The run time.
   */
  void Observe(const TurnJob& job, double seconds) {
    m_estimator.Observe(QueueOf(job), ToDuration(job.estimate_seconds),
                        ToDuration(seconds));
  }

  /** @brief Returns the expected run time of a task of a job, in seconds. */
  double ExpectedSeconds(const TurnJob& job) const {
    return std::chrono::duration<double>(
               m_estimator.Correct(QueueOf(job),
                                   ToDuration(job.estimate_seconds)))
        .count();
  }

  /**
   * @brief Returns the rank of a job among those of its pool.
   * @param job The job.
   * @param began_at When the model began.
   * @param now The current time.
   */
  scheduling::JobRank RankOf(const TurnJob& job,
                             core::TimePoint began_at,
                             core::TimePoint now) const {
    scheduling::JobUrgency urgency;
    urgency.is_started = job.is_started;
    urgency.accepted_at = began_at + ToDuration(job.arrival);
    urgency.objective = ToDuration(job.ObjectiveFor(ExpectedSeconds(job)));
    urgency.remaining = ToDuration(static_cast<double>(job.steps - job.step) *
                                   ExpectedSeconds(job));
    return scheduling::JobRank::Of(urgency, now);
  }

  /**
   * @brief Adds a waiting job to the load of its pool.
   * @param job The job.
   * @param timeliness What it is still worth.
   * @param load The load.
   */
  void AddWaitingJob(const TurnJob& job,
                     scheduling::Timeliness timeliness,
                     capacity::PoolLoad& load) const {
    switch (timeliness) {
      case scheduling::Timeliness::kInTime:
        ++load.waiting_in_time;
        break;
      case scheduling::Timeliness::kLate:
        ++load.waiting_late;
        return;
      case scheduling::Timeliness::kExpired:
        ++load.waiting_expired;
        return;
    }
    const double cores = static_cast<double>(job.ready) * job.cores;
    load.waiting_cores += cores;
    load.waiting_core_seconds += cores * ExpectedSeconds(job);
  }

 private:
  static core::QueueId QueueOf(const TurnJob& job) {
    return MakeId<core::QueueId>("queue-" + std::to_string(job.pool));
  }

  scheduling::RunTimeEstimator m_estimator;
};

}  // namespace test

#endif  // TEST_CAPACITY_LEADER_VIEW_H_
