#ifndef BENCH_FLOOD_EVENT_QUEUE_H_
#define BENCH_FLOOD_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "crocusmast/core/clock.h"

namespace bench::flood {

/** @brief A discrete-event queue with a virtual clock. */
class EventQueue final : public crocusmast::core::Clock {
 public:
  /** @brief The action of an event. */
  using Action = std::function<void()>;

  crocusmast::core::TimePoint Now() const override { return m_now; }
  crocusmast::core::WallTime WallNow() const override {
    return crocusmast::core::WallTime(
        std::chrono::duration_cast<crocusmast::core::WallTime::duration>(
            m_now.time_since_epoch()));
  }

  /**
   * @brief Schedules an event.
   * @param delay The time from now.
   * @param action The action to run.
   */
  void Schedule(crocusmast::core::Duration delay, Action action) {
    m_queue.push(ScheduledEvent{m_now + delay, m_count++, std::move(action)});
  }

  /**
   * @brief Runs all events up to a time, and sets the clock to it.
   * @param end The time.
   */
  void RunUntil(crocusmast::core::TimePoint end) {
    while (!m_queue.empty() && m_queue.top().at <= end) {
      const ScheduledEvent event = m_queue.top();
      m_queue.pop();
      m_now = event.at;
      event.action();
    }
    m_now = end;
  }

 private:
  /** @brief An event; equal times run in the order of the sequence numbers. */
  struct ScheduledEvent {
    crocusmast::core::TimePoint at;
    std::uint64_t sequence;
    Action action;

    friend bool operator<(const ScheduledEvent& left,
                          const ScheduledEvent& right) {
      return std::pair(left.at, left.sequence) >
             std::pair(right.at, right.sequence);
    }
  };

  crocusmast::core::TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_count = 0;
  std::priority_queue<ScheduledEvent> m_queue;
};

}  // namespace bench::flood

#endif  // BENCH_FLOOD_EVENT_QUEUE_H_
