#ifndef CROCUSMAST_EXECUTION_WORKER_CLOCK_H_
#define CROCUSMAST_EXECUTION_WORKER_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <ratio>

namespace crocusmast::execution {

/** @brief The monotonic clock of one incarnation of a worker. */
struct WorkerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<WorkerClock>;
  // The name is required by the Clock requirements of the C++ standard.
  static constexpr bool is_steady = true;  // NOLINT
};

/** @brief A point in time on a worker's own clock. */
using WorkerTime = WorkerClock::time_point;

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_CLOCK_H_
