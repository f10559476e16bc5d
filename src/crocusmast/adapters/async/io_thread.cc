#include "crocusmast/adapters/async/io_thread.h"

#include <pthread.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::adapters::async {

namespace internal {

/** @brief Interval at which the delay of timers and drops are checked. */
constexpr std::chrono::milliseconds kLagInterval{100};
/** @brief Minimum time between two log records about dropped tasks. */
constexpr std::chrono::seconds kDropLogInterval{1};

}  // namespace internal

/** @brief The I/O context, its thread and the task ring. */
struct IoThread::State {
  State(std::size_t capacity, const IoThreadMonitor* to)
      : context(1),
        ring(capacity, to == nullptr ? nullptr : &to->clock),
        lag_timer(context) {
    if (to != nullptr) {
      monitor.emplace(*to);
    }
  }

  void RunTasks() {
    is_scheduled.store(false);
    while (auto popped = ring.PopWithWait(core::Duration::zero())) {
      if (monitor) {
        monitor->meter.Observe(core::Timing::kNetworkRingWait, popped->waited);
      }
      popped->message();
    }
  }

  void ReportDrops(core::TimePoint now) {
    const std::uint64_t drops = ring.Drops();
    if (drops == reported_drops || now < next_drop_log_at) {
      return;
    }
    next_drop_log_at = now + internal::kDropLogInterval;
    monitor->logger.Write({core::Component::kHttp,
                           core::Severity::kWarning,
                           "The ring of the network thread was full: dropped " +
                               std::to_string(drops - reported_drops) +
                               " tasks.",
                           {{"event", "ring_dropped"},
                            {"duty", "network"},
                            {"drops", std::to_string(drops - reported_drops)},
                            {"depth", std::to_string(ring.Depth())}}});
    reported_drops = drops;
  }

  boost::asio::io_context context;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_guard;
  core::BoundedRing<Task> ring;
  std::atomic<bool> is_scheduled{false};
  std::optional<IoThreadMonitor> monitor;
  boost::asio::steady_timer lag_timer;
  std::uint64_t reported_drops = 0;
  core::TimePoint next_drop_log_at;
  std::thread thread;
};

std::unique_ptr<IoThread> IoThread::Create(std::size_t capacity) {
  return std::unique_ptr<IoThread>(new IoThread(capacity, nullptr));
}

std::unique_ptr<IoThread> IoThread::Create(std::size_t capacity,
                                           const IoThreadMonitor& monitor) {
  return std::unique_ptr<IoThread>(new IoThread(capacity, &monitor));
}

IoThread::IoThread(std::size_t capacity, const IoThreadMonitor* monitor)
    : m_state(std::make_unique<State>(capacity, monitor)) {}

IoThread::~IoThread() {
  Stop();
}

void IoThread::Start() {
  m_state->work_guard.emplace(m_state->context.get_executor());
  if (m_state->monitor) {
    MeasureLag();
  }
  m_state->thread = std::thread([this] { m_state->context.run(); });
  pthread_setname_np(m_state->thread.native_handle(), "network");
}

void IoThread::MeasureLag() {
  const IoThreadMonitor& monitor = *m_state->monitor;
  const core::TimePoint due_at = monitor.clock.Now() + internal::kLagInterval;
  m_state->lag_timer.expires_after(internal::kLagInterval);
  m_state->lag_timer.async_wait(
      [this, due_at, &monitor](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        const core::TimePoint now = monitor.clock.Now();
        monitor.meter.Observe(core::Timing::kEventLoopLag, now - due_at);
        m_state->ReportDrops(now);
        MeasureLag();
      });
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

std::size_t IoThread::Depth() const {
  return m_state->ring.Depth();
}

boost::asio::io_context& IoThread::Context() {
  return m_state->context;
}

}  // namespace crocusmast::adapters::async
