#ifndef CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
#define CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_

#include <map>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"

namespace crocusmast::scheduling {

/** @brief The weight of a new observation; about thirty runs count. */
inline constexpr double kRunTimeSmoothing = 0.03;

/** @brief Learns for each queue how long tasks take against their estimates. */
class RunTimeEstimator {
 public:
  /**
   * @brief Takes in a run that was done.
   * @param queue The queue.
   * @param estimate The caller's estimate.
   * @param taken How long the run took.
   */
  void Observe(const core::QueueId& queue,
               core::Duration estimate,
               core::Duration taken) {
    if (estimate <= core::Duration::zero()) {
      return;
    }
    const double ratio = static_cast<double>(taken.count()) /
                         static_cast<double>(estimate.count());
    double& known = m_ratios.try_emplace(queue, 1.0).first->second;
    known += kRunTimeSmoothing * (ratio - known);
  }

  /**
   * @brief Corrects an estimate by what was learnt.
   * @param queue The queue.
   * @param estimate The caller's estimate.
   */
  core::Duration Correct(const core::QueueId& queue,
                         core::Duration estimate) const {
    const auto known = m_ratios.find(queue);
    const double ratio = known == m_ratios.end() ? 1.0 : known->second;
    return std::chrono::duration_cast<core::Duration>(estimate * ratio);
  }

 private:
  std::map<core::QueueId, double> m_ratios;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
