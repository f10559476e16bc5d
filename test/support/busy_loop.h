#ifndef TEST_SUPPORT_BUSY_LOOP_H_
#define TEST_SUPPORT_BUSY_LOOP_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdint>
#include <thread>

#include "crocusmast/adapters/async/io_thread.h"

namespace test {

/**
 * @brief Occupies an event loop: each turn of the loop takes a fixed time, as
 * if the handlers of other connections ran in it.
 */
class BusyLoop {
 public:
  /**
   * @brief Starts to occupy the loop; must outlive the I/O thread's run.
   * @param io The I/O thread whose loop is occupied.
   * @param turn The time that one turn takes.
   */
  BusyLoop(crocusmast::adapters::async::IoThread& io,
           std::chrono::milliseconds turn)
      : m_context(io.Context()), m_turn(turn) {
    Schedule();
  }

  BusyLoop(const BusyLoop&) = delete;
  BusyLoop& operator=(const BusyLoop&) = delete;

  /** @brief Returns the number of turns so far. */
  std::int64_t Turns() const { return m_turns; }

 private:
  void Schedule() {
    boost::asio::post(m_context, [this] {
      std::this_thread::sleep_for(m_turn);
      ++m_turns;
      Schedule();
    });
  }

  boost::asio::io_context& m_context;
  const std::chrono::milliseconds m_turn;
  std::atomic<std::int64_t> m_turns{0};
};

}  // namespace test

#endif  // TEST_SUPPORT_BUSY_LOOP_H_
