#include "standin/target.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <thread>
#include <vector>

namespace standin {
namespace {

using nlohmann::json;

constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kIncarnationChanged = 409;

double NowSeconds() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** @brief A target that listens on one port. */
class Target {
 public:
  explicit Target(const TargetSettings& settings) : m_settings(settings) {}

  void Start(int index);

 private:
  void Run(const httplib::Request& request, httplib::Response& response);
  bool BeginRun(const std::string& id, httplib::Response& response);
  void EndRun();
  void SimulateWork();
  void Control(const httplib::Request& request);
  void Report(const httplib::Request& request, httplib::Response& response);

  const TargetSettings m_settings;
  httplib::Server m_server;
  std::thread m_thread;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
  std::mt19937_64 m_random{1};
  int m_in_flight = 0;
  int m_max_in_flight = 0;
  long m_total = 0;
  /** @brief The number of requests that started while all slots were in use. */
  long m_over_slots = 0;
  long m_interrupted = 0;
  long m_incarnation = 1;
  double m_last_started_at = 0;
  double m_leaving_at = 0;
  bool m_is_failing = false;
  bool m_is_leaving = false;
  bool m_is_refusing = false;
  double m_slowdown = 1;
};

bool Target::BeginRun(const std::string& id, httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_is_leaving) {
    response.set_header("Target-Leaving", "1");
  }
  if (m_is_refusing) {
    response.status = kUnavailable;
    response.set_header("Target-Not-Run", "1");
    return false;
  }
  ++m_runs[id];
  ++m_total;
  ++m_in_flight;
  m_max_in_flight = std::max(m_max_in_flight, m_in_flight);
  m_over_slots += m_in_flight > m_settings.slots ? 1 : 0;
  m_last_started_at = NowSeconds();
  return true;
}

void Target::EndRun() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  --m_in_flight;
}

void Target::SimulateWork() {
  double milliseconds = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::exponential_distribution<double> distribution(1.0);
    milliseconds = m_is_failing ? 0
                                : distribution(m_random) *
                                      m_settings.service_ms * m_slowdown;
  }
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void Target::Run(const httplib::Request& request, httplib::Response& response) {
  const std::string id = request.get_header_value("Crocusmast-Request-Id");
  long incarnation = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    incarnation = m_incarnation;
  }
  if (!BeginRun(id, response)) {
    return;
  }
  if (m_settings.service_ms > 0) {
    SimulateWork();
  }
  EndRun();
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (incarnation != m_incarnation) {
    ++m_interrupted;
    response.status = kIncarnationChanged;
    return;
  }
  if (m_is_failing) {
    response.status = kServerError;
  }
  response.set_content(id + ":" + request.body, "application/octet-stream");
}

void Target::Control(const httplib::Request& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_is_failing = IntegerParameter(request, "fail", m_is_failing ? 1 : 0) != 0;
  m_is_refusing =
      IntegerParameter(request, "refuse", m_is_refusing ? 1 : 0) != 0;
  const bool is_leaving =
      IntegerParameter(request, "leave", m_is_leaving ? 1 : 0) != 0;
  if (is_leaving && !m_is_leaving) {
    m_leaving_at = NowSeconds();
  }
  m_is_leaving = is_leaving;
  m_slowdown =
      static_cast<double>(IntegerParameter(
          request, "slow_percent", static_cast<long>(m_slowdown * 100))) /
      100;
  if (IntegerParameter(request, "reboot", 0) != 0) {
    m_interrupted += m_in_flight;
    ++m_incarnation;
    m_is_leaving = false;
  }
}

void Target::Report(const httplib::Request& request,
                    httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  json report{{"total", m_total},
              {"in_flight", m_in_flight},
              {"most_in_flight", m_max_in_flight},
              {"over_slots", m_over_slots},
              {"cut", m_interrupted},
              {"incarnation", m_incarnation},
              {"last_new_at", m_last_started_at},
              {"leaving_at", m_leaving_at}};
  if (IntegerParameter(request, "runs", 0) != 0) {
    report["runs"] = m_runs;
  }
  response.set_content(report.dump(), "application/json");
}

void Target::Start(int index) {
  using httplib::Request;
  using httplib::Response;
  m_server.Post("/run", [this](const Request& request, Response& response) {
    Run(request, response);
  });
  m_server.Put("/control",
               [this](const Request& request, Response&) { Control(request); });
  m_server.Get("/record", [this](const Request& request, Response& response) {
    Report(request, response);
  });
  ConfigureServer(m_server, m_settings.first_listen.threads);
  const int port = m_settings.first_listen.port + index;
  if (!m_server.bind_to_port(m_settings.first_listen.host, port)) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

}  // namespace

void RunTargets(const TargetSettings& settings) {
  std::vector<std::unique_ptr<Target>> targets;
  for (int index = 0; index < settings.count; ++index) {
    targets.push_back(std::make_unique<Target>(settings));
    targets.back()->Start(index);
  }
  std::mutex mutex;
  std::condition_variable never_notified;
  std::unique_lock<std::mutex> lock(mutex);
  never_notified.wait(lock, [] { return false; });
}

}  // namespace standin
