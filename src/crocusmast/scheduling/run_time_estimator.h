#ifndef CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
#define CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/execution/worker.h"

namespace crocusmast::scheduling {

/** @brief Weight of a run among the latest 200. A queue with runs of a second
 * and 50 runs a second has them within 4 s; an error of the mean of their
 * logarithms of 0.6, twice too long or too short, is then below a tenth. */
inline constexpr double kMinRunWeight = 0.005;
/** @brief Number of runs that the caller's estimates count for at first. */
inline constexpr double kPriorRuns = 20;
/** @brief Variance of the logarithms of a queue's estimates before any run: a
 * factor of 1.6 about the mean. */
inline constexpr double kPriorVariance = 0.25;
/** @brief Variance below which all estimates of a queue are taken as equal, so
 * that they determine no slope. */
inline constexpr double kMinVariance = 1e-9;

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

/**
 * @brief Predicts run times from the estimates of callers, for each queue.
 *
 * Fits a line to the logarithms of estimated and actual run times. Where
 * estimates are off in both directions, its slope is below one, so that long
 * estimates are shortened and short ones are lengthened; a mean of ratios would
 * lengthen all of them.
 */
class RunTimeEstimator {
 public:
  /**
   * @brief Adds the run time of a run that succeeded.
   * @param queue The queue.
   * @param estimate The caller's estimate; ignored unless positive.
   * @param actual The actual run time; ignored unless positive.
   */
  void Observe(const core::QueueId& queue,
               core::Duration estimate,
               core::Duration actual) {
    if (estimate <= core::Duration::zero() ||
        actual <= core::Duration::zero()) {
      return;
    }
    m_fits.try_emplace(queue, ToLogarithm(estimate))
        .first->second.Add(ToLogarithm(estimate), ToLogarithm(actual));
  }

  /**
   * @brief Predicts a run time.
   * @param queue The queue.
   * @param estimate The caller's estimate.
   */
  core::Duration Correct(const core::QueueId& queue,
                         core::Duration estimate) const {
    const auto found = m_fits.find(queue);
    if (found == m_fits.end() || estimate <= core::Duration::zero()) {
      return estimate;
    }
    const double seconds =
        std::exp(found->second.Predict(ToLogarithm(estimate)));
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(seconds));
  }

  /** @brief Returns for each queue the ratio of the mean actual to the mean
   * estimated run time for the log, as QUEUE=RATIO. */
  std::string DescribeRatios() const {
    return Describe([](const Fit& fit) {
      return std::exp(fit.mean_actual - fit.mean_estimate);
    });
  }
  /** @brief Returns for each queue the slope of its line for the log, as
   * QUEUE=SLOPE. */
  std::string DescribeSlopes() const {
    return Describe([](const Fit& fit) { return fit.Slope(); });
  }

 private:
  /** @brief A line through logarithms, with weights that fade. */
  struct Fit {
    explicit Fit(double first_estimate)
        : mean_estimate(first_estimate), mean_actual(first_estimate) {}

    void Add(double estimate, double actual) {
      const double weight = std::max(
          kMinRunWeight, 1.0 / (kPriorRuns + static_cast<double>(++runs)));
      const double from_mean = estimate - mean_estimate;
      const double actual_from_mean = actual - mean_actual;
      mean_estimate += weight * from_mean;
      mean_actual += weight * actual_from_mean;
      variance = (1 - weight) * (variance + weight * from_mean * from_mean);
      covariance =
          (1 - weight) * (covariance + weight * from_mean * actual_from_mean);
    }
    double Slope() const {
      return variance < kMinVariance
                 ? 1.0
                 : std::clamp(covariance / variance, 0.0, 1.0);
    }
    double Predict(double estimate) const {
      return mean_actual + Slope() * (estimate - mean_estimate);
    }

    std::uint64_t runs = 0;
    double mean_estimate;
    double mean_actual;
    /** @brief Before any run estimates are taken to be right. */
    double variance = kPriorVariance;
    double covariance = kPriorVariance;
  };

  template <typename Value>
  std::string Describe(Value value_of) const {
    std::string text;
    for (const auto& [queue, fit] : m_fits) {
      char value[16];
      std::snprintf(value, sizeof(value), "%.2f", value_of(fit));
      text += (text.empty() ? "" : " ") + queue.Text() + '=' + value;
    }
    return text;
  }

  static double ToLogarithm(core::Duration time) {
    return std::log(std::chrono::duration<double>(time).count());
  }

  std::map<core::QueueId, Fit> m_fits;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_RUN_TIME_ESTIMATOR_H_
