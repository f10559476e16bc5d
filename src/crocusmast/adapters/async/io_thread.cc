#include "crocusmast/adapters/async/io_thread.h"

#include <pthread.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::adapters::async {

/** @brief The I/O context, its thread and the task ring. */
struct IoThread::State {
  explicit State(std::size_t capacity) : context(1), ring(capacity) {}

  void RunTasks() {
    is_scheduled.store(false);
    while (std::optional<Task> task = ring.PopFor(core::Duration::zero())) {
      (*task)();
    }
  }

  boost::asio::io_context context;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_guard;
  core::BoundedRing<Task> ring;
  std::atomic<bool> is_scheduled{false};
  std::thread thread;
};

std::unique_ptr<IoThread> IoThread::Create(std::size_t capacity) {
  return std::unique_ptr<IoThread>(new IoThread(capacity));
}

IoThread::IoThread(std::size_t capacity)
    : m_state(std::make_unique<State>(capacity)) {}

IoThread::~IoThread() {
  Stop();
}

void IoThread::Start() {
  m_state->work_guard.emplace(m_state->context.get_executor());
  m_state->thread = std::thread([this] { m_state->context.run(); });
  pthread_setname_np(m_state->thread.native_handle(), "network");
}

void IoThread::Stop() {
  m_state->ring.Close();
  m_state->context.stop();
  if (m_state->thread.joinable()) {
    m_state->thread.join();
  }
}

bool IoThread::Post(Task task) {
  if (!m_state->ring.TryPush(std::move(task))) {
    return false;
  }
  if (!m_state->is_scheduled.exchange(true)) {
    boost::asio::post(m_state->context, [this] { m_state->RunTasks(); });
  }
  return true;
}

void IoThread::RunAfter(core::Duration delay, Task task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_state->context);
  timer->expires_after(delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& error) {
        if (!error) {
          task();
        }
      });
}

std::uint64_t IoThread::Drops() const {
  return m_state->ring.Drops();
}

boost::asio::io_context& IoThread::Context() {
  return m_state->context;
}

}  // namespace crocusmast::adapters::async
