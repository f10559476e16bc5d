#include "crocusmast/adapters/target_client.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace crocusmast::adapters {
namespace internal {

using routing::AttemptResult;
using Connection = std::unique_ptr<httplib::Client>;

constexpr std::chrono::milliseconds kTargetConnectTimeout{300};
constexpr std::size_t kMaxIdleConnections = 8;
// Targets may close connections that have been idle for longer, even while a
// request is being sent, which leaves its outcome unknown.
constexpr std::chrono::milliseconds kMaxIdleTime{800};
constexpr int kTooManyRequests = 429;
constexpr int kMinServerErrorStatus = 500;
constexpr int kUnavailable = 503;
constexpr std::chrono::seconds kDefaultRetryAfter{1};

/** @brief A connection without a request in progress. */
struct IdleConnection {
  Connection connection;
  std::chrono::steady_clock::time_point since;
};

Connection Connect(const fleet::Endpoint& address) {
  auto client = std::make_unique<httplib::Client>(address.host, address.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(kTargetConnectTimeout);
  return client;
}

bool IsConnectError(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

std::chrono::seconds ParseRetryAfter(const httplib::Response& response) {
  const std::string text = response.get_header_value("Retry-After");
  if (text.empty() || text.size() > 4 ||
      !std::all_of(text.begin(), text.end(),
                   [](unsigned char c) { return std::isdigit(c) != 0; })) {
    return kDefaultRetryAfter;
  }
  return std::chrono::seconds(std::stoi(text));
}

AttemptResult Classify(httplib::Response response) {
  AttemptResult result;
  const bool is_not_run = response.has_header("Target-Not-Run");
  result.report.delivery = is_not_run ? request::DeliveryStatus::kNotRun
                                      : request::DeliveryStatus::kAnswered;
  result.report.is_throttled =
      response.status == kTooManyRequests ||
      (response.status == kUnavailable && response.has_header("Retry-After"));
  result.report.is_failure = !result.report.is_throttled &&
                             response.status >= kMinServerErrorStatus &&
                             !is_not_run;
  result.report.is_leaving = response.has_header("Target-Leaving");
  result.report.backoff = ParseRetryAfter(response);
  result.answer.status = response.status;
  result.answer.content_type = response.get_header_value("Content-Type");
  result.answer.body = std::move(response.body);
  return result;
}

}  // namespace internal

/** @brief Pool of idle connections per target address. */
struct TargetClient::State {
  using Key = std::pair<std::string, std::uint16_t>;

  internal::Connection Acquire(const fleet::Endpoint& address) {
    const auto oldest =
        std::chrono::steady_clock::now() - internal::kMaxIdleTime;
    const std::lock_guard<std::mutex> lock(mutex);
    std::vector<internal::IdleConnection>& connections =
        idle[Key(address.host, address.port)];
    if (connections.empty() || connections.back().since < oldest) {
      connections.clear();
      return internal::Connect(address);
    }
    internal::Connection connection = std::move(connections.back().connection);
    connections.pop_back();
    return connection;
  }

  void Release(const fleet::Endpoint& address,
               internal::Connection connection) {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard<std::mutex> lock(mutex);
    std::vector<internal::IdleConnection>& connections =
        idle[Key(address.host, address.port)];
    if (connections.size() < internal::kMaxIdleConnections) {
      connections.push_back({std::move(connection), now});
    }
  }

  std::mutex mutex;
  std::map<Key, std::vector<internal::IdleConnection>> idle;
};

TargetClient::TargetClient() : m_state(std::make_unique<State>()) {}

TargetClient::~TargetClient() = default;

std::unique_ptr<TargetClient> TargetClient::Create() {
  return std::unique_ptr<TargetClient>(new TargetClient());
}

routing::AttemptResult TargetClient::Send(const core::InstanceId& target,
                                          const fleet::Endpoint& address,
                                          const request::RequestSpec& spec,
                                          const std::string& body,
                                          core::Duration wait) {
  const auto started_at = std::chrono::steady_clock::now();
  internal::Connection connection = m_state->Acquire(address);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(wait);
  connection->set_read_timeout(micros);
  connection->set_write_timeout(micros);
  const httplib::Headers headers{
      {"Crocusmast-Request-Id", spec.id.Text()},
      {"Crocusmast-Plan", spec.plan.Text()},
      {"Crocusmast-Kind", spec.kind.Text()},
  };
  httplib::Result response =
      connection->Post("/run", headers, body, "application/octet-stream");
  routing::AttemptResult result;
  if (response) {
    result = internal::Classify(std::move(response.value()));
    m_state->Release(address, std::move(connection));
  } else {
    result.report.delivery = internal::IsConnectError(response.error())
                                 ? request::DeliveryStatus::kNotRun
                                 : request::DeliveryStatus::kUnknown;
    result.report.is_failure = true;
  }
  result.report.latency = std::chrono::steady_clock::now() - started_at;
  return result;
}

}  // namespace crocusmast::adapters
