#include "crocusmast/adapters/http_server.h"

#include <pthread.h>
#include <sys/socket.h>

#include <functional>
#include <utility>
#include <vector>

#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::adapters::internal {
namespace {

using Job = std::function<void()>;

constexpr std::size_t kRequestsPerConnection = 1000000;
// The library wakes each thread of an idle connection every 10 ms, and a
// thread that refuses is taken until its connection closes; so this is short.
constexpr std::chrono::seconds kIdleConnection{1};
constexpr std::chrono::seconds kSlowClient{10};
constexpr std::chrono::milliseconds kIdleThread{1000};
constexpr std::size_t kOverflowThreads = 8;
constexpr std::size_t kOverflowQueue = 128;
constexpr std::chrono::milliseconds kStartPause{1};
// Connections are kept while fewer than this share of the threads is taken.
constexpr double kCrowdedShare = 0.75;

thread_local bool t_is_overflow = false;
thread_local const std::atomic<std::size_t>* t_busy = nullptr;
thread_local std::size_t t_limit = 0;

/**
 * @brief Serves connections on a fixed number of threads.
 *
 * A connection that finds all threads busy goes to a few threads that only
 * refuse. If these are busy too, accepting waits.
 */
class BoundedTaskQueue final : public httplib::TaskQueue {
 public:
  explicit BoundedTaskQueue(std::size_t threads)
      : m_limit(threads), m_jobs(threads), m_overflow(kOverflowQueue) {
    for (std::size_t index = 0; index < threads; ++index) {
      m_threads.emplace_back([this] { Serve(m_jobs, false); });
    }
    for (std::size_t index = 0; index < kOverflowThreads; ++index) {
      m_threads.emplace_back([this] { Serve(m_overflow, true); });
    }
  }

  void enqueue(Job job) override {
    // There are as many places as threads, so one that is free takes the job.
    if (m_busy.fetch_add(1) < m_limit) {
      m_jobs.PushFor(std::move(job), kSlowClient);
      return;
    }
    m_busy.fetch_sub(1);
    m_overflow.PushFor(std::move(job), kSlowClient);
  }

  void shutdown() override {
    m_jobs.Close();
    m_overflow.Close();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

 private:
  void Serve(core::BoundedRing<Job>& jobs, bool is_overflow) {
    pthread_setname_np(pthread_self(), is_overflow ? "http-refuse" : "http");
    t_is_overflow = is_overflow;
    t_busy = &m_busy;
    t_limit = m_limit;
    while (true) {
      std::optional<Job> job = jobs.PopFor(kIdleThread);
      if (job) {
        (*job)();
        m_busy.fetch_sub(is_overflow ? 0 : 1);
      } else if (jobs.IsClosed()) {
        return;
      }
    }
  }

  const std::size_t m_limit;
  std::atomic<std::size_t> m_busy{0};
  core::BoundedRing<Job> m_jobs;
  core::BoundedRing<Job> m_overflow;
  std::vector<std::thread> m_threads;
};

// Without SO_REUSEPORT, so that a port in use is an error.
void SetSocketOptions(socket_t socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

}  // namespace

bool IsOverflowThread() {
  return t_is_overflow;
}

bool IsCrowdedThread() {
  return t_busy != nullptr && static_cast<double>(*t_busy) >
                                  kCrowdedShare * static_cast<double>(t_limit);
}

HttpServer::HttpServer(HttpServerLimits limits) {
  m_server.new_task_queue = [threads = limits.threads] {
    return new BoundedTaskQueue(threads);
  };
  m_server.set_payload_max_length(limits.body_bytes);
  m_server.set_keep_alive_max_count(kRequestsPerConnection);
  m_server.set_keep_alive_timeout(kIdleConnection.count());
  m_server.set_read_timeout(kSlowClient);
  m_server.set_write_timeout(kSlowClient);
  m_server.set_tcp_nodelay(true);
  m_server.set_socket_options(SetSocketOptions);
}

HttpServer::~HttpServer() {
  Stop();
}

core::Result<void> HttpServer::Start(const fleet::Endpoint& address) {
  if (!m_server.bind_to_port(address.host, address.port)) {
    return core::Fail(core::Step::kListen,
                      address.host + ":" + std::to_string(address.port),
                      "the address is in use or not ours");
  }
  m_thread = std::thread([this] { m_server.listen_after_bind(); });
  pthread_setname_np(m_thread.native_handle(), "http-accept");
  // The library ignores a stop before this.
  core::BoundedRing<Job> pause(1);
  while (!m_server.is_running()) {
    pause.PopFor(kStartPause);
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
