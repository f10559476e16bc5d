#ifndef CROCUSMAST_CORE_CLOCK_H_
#define CROCUSMAST_CORE_CLOCK_H_

#include <chrono>

namespace crocusmast::core {

/** @brief A point in monotonic time. */
using TimePoint = std::chrono::steady_clock::time_point;
/** @brief A point in calendar time. */
using WallTime = std::chrono::system_clock::time_point;
/** @brief A span of monotonic time. */
using Duration = std::chrono::steady_clock::duration;

/** @brief Source of time; injected so that tests can control it. */
class Clock {
 public:
  virtual ~Clock() = default;
  /** @brief Returns the current monotonic time. */
  virtual TimePoint Now() const = 0;
  /** @brief Returns the current calendar time. */
  virtual WallTime WallNow() const = 0;
};

/** @brief Reads the clocks of the operating system. */
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_CLOCK_H_
