#ifndef CROCUSMAST_CORE_WORKER_POOL_H_
#define CROCUSMAST_CORE_WORKER_POOL_H_

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
 * @brief Several threads of one duty that take messages from one ring.
 * @tparam Message The messages.
 */
template <typename Message>
class WorkerPool {
 public:
  /** @brief Handles a message; called by many threads at once. */
  using Work = std::function<void(Message&&)>;

  /**
   * @brief Makes a pool that is not started.
   * @param name The threads' name, at most 15 characters.
   * @param capacity The capacity of the ring.
   */
  WorkerPool(std::string name, std::size_t capacity)
      : m_name(std::move(name)), m_ring(capacity) {}

  ~WorkerPool() { Stop(); }

  /**
   * @brief Starts the threads.
   * @param threads How many.
   * @param work Handles each message.
   */
  void Start(std::size_t threads, Work work) {
    m_work = std::move(work);
    for (std::size_t index = 0; index < threads; ++index) {
      m_threads.emplace_back([this] { Run(); });
      pthread_setname_np(m_threads.back().native_handle(),
                         m_name.substr(0, 15).c_str());
    }
  }

  /** @brief Closes the ring, lets the threads finish it, joins them. */
  void Stop() {
    m_ring.Close();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  /** @brief Returns the ring that feeds the threads. */
  BoundedRing<Message>& Ring() { return m_ring; }

 private:
  void Run() {
    constexpr std::chrono::seconds kIdle{60};
    while (true) {
      std::optional<Message> message = m_ring.PopFor(kIdle);
      if (message) {
        m_work(std::move(*message));
      } else if (m_ring.IsClosed()) {
        return;
      }
    }
  }

  const std::string m_name;
  BoundedRing<Message> m_ring;
  Work m_work;
  std::vector<std::thread> m_threads;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_WORKER_POOL_H_
