#ifndef CROCUSMAST_CORE_MESSAGE_THREAD_POOL_H_
#define CROCUSMAST_CORE_MESSAGE_THREAD_POOL_H_

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::core {

/**
 * @brief A pool of threads that handle messages from one bounded ring.
 * @tparam Message Type of the messages.
 */
template <typename Message>
class MessageThreadPool {
 public:
  /** @brief Handles a message; called concurrently by all threads. */
  using Handler = std::function<void(Message&&)>;

  /**
   * @brief Creates the ring; the threads are not started.
   * @param name Name of the threads; the system shows the first 15 characters.
   * @param capacity Capacity of the ring.
   */
  MessageThreadPool(std::string name, std::size_t capacity)
      : m_name(std::move(name)), m_ring(capacity) {}

  ~MessageThreadPool() { Stop(); }

  /**
   * @brief Starts the threads.
   * @param threads Number of threads.
   * @param handler Called for each message, by all threads concurrently.
   */
  void Start(std::size_t threads, Handler handler) {
    m_handler = std::move(handler);
    for (std::size_t index = 0; index < threads; ++index) {
      m_threads.emplace_back([this] { Run(); });
      pthread_setname_np(m_threads.back().native_handle(),
                         m_name.substr(0, 15).c_str());
    }
  }

  /** @brief Closes the ring, handles remaining messages, joins the threads.
   */
  void Stop() {
    m_ring.Close();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  /** @brief Returns the ring from which the threads read. */
  BoundedRing<Message>& Ring() { return m_ring; }

 private:
  void Run() {
    constexpr std::chrono::seconds kPopTimeout{60};
    while (true) {
      std::optional<Message> message = m_ring.PopFor(kPopTimeout);
      if (message) {
        m_handler(std::move(*message));
      } else if (m_ring.IsClosed()) {
        return;
      }
    }
  }

  const std::string m_name;
  BoundedRing<Message> m_ring;
  Handler m_handler;
  std::vector<std::thread> m_threads;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_MESSAGE_THREAD_POOL_H_
