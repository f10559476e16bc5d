#include "standin/membership.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

namespace standin {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr int kNotFound = 404;

/** @brief A change of one member; the record is null after a removal. */
struct ChangeEvent {
  Clock::time_point visible_at;
  std::string id;
  json record;
};

/** @brief The members and the log of their changes. */
class MemberRegistry {
 public:
  MemberRegistry(const std::string& members_file, long lag_ms)
      : m_lag_ms(lag_ms) {
    std::ifstream stream(members_file);
    for (const json& record : json::parse(stream)) {
      ApplyChange(record["id"], record, 0);
    }
  }

  void AddRoutes(httplib::Server& server);

 private:
  /** @brief Applies and logs a change; a null record marks a removal. */
  void ApplyChange(const std::string& id, const json& record, long lag_ms) {
    m_members[id] = record;
    m_change_log.push_back(ChangeEvent{
        Clock::now() + std::chrono::milliseconds(lag_ms), id, record});
  }

  void ReadChanges(const httplib::Request& request,
                   httplib::Response& response);
  void ChangeMember(const std::string& id,
                    const json& change,
                    httplib::Response& response);
  void RemoveMember(const std::string& id);

  const long m_lag_ms;
  std::mutex m_mutex;
  std::map<std::string, json> m_members;
  std::vector<ChangeEvent> m_change_log;
};

void MemberRegistry::ReadChanges(const httplib::Request& request,
                                 httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto after = static_cast<std::size_t>(
      std::max(0L, IntegerParameter(request, "after", 0)));
  std::map<std::string, json> changed;
  std::size_t version = std::min(after, m_change_log.size());
  const Clock::time_point now = Clock::now();
  while (version < m_change_log.size() &&
         m_change_log[version].visible_at <= now) {
    changed[m_change_log[version].id] = m_change_log[version].record;
    ++version;
  }
  json update{{"version", version},
              {"whole", after == 0 ? 1 : 0},
              {"changed", json::array()},
              {"removed", json::array()}};
  for (const auto& [id, record] : changed) {
    if (record.is_null()) {
      update["removed"].push_back(id);
    } else {
      update["changed"].push_back(record);
    }
  }
  response.set_content(update.dump(), "application/json");
}

void MemberRegistry::ChangeMember(const std::string& id,
                                  const json& change,
                                  httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  json record = m_members.count(id) > 0 ? m_members[id] : json();
  if (record.is_null() && !change.contains("host")) {
    response.status = kNotFound;
    return;
  }
  record.merge_patch(change);
  ApplyChange(id, record, m_lag_ms);
}

void MemberRegistry::RemoveMember(const std::string& id) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ApplyChange(id, json(), m_lag_ms);
}

void MemberRegistry::AddRoutes(httplib::Server& server) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/members", [this](const Request& request, Response& response) {
    ReadChanges(request, response);
  });
  server.Put(
      "/members/(.+)", [this](const Request& request, Response& response) {
        ChangeMember(request.matches[1], json::parse(request.body), response);
      });
  server.Put("/leave/(.+)", [this](const Request& request, Response& response) {
    ChangeMember(request.matches[1], json{{"state", "leaving"}}, response);
  });
  server.Put("/remove/(.+)", [this](const Request& request, Response&) {
    RemoveMember(request.matches[1]);
  });
}

}  // namespace

void RunMembership(const ListenSettings& listen,
                   const std::string& members_file,
                   long lag_ms) {
  MemberRegistry registry(members_file, lag_ms);
  httplib::Server server;
  registry.AddRoutes(server);
  Serve(server, listen);
}

}  // namespace standin
