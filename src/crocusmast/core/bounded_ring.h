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
   */
  explicit BoundedRing(std::size_t capacity)
      : m_slots(capacity > 0 ? capacity : 1) {}

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
    std::optional<T> message;
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      if (wait > Duration::zero()) {
        m_not_empty.wait_for(lock, wait,
                             [this] { return m_closed || m_depth > 0; });
      }
      if (m_depth == 0) {
        return std::nullopt;
      }
      message.emplace(std::move(m_slots[m_head]));
      m_slots[m_head] = T();
      m_head = (m_head + 1) % m_slots.size();
      --m_depth;
    }
    m_not_full.notify_one();
    return message;
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
  void Put(T&& message) {
    m_slots[(m_head + m_depth) % m_slots.size()] = std::move(message);
    ++m_depth;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_not_empty;
  std::condition_variable m_not_full;
  std::vector<T> m_slots;
  std::size_t m_head = 0;
  std::size_t m_depth = 0;
  std::uint64_t m_drops = 0;
  bool m_closed = false;
  bool m_has_loss = false;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_BOUNDED_RING_H_
