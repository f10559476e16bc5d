#ifndef CROCUSMAST_ADAPTERS_ASYNC_IO_THREAD_H_
#define CROCUSMAST_ADAPTERS_ASYNC_IO_THREAD_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace crocusmast::adapters::async {

/** @brief Receives what a thread measures of itself; all outlive it. */
struct IoThreadMonitor {
  const core::Clock& clock;
  core::Meter& meter;
  core::Logger& logger;
};

/**
 * @brief Thread that performs all network I/O and runs tasks from a bounded
 * ring.
 */
class IoThread {
 public:
  /** @brief Function to run on the thread. */
  using Task = std::function<void()>;

  /**
   * @brief Creates the thread object without starting the thread.
   * @param capacity Maximum number of queued tasks.
   */
  static std::unique_ptr<IoThread> Create(std::size_t capacity);

  /**
   * @brief Like Create above; the thread also measures how long tasks wait in
   * the ring and how late its timers run, and reports dropped tasks.
   * @param capacity Maximum number of queued tasks.
   * @param monitor Receives the measurements.
   */
  static std::unique_ptr<IoThread> Create(std::size_t capacity,
                                          const IoThreadMonitor& monitor);

  ~IoThread();

  /** @brief Starts the thread. */
  void Start();

  /** @brief Stops and joins the thread; queued tasks are discarded. */
  void Stop();

  /**
   * @brief Queues a task to run on the thread.
   * @param task The task.
   * @return False if the task was dropped because the ring is full or closed.
   */
  bool Post(Task task);

  /**
   * @brief Runs a task after a delay; must be called on the thread.
   * @param delay The delay.
   * @param task The task.
   */
  void RunAfter(core::Duration delay, Task task);

  /** @brief Returns the number of tasks that were dropped by Post. */
  std::uint64_t Drops() const;

  /** @brief Returns the number of queued tasks. */
  std::size_t Depth() const;

  /** @brief Returns the I/O context that the thread runs. */
  boost::asio::io_context& Context();

 private:
  struct State;

  IoThread(std::size_t capacity, const IoThreadMonitor* monitor);

  void MeasureLag();

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_IO_THREAD_H_
