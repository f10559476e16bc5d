#ifndef CROCUSMAST_ADAPTERS_ASYNC_IO_DUTY_H_
#define CROCUSMAST_ADAPTERS_ASYNC_IO_DUTY_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "crocusmast/core/clock.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace crocusmast::adapters::async {

/** @brief The thread that does all input and output, fed by a bounded ring. */
class IoDuty {
 public:
  /** @brief Something to do on the thread. */
  using Task = std::function<void()>;

  /**
   * @brief Makes a duty that is not started.
   * @param capacity How many tasks may wait.
   */
  static std::unique_ptr<IoDuty> Create(std::size_t capacity);

  ~IoDuty();

  /** @brief Starts the thread. */
  void Start();

  /** @brief Ends the thread; what waits is dropped. */
  void Stop();

  /**
   * @brief Has a task done on the thread.
   * @param task The task.
   * @return False if too many wait; the drop is counted.
   */
  bool Post(Task task);

  /**
   * @brief Has a task done on the thread after a pause; called on the thread.
   * @param pause The pause.
   * @param task The task.
   */
  void After(core::Duration pause, Task task);

  /** @brief Returns how many tasks were dropped. */
  std::uint64_t Drops() const;

  /** @brief Returns the context that the thread runs. */
  boost::asio::io_context& Context();

 private:
  struct State;

  explicit IoDuty(std::size_t capacity);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_IO_DUTY_H_
