#include "standin/platform.h"

#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace standin {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kConflict = 409;

/** @brief The instances and the actions applied to them. */
class Platform {
 public:
  explicit Platform(const PlatformSettings& settings) : m_settings(settings) {
    std::ifstream stream(settings.members_file);
    for (const json& record : json::parse(stream)) {
      m_instances[record["id"]] = record;
    }
  }

  void AddRoutes(httplib::Server& server);

 private:
  using Action = void (Platform::*)(json& record,
                                    const httplib::Request& request,
                                    httplib::Response& response);

  void RunAction(Action action,
                 const httplib::Request& request,
                 httplib::Response& response);
  void Drain(json& record,
             const httplib::Request& request,
             httplib::Response& response);
  void Reboot(json& record,
              const httplib::Request& request,
              httplib::Response& response);
  void Move(json& record,
            const httplib::Request& request,
            httplib::Response& response);
  void NotifyTarget(const json& record, const std::string& query);
  void NotifyMembership(const json& record, const json& change);

  const PlatformSettings m_settings;
  std::mutex m_mutex;
  std::map<std::string, json> m_instances;
  std::vector<json> m_actions;
};

void Platform::RunAction(Action action,
                         const httplib::Request& request,
                         httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto instance = m_instances.find(request.matches[1]);
  if (instance == m_instances.end()) {
    response.status = kNotFound;
    return;
  }
  const long current_incarnation = instance->second["incarnation"].get<long>();
  if (IntegerParameter(request, "incarnation", current_incarnation) !=
      current_incarnation) {
    response.status = kConflict;
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  m_actions.push_back(json{{"at_ms", now.count()},
                           {"path", request.path},
                           {"pool", request.get_param_value("pool")}});
  (this->*action)(instance->second, request, response);
}

void Platform::NotifyTarget(const json& record, const std::string& query) {
  httplib::Client client(record["host"].get<std::string>(),
                         record["port"].get<int>());
  client.Put("/control?" + query, "", "text/plain");
}

void Platform::NotifyMembership(const json& record, const json& change) {
  httplib::Client client("http://" + m_settings.membership);
  client.Put("/members/" + record["id"].get<std::string>(), change.dump(),
             "application/json");
}

void Platform::Drain(json& record,
                     const httplib::Request& request,
                     httplib::Response& response) {
  record["state"] = "leaving";
  NotifyTarget(record, "leave=1");
  NotifyMembership(record, json{{"state", "leaving"}});
}

void Platform::Reboot(json& record,
                      const httplib::Request& request,
                      httplib::Response& response) {
  if (record["state"] != "leaving") {
    response.status = kConflict;
    return;
  }
  const long incarnation = record["incarnation"].get<long>() + 1;
  record["incarnation"] = incarnation;
  record["state"] = "live";
  NotifyTarget(record, "refuse=1&reboot=1");
  std::thread([this, record, incarnation] {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(m_settings.reboot_ms));
    NotifyTarget(record, "refuse=0&leave=0");
    NotifyMembership(record,
                     json{{"state", "live"}, {"incarnation", incarnation}});
  }).detach();
}

void Platform::Move(json& record,
                    const httplib::Request& request,
                    httplib::Response& response) {
  if (record["state"] != "leaving") {
    response.status = kConflict;
    return;
  }
  const long incarnation = record["incarnation"].get<long>() + 1;
  record["incarnation"] = incarnation;
  record["state"] = "live";
  record["pool"] = request.get_param_value("pool");
  NotifyTarget(record, "leave=0");
  NotifyMembership(record, json{{"state", "live"},
                                {"pool", record["pool"]},
                                {"incarnation", incarnation}});
}

void Platform::AddRoutes(httplib::Server& server) {
  using httplib::Request;
  using httplib::Response;
  server.Put("/drain/(.+)", [this](const Request& request, Response& response) {
    RunAction(&Platform::Drain, request, response);
  });
  server.Put("/reboot/(.+)",
             [this](const Request& request, Response& response) {
               RunAction(&Platform::Reboot, request, response);
             });
  server.Put("/move/(.+)", [this](const Request& request, Response& response) {
    RunAction(&Platform::Move, request, response);
  });
  server.Get("/instances", [this](const Request&, Response& response) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    response.set_content(json(m_instances).dump(), "application/json");
  });
  server.Get("/actions", [this](const Request&, Response& response) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    response.set_content(json(m_actions).dump(), "application/json");
  });
}

}  // namespace

void RunPlatform(const PlatformSettings& settings) {
  Platform platform(settings);
  httplib::Server server;
  platform.AddRoutes(server);
  Serve(server, settings.listen);
}

}  // namespace standin
