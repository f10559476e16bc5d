#ifndef CROCUSMAST_CAPACITY_DEMAND_ESTIMATOR_H_
#define CROCUSMAST_CAPACITY_DEMAND_ESTIMATOR_H_

#include <deque>
#include <map>
#include <utility>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"

namespace crocusmast::capacity {

/**
 * @brief The short window over which arrivals are averaged. It detects the
 * start of a load spike.
 */
inline constexpr std::chrono::milliseconds kShortWindow{500};
/**
 * @brief The long window over which arrivals are averaged. It smooths queues
 * with few, large jobs.
 */
inline constexpr std::chrono::milliseconds kLongWindow{1000};

/** @brief Estimates the load that arriving jobs put on each pool. */
class DemandEstimator {
 public:
  /**
   * @brief Records the arrival of a job.
   * @param pool The pool that runs the job.
   * @param core_seconds The total work of the job, in core-seconds.
   * @param now The time of the arrival.
   */
  void Add(const core::PoolId& pool, double core_seconds, core::TimePoint now);

  /** @brief The number of cores that recent arrivals keep busy. */
  struct Rates {
    /** @brief Average over the window that gives the higher value. */
    double peak = 0;
    /** @brief Average over the long window. */
    double steady = 0;
  };

  /**
   * @brief Returns the arrival rates of a pool, in cores.
   * @param pool The pool.
   * @param now The current time.
   */
  Rates RatesOf(const core::PoolId& pool, core::TimePoint now) const;

  /** @brief Removes all recorded arrivals. */
  void Clear() { m_arrivals.clear(); }

 private:
  std::map<core::PoolId, std::deque<std::pair<core::TimePoint, double>>>
      m_arrivals;
};

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_DEMAND_ESTIMATOR_H_
