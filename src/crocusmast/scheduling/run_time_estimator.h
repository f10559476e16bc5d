#ifndef CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
#define CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_

#include <cstdio>
#include <map>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"

namespace crocusmast::scheduling {

/** @brief Weight of a new sample in the moving average of about 30 runs. */
inline constexpr double kRunTimeSmoothing = 0.03;

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
