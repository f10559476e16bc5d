#ifndef CROCUSMAST_CAPACITY_POOL_LOAD_H_
#define CROCUSMAST_CAPACITY_POOL_LOAD_H_

#include <vector>

#include "crocusmast/core/ids.h"

namespace crocusmast::capacity {

/** @brief How much a pool is asked for; in cores and core-seconds. */
struct PoolLoad {
  core::PoolId pool;
  /** @brief Its instances are off and cost nothing. */
  bool is_standby = false;
  /** @brief What its workers have, as far as they may get work. */
  double capacity_cores = 0;
  /** @brief What is taken by what runs. */
  double running_cores = 0;
  /** @brief What the latest arrivals will keep busy. */
  double arriving_cores = 0;
  /** @brief The same over a longer time, which few large jobs sway less. */
  double steady_cores = 0;
  /** @brief What could start now, if there were room. */
  double waiting_cores = 0;
  /** @brief The work of what could start now. */
  double waiting_core_seconds = 0;
};

/** @brief Tells how much the pools are asked for. */
class LoadView {
 public:
  virtual ~LoadView() = default;
  /** @brief Returns the load of each pool. */
  virtual std::vector<PoolLoad> PoolLoads() const = 0;
};

}  // namespace crocusmast::capacity

#endif  // CROCUSMAST_CAPACITY_POOL_LOAD_H_
