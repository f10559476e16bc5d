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

/**
 * @brief A FIFO queue of fixed capacity between threads.
 *
 * Threads wait on condition variables, always with a time limit. A closed ring
 * refuses further messages and still delivers those that it holds.
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
   */
  explicit BoundedRing(std::size_t capacity, const Clock* clock = nullptr)
      : m_slots(capacity > 0 ? capacity : 1), m_clock(clock) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /**
   * @brief Adds a message unless the ring is full.
   * @param message The message; unchanged if it is refused.
   * @return False if the ring is full or closed; the drop is counted.
   */
  bool TryPush(T&& message) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_closed || m_depth == m_slots.size()) {
        ++m_drops;
        return false;
      }
      Put(std::move(message));
    }
    m_not_empty.notify_one();
    return true;
  }

  /**
   * @brief Adds a message; waits for a free slot.
   * @param message The message; unchanged if it is refused.
   * @param wait Maximum time to wait.
   * @return False if the ring stayed full or is closed; the drop is counted.
   */
  bool PushFor(T&& message, Duration wait) {
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_not_full.wait_for(
          lock, wait, [this] { return m_closed || m_depth < m_slots.size(); });
      if (m_closed || m_depth == m_slots.size()) {
        ++m_drops;
        return false;
      }
      Put(std::move(message));
    }
    m_not_empty.notify_one();
    return true;
  }

  /**
   * @brief Removes the oldest message; waits for one.
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
                             [this] { return m_closed || m_depth > 0; });
      }
      if (m_depth == 0) {
        return std::nullopt;
      }
      Slot& slot = m_slots[m_head];
      popped.emplace();
      popped->message = std::move(slot.message);
      popped->depth = m_depth - 1;
      popped->drops = m_drops;
      slot.message = T();
      pushed_at = slot.pushed_at;
      m_head = (m_head + 1) % m_slots.size();
      --m_depth;
    }
    m_not_full.notify_one();
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
    return m_depth;
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

  void Put(T&& message) {
    Slot& slot = m_slots[(m_head + m_depth) % m_slots.size()];
    slot.message = std::move(message);
    if (m_clock != nullptr) {
      slot.pushed_at = m_clock->Now();
    }
    ++m_depth;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_not_empty;
  std::condition_variable m_not_full;
  std::vector<Slot> m_slots;
  const Clock* const m_clock;
  std::size_t m_head = 0;
  std::size_t m_depth = 0;
  std::uint64_t m_drops = 0;
  bool m_closed = false;
  bool m_has_loss = false;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_BOUNDED_RING_H_
