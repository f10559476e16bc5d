#ifndef CROCUSMAST_CAPACITY_DEMAND_METER_H_
#define CROCUSMAST_CAPACITY_DEMAND_METER_H_

#include <deque>
#include <map>
#include <utility>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"

namespace crocusmast::capacity {

/** @brief The windows over which arrivals are averaged: the short one sees a
 * rush begin, the long one steadies queues of few, large jobs. */
inline constexpr std::chrono::milliseconds kShortWindow{500};
inline constexpr std::chrono::milliseconds kLongWindow{1000};

/** @brief Measures the work that arrives for each pool. */
class DemandMeter {
 public:
  /**
   * @brief Takes in a job.
   * @param pool The pool that runs it.
   * @param core_seconds All its work.
   * @param now When it arrived.
   */
  void Add(const core::PoolId& pool, double core_seconds, core::TimePoint now);

  /** @brief The cores that the latest arrivals keep busy. */
  struct Rates {
    /** @brief By the window that shows more. */
    double latest = 0;
    /** @brief By the long window. */
    double steady = 0;
  };

  /**
   * @brief Returns what the latest arrivals keep busy.
   * @param pool The pool.
   * @param now The time.
   */
  Rates RatesOf(const core::PoolId& pool, core::TimePoint now) const;

  /** @brief Forgets everything. */
  void Clear() { m_arrivals.clear(); }

 private:
  std::map<core::PoolId, std::deque<std::pair<core::TimePoint, double>>>
      m_arrivals;
};

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_DEMAND_METER_H_
