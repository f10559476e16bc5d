#ifndef CROCUSMAST_CORE_BOUNDED_RING_H_
#define CROCUSMAST_CORE_BOUNDED_RING_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "crocusmast/core/clock.h"

namespace crocusmast::core {

/**
 * @brief A message that was taken from a ring, with the state of the ring.
 * @tparam T Type of the message.
 */
template <typename T>
struct PoppedMessage {
  T message{};
  /** @brief Time that the message was in the ring; 0 if it isn't measured. */
  Duration waited{};
  /** @brief Number of messages that were left in the ring. */
  std::size_t depth = 0;
  /** @brief Number of messages that the ring has refused so far. */
  std::uint64_t drops = 0;
};

/** @brief Order in which a ring delivers messages. */
enum class Priority {
  kNormal,
  /** @brief Before all normal messages; in order among themselves. */
  kUrgent,
};

/**
 * @brief A FIFO queue of fixed capacity between threads.
 *
 * Threads wait on condition variables, always with a time limit. A closed ring
 * refuses further messages and still delivers those that it holds. Urgent
 * messages have slots of their own, so that a flood of normal ones neither
 * delays nor displaces them.
 *
 * @tparam T Type of the messages; movable and default constructible.
 */
template <typename T>
class BoundedRing {
 public:
  /**
   * @brief Creates an empty ring.
   * @param capacity Maximum number of messages; at least one.
   * @param clock Measures how long messages wait, outlives the ring; null to
   * measure nothing.
   * @param urgent_capacity Maximum number of urgent messages beside the others;
   * if it is zero, urgent messages are treated like normal ones.
   */
  explicit BoundedRing(std::size_t capacity,
                       const Clock* clock = nullptr,
                       std::size_t urgent_capacity = 0)
      : m_normal(capacity > 0 ? capacity : 1),
        m_urgent(urgent_capacity),
        m_clock(clock) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /**
   * @brief Adds a message unless the ring is full.
   * @param message The message; unchanged if it is refused.
   * @param priority Whether the message overtakes others.
   * @return False if the ring is full or closed; the drop is counted.
   */
  bool TryPush(T&& message, Priority priority = Priority::kNormal) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      Lane& lane = LaneOf(priority);
      if (m_closed || lane.IsFull()) {
        ++m_drops;
        return false;
      }
      Put(lane, std::move(message));
    }
    m_not_empty.notify_one();
    return true;
  }

  /**
   * @brief Adds a message; waits for a free slot.
   * @param message The message; unchanged if it is refused.
   * @param wait Maximum time to wait.
   * @param priority Whether the message overtakes others.
   * @return False if the ring stayed full or is closed; the drop is counted.
   */
  bool PushFor(T&& message,
               Duration wait,
               Priority priority = Priority::kNormal) {
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      Lane& lane = LaneOf(priority);
      m_not_full.wait_for(lock, wait,
                          [this, &lane] { return m_closed || !lane.IsFull(); });
      if (m_closed || lane.IsFull()) {
        ++m_drops;
        return false;
      }
      Put(lane, std::move(message));
    }
    m_not_empty.notify_one();
    return true;
  }

  /**
   * @brief Removes the next message; waits for one.
   * @param wait Maximum time to wait.
   * @return The message; empty on a timeout or if the ring is closed and empty.
   */
  std::optional<T> PopFor(Duration wait) {
    std::optional<PoppedMessage<T>> popped = PopWithWait(wait);
    return popped ? std::optional<T>(std::move(popped->message)) : std::nullopt;
  }

  /**
   * @brief Like PopFor; also tells how long the message waited.
   * @param wait Maximum time to wait.
   */
  std::optional<PoppedMessage<T>> PopWithWait(Duration wait) {
    std::optional<PoppedMessage<T>> popped;
    TimePoint pushed_at;
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      if (wait > Duration::zero()) {
        m_not_empty.wait_for(lock, wait,
                             [this] { return m_closed || TotalDepth() > 0; });
      }
      if (TotalDepth() == 0) {
        return std::nullopt;
      }
      Lane& lane = m_urgent.depth > 0 ? m_urgent : m_normal;
      Slot& slot = lane.slots[lane.head];
      popped.emplace();
      popped->message = std::move(slot.message);
      popped->depth = TotalDepth() - 1;
      popped->drops = m_drops;
      slot.message = T();
      pushed_at = slot.pushed_at;
      lane.head = (lane.head + 1) % lane.slots.size();
      --lane.depth;
    }
    // Threads may wait for a slot of either kind.
    m_not_full.notify_all();
    if (m_clock != nullptr) {
      popped->waited = m_clock->Now() - pushed_at;
    }
    return popped;
  }

  /** @brief Refuses further messages and wakes every waiting thread. */
  void Close() {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_closed = true;
    }
    m_not_empty.notify_all();
    m_not_full.notify_all();
  }

  /** @brief Tells whether Close was called. */
  bool IsClosed() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_closed;
  }

  /**
   * @brief Reports that a message for the receiver was lost and will not be
   * sent again.
   */
  void ReportLoss() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_has_loss = true;
  }

  /** @brief Tells whether a loss was reported that the receiver has not taken.
   */
  bool HasLoss() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_has_loss;
  }

  /** @brief Returns whether a loss was reported since the last call. */
  bool TakeLoss() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::exchange(m_has_loss, false);
  }

  /** @brief Returns the number of messages in the ring. */
  std::size_t Depth() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return TotalDepth();
  }

  /** @brief Returns the number of messages that were refused. */
  std::uint64_t Drops() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_drops;
  }

 private:
  struct Slot {
    T message{};
    TimePoint pushed_at;
  };

  /** @brief Messages of one priority, in order. */
  struct Lane {
    explicit Lane(std::size_t capacity) : slots(capacity) {}

    bool IsFull() const { return depth == slots.size(); }

    std::vector<Slot> slots;
    std::size_t head = 0;
    std::size_t depth = 0;
  };

  Lane& LaneOf(Priority priority) {
    const bool is_urgent =
        priority == Priority::kUrgent && !m_urgent.slots.empty();
    return is_urgent ? m_urgent : m_normal;
  }

  std::size_t TotalDepth() const { return m_normal.depth + m_urgent.depth; }

  void Put(Lane& lane, T&& message) {
    Slot& slot = lane.slots[(lane.head + lane.depth) % lane.slots.size()];
    slot.message = std::move(message);
    if (m_clock != nullptr) {
      slot.pushed_at = m_clock->Now();
    }
    ++lane.depth;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_not_empty;
  std::condition_variable m_not_full;
  Lane m_normal;
  Lane m_urgent;
  const Clock* const m_clock;
  std::uint64_t m_drops = 0;
  bool m_closed = false;
  bool m_has_loss = false;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_BOUNDED_RING_H_
