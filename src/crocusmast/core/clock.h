#ifndef CROCUSMAST_CORE_CLOCK_H_
#define CROCUSMAST_CORE_CLOCK_H_

#include <chrono>

namespace crocusmast::core {

/** @brief A point of monotonic time. */
using TimePoint = std::chrono::steady_clock::time_point;
/** @brief A point of calendar time. */
using WallTime = std::chrono::system_clock::time_point;
/** @brief A length of time. */
using Duration = std::chrono::steady_clock::duration;

/** @brief Tells the time; passed in wherever time matters. */
class Clock {
 public:
  virtual ~Clock() = default;
  /** @brief Returns the monotonic time. */
  virtual TimePoint Now() const = 0;
  /** @brief Returns the calendar time. */
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
