#ifndef CROCUSMAST_CAPACITY_POOL_LOAD_H_
#define CROCUSMAST_CAPACITY_POOL_LOAD_H_

#include <cstddef>
#include <map>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::capacity {

/** @brief The load of a pool, in cores and core-seconds. */
struct PoolLoad {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief True if its instances are switched off and cost nothing. */
  bool is_standby = false;
  /** @brief Cores of its workers that accept work. */
  double capacity_cores = 0;
  /** @brief Number of these workers. */
  std::size_t ready_workers = 0;
  /** @brief Workers that can't be reached or fail what they run; when they get
   * work again is not known. */
  std::size_t unavailable_workers = 0;
  /** @brief Cores in use by running work. */
  double running_cores = 0;
  /** @brief Cores that recent arrivals will keep busy. */
  double arriving_cores = 0;
  /**
   * @brief Like arriving_cores, but averaged over kLongWindow only, so that a
   * few large jobs have less effect.
   */
  double steady_cores = 0;
  /**
   * @brief Cores needed by the work that could start now if there were
   * capacity; only that of jobs in time, as what late ones are worth justifies
   * no machine.
   */
  double waiting_cores = 0;
  /** @brief The same work in core-seconds. */
  double waiting_core_seconds = 0;
  /** @brief Numbers of jobs with tasks that could start now, by what they are
   * still worth: in time, late and expired. */
  std::size_t waiting_in_time = 0;
  std::size_t waiting_late = 0;
  std::size_t waiting_expired = 0;
};

/** @brief Processor time of pools up to which jobs that are not in time start
 * tasks. */
using LateLimits = std::map<core::PoolId, core::MilliCores>;

/** @brief Provides the load of the pools. */
class PoolLoadSource {
 public:
  virtual ~PoolLoadSource() = default;
  /** @brief Returns the load of each pool. */
  virtual std::vector<PoolLoad> PoolLoads() const = 0;
};

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_POOL_LOAD_H_
