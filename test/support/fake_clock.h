#ifndef TEST_SUPPORT_FAKE_CLOCK_H_
#define TEST_SUPPORT_FAKE_CLOCK_H_

#include "crocusmast/core/clock.h"

namespace test {

/** @brief A clock whose time is set by the test. */
class FakeClock final : public crocusmast::core::Clock {
 public:
  crocusmast::core::TimePoint Now() const override { return m_now; }
  crocusmast::core::WallTime WallNow() const override {
    return crocusmast::core::WallTime(
        std::chrono::duration_cast<crocusmast::core::WallTime::duration>(
            m_now.time_since_epoch()));
  }

  /**
   * @brief Advances the clock.
   * @param step The time to advance by.
   */
  void Advance(crocusmast::core::Duration step) { m_now += step; }

 private:
  crocusmast::core::TimePoint m_now{std::chrono::hours(1)};
};

}  // namespace test

#endif  // TEST_SUPPORT_FAKE_CLOCK_H_
