#include "standin/store.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace standin {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kMaxValueBytes = std::size_t{1024} * 1024;

/** @brief A stored value. */
struct Entry {
  std::string value;
  /** @brief The number of writes since the key was created. */
  long version = 0;
  /** @brief The lease whose end removes the key; empty for none. */
  std::string lease;
};

/** @brief The number of calls of each kind, and the bytes of values read and
 * written. */
struct Counters {
  long reads = 0;
  long writes = 0;
  long watches = 0;
  long bytes = 0;
};

/** @brief The injected faults. */
struct Faults {
  /** @brief Whether all calls fail. */
  bool outage = false;
  /** @brief The number of further writes that are applied but answered with a
   * time-out. */
  long responses_to_lose = 0;
  /** @brief The delay of each call. */
  long delay_ms = 0;
};

/** @brief The store's entries, leases and counters, and its HTTP handlers. */
class Store {
 public:
  void AddRoutes(httplib::Server& server);

 private:
  bool BeginCall(httplib::Response& response, long Counters::*call_counter);
  void Get(const httplib::Request& request, httplib::Response& response);
  void Put(const httplib::Request& request, httplib::Response& response);
  void ReadKeys(const httplib::Request& request, httplib::Response& response);
  void PutLease(const httplib::Request& request, httplib::Response& response);
  void Control(const httplib::Request& request, httplib::Response& response);
  void ReportCounters(httplib::Response& response);
  json CollectValues(const std::string& prefix, const std::string& after);
  void ExpireLeases();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, Clock::time_point> m_leases;
  Counters m_counters;
  Faults m_faults;
};

bool Store::BeginCall(httplib::Response& response,
                      long Counters::*call_counter) {
  long delay_ms = 0;
  bool has_outage = false;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++(m_counters.*call_counter);
    delay_ms = m_faults.delay_ms;
    has_outage = m_faults.outage;
    ExpireLeases();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  if (has_outage) {
    response.status = kUnavailable;
  }
  return !has_outage;
}

void Store::ExpireLeases() {
  const Clock::time_point now = Clock::now();
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (now < lease->second) {
      ++lease;
      continue;
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
      entry = entry->second.lease == lease->first ? m_entries.erase(entry)
                                                  : std::next(entry);
    }
    lease = m_leases.erase(lease);
  }
}

void Store::Get(const httplib::Request& request, httplib::Response& response) {
  if (!BeginCall(response, &Counters::reads)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(request.matches[1]);
  if (entry == m_entries.end()) {
    response.status = kNotFound;
    return;
  }
  m_counters.bytes += static_cast<long>(entry->second.value.size());
  response.set_header("Version", std::to_string(entry->second.version));
  response.set_content(entry->second.value, "application/json");
}

void Store::Put(const httplib::Request& request, httplib::Response& response) {
  if (!BeginCall(response, &Counters::writes)) {
    return;
  }
  if (request.body.size() > kMaxValueBytes) {
    response.status = kTooLarge;
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string lease = request.get_param_value("lease");
    const auto found = m_entries.find(request.matches[1]);
    const long version = found == m_entries.end() ? 0 : found->second.version;
    const bool is_expected =
        IntegerParameter(request, "expect", version) == version;
    if (!is_expected || (!lease.empty() && m_leases.count(lease) == 0)) {
      response.status = kConflict;
      return;
    }
    m_entries[request.matches[1]] = Entry{request.body, version + 1, lease};
    m_counters.bytes += static_cast<long>(request.body.size());
    response.set_header("Version", std::to_string(version + 1));
    if (m_faults.responses_to_lose > 0) {
      --m_faults.responses_to_lose;
      response.status = kGatewayTimeout;
    }
  }
  m_changed.notify_all();
}

json Store::CollectValues(const std::string& prefix, const std::string& after) {
  json values = json::array();
  for (auto entry = m_entries.upper_bound(std::max(prefix, after));
       entry != m_entries.end() && entry->first.rfind(prefix, 0) == 0;
       ++entry) {
    values.push_back(entry->second.value);
    m_counters.bytes += static_cast<long>(entry->second.value.size());
  }
  return values;
}

void Store::ReadKeys(const httplib::Request& request,
                     httplib::Response& response) {
  const long wait_ms = IntegerParameter(request, "wait_ms", 0);
  if (!BeginCall(response,
                 wait_ms > 0 ? &Counters::watches : &Counters::reads)) {
    return;
  }
  const std::string prefix = request.get_param_value("prefix");
  const std::string after = request.get_param_value("after");
  const auto end = Clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock<std::mutex> lock(m_mutex);
  json values = CollectValues(prefix, after);
  while (values.empty() && !m_faults.outage && Clock::now() < end) {
    m_changed.wait_until(lock, end);
    values = CollectValues(prefix, after);
  }
  if (m_faults.outage) {
    response.status = kUnavailable;
    return;
  }
  response.set_content(values.dump(), "application/json");
}

void Store::PutLease(const httplib::Request& request,
                     httplib::Response& response) {
  if (!BeginCall(response, &Counters::writes)) {
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::string lease = request.matches[1];
  const bool is_renewal = IntegerParameter(request, "renew", 0) != 0;
  if (is_renewal && m_leases.count(lease) == 0) {
    response.status = kNotFound;
    return;
  }
  m_leases[lease] = Clock::now() + std::chrono::milliseconds(
                                       IntegerParameter(request, "ttl_ms", 0));
}

void Store::Control(const httplib::Request& request,
                    httplib::Response& response) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults.outage =
        IntegerParameter(request, "outage", m_faults.outage ? 1 : 0) != 0;
    m_faults.responses_to_lose =
        IntegerParameter(request, "lose_answers", m_faults.responses_to_lose);
    m_faults.delay_ms =
        IntegerParameter(request, "delay_ms", m_faults.delay_ms);
  }
  m_changed.notify_all();
}

void Store::ReportCounters(httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  response.set_content(json{{"reads", m_counters.reads},
                            {"writes", m_counters.writes},
                            {"watches", m_counters.watches},
                            {"bytes", m_counters.bytes},
                            {"keys", m_entries.size()}}
                           .dump(),
                       "application/json");
}

void Store::AddRoutes(httplib::Server& server) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/keys/(.+)", [this](const Request& request, Response& response) {
    Get(request, response);
  });
  server.Put("/keys/(.+)", [this](const Request& request, Response& response) {
    Put(request, response);
  });
  server.Get("/range", [this](const Request& request, Response& response) {
    ReadKeys(request, response);
  });
  server.Put("/leases/(.+)",
             [this](const Request& request, Response& response) {
               PutLease(request, response);
             });
  server.Put("/control", [this](const Request& request, Response& response) {
    Control(request, response);
  });
  server.Get("/counters", [this](const Request&, Response& response) {
    ReportCounters(response);
  });
}

}  // namespace

void RunStore(const ListenSettings& listen) {
  Store store;
  httplib::Server server;
  store.AddRoutes(server);
  Serve(server, listen);
}

}  // namespace standin
