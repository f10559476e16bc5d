#ifndef CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
#define CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/execution/worker.h"

namespace crocusmast::scheduling {

/** @brief Weight of a new sample in the moving average of about 30 runs. */
inline constexpr double kRunTimeSmoothing = 0.03;

/**
 * @brief Estimates the time of a run that ended, on its worker's clock; the
 * leader's own delays don't count.
 *
 * If the poll waited for an end, the run ended when the reply was sent, or
 * before the poll arrived. Otherwise it ended at any time since the worker
 * listed it last; the middle is taken.
 * @param run The run.
 * @param ended_by The worker's clock in the reply that reports the end.
 * @param has_poll_waited Whether the poll waited for a run to end.
 * @return Empty if the start is not known, or not before the end.
 */
inline std::optional<core::Duration> EstimateRunTime(
    const execution::AssignedRun& run,
    std::optional<execution::WorkerTime> ended_by,
    bool has_poll_waited) {
  const bool is_known = run.placed_at != core::TimePoint() &&
                        run.active_since && ended_by &&
                        *run.active_since < *ended_by;
  if (!is_known) {
    return std::nullopt;
  }
  const core::Duration longest = *ended_by - *run.active_since;
  if (has_poll_waited || !run.listed_at) {
    return has_poll_waited ? longest : longest / 2;
  }
  const core::Duration shortest = *run.listed_at - *run.active_since;
  return (std::max(core::Duration::zero(), shortest) + longest) / 2;
}

/** @brief Tracks for each queue the ratio of actual to estimated run times. */
class RunTimeEstimator {
 public:
  /**
   * @brief Adds the run time of a run that succeeded.
   * @param queue The queue.
   * @param estimate The caller's estimate; ignored unless positive.
   * @param actual The actual run time.
   */
  void Observe(const core::QueueId& queue,
               core::Duration estimate,
               core::Duration actual) {
    if (estimate <= core::Duration::zero()) {
      return;
    }
    const double ratio = static_cast<double>(actual.count()) /
                         static_cast<double>(estimate.count());
    double& average = m_ratios.try_emplace(queue, 1.0).first->second;
    average += kRunTimeSmoothing * (ratio - average);
  }

  /**
   * @brief Scales an estimate by the queue's average ratio.
   * @param queue The queue.
   * @param estimate The caller's estimate.
   */
  core::Duration Correct(const core::QueueId& queue,
                         core::Duration estimate) const {
    const auto found = m_ratios.find(queue);
    const double ratio = found == m_ratios.end() ? 1.0 : found->second;
    return std::chrono::duration_cast<core::Duration>(estimate * ratio);
  }

  /** @brief Returns the ratio of each queue for the log, as QUEUE=RATIO. */
  std::string Describe() const {
    std::string text;
    for (const auto& [queue, ratio] : m_ratios) {
      char value[16];
      std::snprintf(value, sizeof(value), "%.2f", ratio);
      text += (text.empty() ? "" : " ") + queue.Text() + '=' + value;
    }
    return text;
  }

 private:
  std::map<core::QueueId, double> m_ratios;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
