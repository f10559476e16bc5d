#ifndef TEST_PLATFORM_SCRIPTED_WORKER_H_
#define TEST_PLATFORM_SCRIPTED_WORKER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/adapters/async/http_server.h"

namespace test {

/** @brief A worker that speaks the platform's protocol and records the commands
 * that it gets; its runs end after a set time, or when they are stopped. */
class ScriptedWorker {
 public:
  /** @brief A command and when it arrived. */
  struct Command {
    std::string task;
    std::chrono::steady_clock::time_point at;
  };
  /** @brief Returns how long a task runs. */
  using RunTime =
      std::function<std::chrono::milliseconds(const std::string& task)>;

  /**
   * @brief Starts the worker.
   * @param io The I/O thread that serves it; must outlive it.
   * @param port The port on the loopback interface.
   * @param run_time How long each task runs.
   */
  ScriptedWorker(crocusmast::adapters::async::IoThread& io,
                 std::uint16_t port,
                 RunTime run_time)
      : m_io(io),
        m_port(port),
        m_run_time(std::move(run_time)),
        m_server(HttpServer::Create(
                     io,
                     {"127.0.0.1", port},
                     {},
                     [this](ExchangePtr exchange) { Handle(exchange); })
                     .value()) {}

  /**
   * @brief Returns the membership entry of the worker.
   * @param pool The pool of the worker.
   * @param processor The processor capacity, in thousandths of a core.
   */
  std::string MembershipEntry(const std::string& pool, int processor) const {
    return Json{{"service", pool},
                {"address", "127.0.0.1:" + std::to_string(m_port)},
                {"zone", "zone"},
                {"state", "ready"},
                {"seq", 1},
                {"capacity", {{"cpu", processor}, {"mem_mb", 100000}}},
                {"labels", {"kind", "rack-1"}},
                {"clock_ms", ClockMs()},
                {"born", 1}}
        .dump();
  }

  /** @brief Returns the number of start commands so far. */
  int StartCount() const { return m_start_count; }
  /** @brief Returns the start commands; the I/O thread must be stopped. */
  const std::vector<Command>& Starts() const { return m_starts; }
  /** @brief Returns the stop commands; the I/O thread must be stopped. */
  const std::vector<Command>& Stops() const { return m_stops; }

 private:
  using HttpServer = crocusmast::adapters::async::HttpServer;
  using HttpResponse = crocusmast::adapters::async::HttpResponse;
  using ExchangePtr =
      std::shared_ptr<crocusmast::adapters::async::HttpExchange>;
  using Json = nlohmann::json;
  /** @brief Task and attempt. */
  using RunKey = std::pair<std::string, std::uint64_t>;

  static std::int64_t ClockMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  static void Respond(const ExchangePtr& exchange, Json body) {
    body["clock_ms"] = ClockMs();
    HttpResponse response;
    response.body = body.dump();
    exchange->Respond(std::move(response));
  }

  void Handle(const ExchangePtr& exchange) {
    const Json body = Json::parse(exchange->Body());
    if (exchange->Path() == "/crocusmast/hold") {
      m_last_seen = std::max(m_last_seen, body.at("last_seen").get<int>());
      m_polls.push_back(exchange);
      m_io.RunAfter(std::chrono::milliseconds(body.value("wait_ms", 0)),
                    [this, exchange] { RespondToPoll(exchange); });
      RespondToPolls();
      return;
    }
    const RunKey run{body.at("task"), body.at("attempt")};
    if (exchange->Path() == "/crocusmast/run-start") {
      m_starts.push_back({run.first, std::chrono::steady_clock::now()});
      ++m_start_count;
      if (m_running.insert(run).second) {
        m_io.RunAfter(m_run_time(run.first), [this, run] { End(run, "done"); });
      }
    } else if (exchange->Path() == "/crocusmast/run-stop") {
      m_stops.push_back({run.first, std::chrono::steady_clock::now()});
      End(run, "stopped");
    }
    Respond(exchange, Json::object());
  }

  void End(const RunKey& run, const char* outcome) {
    if (m_running.erase(run) > 0) {
      ++m_ends;
      m_ended.push_back({m_ends, run.first, run.second, outcome, ""});
      RespondToPolls();
    }
  }

  /** @brief Responds to all polls if an end was not seen yet. */
  void RespondToPolls() {
    if (m_last_seen < m_ends) {
      const std::vector<ExchangePtr> polls = m_polls;
      for (const ExchangePtr& poll : polls) {
        RespondToPoll(poll);
      }
    }
  }

  void RespondToPoll(const ExchangePtr& exchange) {
    const auto found = std::find(m_polls.begin(), m_polls.end(), exchange);
    if (found == m_polls.end()) {
      return;
    }
    m_polls.erase(found);
    Json running = Json::array();
    for (const auto& [task, attempt] : m_running) {
      running.push_back({task, attempt, "", 50});
    }
    Json ended = Json::array();
    for (const Json& end : m_ended) {
      if (end.at(0).get<int>() > m_last_seen) {
        ended.push_back(end);
      }
    }
    Respond(exchange, {{"born", 1},
                       {"running", std::move(running)},
                       {"ended", std::move(ended)}});
  }

  crocusmast::adapters::async::IoThread& m_io;
  const std::uint16_t m_port;
  const RunTime m_run_time;
  std::set<RunKey> m_running;
  std::vector<Json> m_ended;
  std::vector<ExchangePtr> m_polls;
  int m_ends = 0;
  int m_last_seen = 0;
  std::vector<Command> m_starts;
  std::vector<Command> m_stops;
  std::atomic<int> m_start_count{0};
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace test

#endif  // TEST_PLATFORM_SCRIPTED_WORKER_H_
