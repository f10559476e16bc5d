#include "crocusmast/adapters/http_server.h"

#include <pthread.h>
#include <sys/socket.h>

#include <functional>
#include <utility>
#include <vector>

#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::adapters::internal {
namespace {

using ConnectionTask = std::function<void()>;

constexpr std::size_t kMaxRequestsPerConnection = 1000000;
// Short for two reasons: the library wakes the thread of an idle connection
// every 10 ms, and an overflow thread stays occupied until its connection
// closes.
constexpr std::chrono::seconds kKeepAliveTimeout{1};
constexpr std::chrono::seconds kClientTimeout{10};
constexpr std::chrono::milliseconds kIdlePollInterval{1000};
constexpr std::size_t kOverflowThreads = 8;
constexpr std::size_t kOverflowQueueCapacity = 128;
constexpr std::chrono::milliseconds kStartPollInterval{1};
// Connections are kept alive while at most this share of the threads is busy.
constexpr double kKeepAliveMaxBusyShare = 0.75;

thread_local bool t_is_overflow = false;
thread_local const std::atomic<std::size_t>* t_busy_threads = nullptr;
thread_local std::size_t t_thread_limit = 0;

/**
 * @brief Serves connections on a fixed number of threads.
 *
 * When all threads are busy, a new connection goes to a few overflow threads
 * that only refuse requests. When their queue is full, accepting blocks.
 */
class BoundedTaskQueue final : public httplib::TaskQueue {
 public:
  explicit BoundedTaskQueue(std::size_t threads)
      : m_thread_limit(threads),
        m_tasks(threads),
        m_overflow_tasks(kOverflowQueueCapacity) {
    for (std::size_t index = 0; index < threads; ++index) {
      m_threads.emplace_back([this] { Serve(m_tasks, false); });
    }
    for (std::size_t index = 0; index < kOverflowThreads; ++index) {
      m_threads.emplace_back([this] { Serve(m_overflow_tasks, true); });
    }
  }

  void enqueue(ConnectionTask task) override {
    // A queued task counts as a busy thread, too, so that the ring, with one
    // slot per thread, always has room and a free thread takes the task.
    if (m_busy_threads.fetch_add(1) < m_thread_limit) {
      m_tasks.PushFor(std::move(task), kClientTimeout);
      return;
    }
    m_busy_threads.fetch_sub(1);
    m_overflow_tasks.PushFor(std::move(task), kClientTimeout);
  }

  void shutdown() override {
    m_tasks.Close();
    m_overflow_tasks.Close();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

 private:
  void Serve(core::BoundedRing<ConnectionTask>& tasks, bool is_overflow) {
    pthread_setname_np(pthread_self(), is_overflow ? "http-refuse" : "http");
    t_is_overflow = is_overflow;
    t_busy_threads = &m_busy_threads;
    t_thread_limit = m_thread_limit;
    while (true) {
      std::optional<ConnectionTask> task = tasks.PopFor(kIdlePollInterval);
      if (task) {
        (*task)();
        m_busy_threads.fetch_sub(is_overflow ? 0 : 1);
      } else if (tasks.IsClosed()) {
        return;
      }
    }
  }

  const std::size_t m_thread_limit;
  std::atomic<std::size_t> m_busy_threads{0};
  core::BoundedRing<ConnectionTask> m_tasks;
  core::BoundedRing<ConnectionTask> m_overflow_tasks;
  std::vector<std::thread> m_threads;
};

// Leaves SO_REUSEPORT unset, so that binding a port in use fails.
void SetSocketOptions(socket_t socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

}  // namespace

bool IsOverflowThread() {
  return t_is_overflow;
}

bool IsNearThreadLimit() {
  return t_busy_threads != nullptr &&
         static_cast<double>(*t_busy_threads) >
             kKeepAliveMaxBusyShare * static_cast<double>(t_thread_limit);
}

HttpServer::HttpServer(HttpServerLimits limits) {
  m_server.new_task_queue = [threads = limits.threads] {
    return new BoundedTaskQueue(threads);
  };
  m_server.set_payload_max_length(limits.body_bytes);
  m_server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  m_server.set_keep_alive_timeout(kKeepAliveTimeout.count());
  m_server.set_read_timeout(kClientTimeout);
  m_server.set_write_timeout(kClientTimeout);
  m_server.set_tcp_nodelay(true);
  m_server.set_socket_options(SetSocketOptions);
}

HttpServer::~HttpServer() {
  Stop();
}

core::Result<void> HttpServer::Start(const fleet::Endpoint& address) {
  if (!m_server.bind_to_port(address.host, address.port)) {
    return core::Fail(core::Operation::kListen,
                      address.host + ":" + std::to_string(address.port),
                      "the address is in use or not available on this host");
  }
  m_thread = std::thread([this] { m_server.listen_after_bind(); });
  pthread_setname_np(m_thread.native_handle(), "http-accept");
  // The library ignores stop() until the server is running. The wait for the
  // ring, which stays empty, is the pause between two checks.
  core::BoundedRing<ConnectionTask> never_filled(1);
  while (!m_server.is_running()) {
    never_filled.PopFor(kStartPollInterval);
  }
  return {};
}

void HttpServer::Stop() {
  if (m_thread.joinable()) {
    m_server.stop();
    m_thread.join();
  }
}

}  // namespace crocusmast::adapters::internal
