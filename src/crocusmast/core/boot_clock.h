#ifndef CROCUSMAST_CORE_BOOT_CLOCK_H_
#define CROCUSMAST_CORE_BOOT_CLOCK_H_

#include <time.h>

#include "crocusmast/core/clock.h"

namespace crocusmast::core {

/** @brief Monotonic clock that also advances while the machine is suspended. */
class BootClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
  }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_BOOT_CLOCK_H_
