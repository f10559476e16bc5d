#include "bench/sender.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace bench {
namespace internal {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{500};
// The time allowed for a response beyond the request's deadline.
constexpr std::chrono::milliseconds kResponseGrace{3000};
constexpr std::chrono::seconds kRefusedAddressDelay{2};
// Entry instances close connections that have been idle for 1 s. A shorter
// limit avoids sending on a connection that is being closed.
constexpr std::chrono::milliseconds kMaxIdleTime{700};
constexpr int kOk = 200;

/** @brief An address with its connection and its backoff. */
struct Destination {
  std::unique_ptr<httplib::Client> client;
  Clock::time_point skipped_until;
  Clock::time_point used_at;
};

/** @brief Sends requests over HTTP. */
class HttpSender final : public Sender {
 public:
  explicit HttpSender(SenderSettings settings)
      : m_settings(std::move(settings)), m_next(m_settings.first_address) {
    for (const auto& address : m_settings.addresses) {
      Destination destination;
      destination.client =
          std::make_unique<httplib::Client>(address.host, address.port);
      destination.client->set_keep_alive(true);
      destination.client->set_tcp_nodelay(true);
      destination.client->set_connection_timeout(kConnectTimeout);
      m_destinations.push_back(std::move(destination));
    }
  }

  LoadOutcome Send(const LoadRequest& request) override;

 private:
  httplib::Result Post(Destination& destination,
                       const LoadRequest& request,
                       const std::string& body);
  Destination& NextDestination();

  SenderSettings m_settings;
  std::vector<Destination> m_destinations;
  std::size_t m_next;
};

bool IsRefusedConnection(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout;
}

LoadOutcome Classify(const httplib::Response& response,
                     const std::string& expected_body) {
  const std::string outcome = response.get_header_value("Crocusmast-Outcome");
  if (outcome == "refused") {
    return LoadOutcome::kRefused;
  }
  if (outcome == "unknown") {
    return LoadOutcome::kUnknown;
  }
  if (response.status != kOk) {
    return LoadOutcome::kFailed;
  }
  return response.body == expected_body ? LoadOutcome::kAnswered
                                        : LoadOutcome::kForeign;
}

Destination& HttpSender::NextDestination() {
  const Clock::time_point now = Clock::now();
  for (std::size_t attempt = 0; attempt < m_destinations.size(); ++attempt) {
    Destination& destination = m_destinations[m_next++ % m_destinations.size()];
    if (destination.skipped_until <= now) {
      return destination;
    }
  }
  return m_destinations[m_next++ % m_destinations.size()];
}

httplib::Result HttpSender::Post(Destination& destination,
                                 const LoadRequest& request,
                                 const std::string& body) {
  const MixEntry& entry = *request.entry;
  const httplib::Headers headers{
      {"Crocusmast-Request-Id", request.id},
      {"Crocusmast-Plan", entry.plan},
      {"Crocusmast-Kind", entry.kind},
      {"Crocusmast-Urgency", entry.urgency},
      {"Crocusmast-Repeatable", entry.repeatable},
      {"Crocusmast-Deadline-Ms", std::to_string(entry.deadline.count())}};
  const auto read_timeout =
      std::chrono::duration_cast<std::chrono::microseconds>(entry.deadline +
                                                            kResponseGrace);
  destination.client->set_read_timeout(read_timeout);
  if (destination.used_at + kMaxIdleTime < Clock::now()) {
    destination.client->stop();
  }
  httplib::Result result = destination.client->Post(
      m_settings.path, headers, body, "application/octet-stream");
  destination.used_at = Clock::now();
  return result;
}

LoadOutcome HttpSender::Send(const LoadRequest& request) {
  std::string body = request.id + " ";
  body.resize(std::max(body.size(), request.entry->body_bytes), 'x');
  const std::string expected_body = request.id + ":" + body;
  for (std::size_t attempt = 0; attempt <= m_destinations.size(); ++attempt) {
    Destination& destination = NextDestination();
    const httplib::Result result = Post(destination, request, body);
    if (result) {
      return Classify(*result, expected_body);
    }
    if (!IsRefusedConnection(result.error())) {
      return LoadOutcome::kLost;
    }
    destination.skipped_until = Clock::now() + kRefusedAddressDelay;
  }
  return LoadOutcome::kRefused;
}

}  // namespace internal

std::string LoadOutcomeName(LoadOutcome outcome) {
  switch (outcome) {
    case LoadOutcome::kAnswered:
      return "answered";
    case LoadOutcome::kRefused:
      return "refused";
    case LoadOutcome::kUnknown:
      return "unknown";
    case LoadOutcome::kLost:
      return "lost";
    case LoadOutcome::kForeign:
      return "foreign";
    case LoadOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

std::unique_ptr<Sender> MakeHttpSender(SenderSettings settings) {
  return std::make_unique<internal::HttpSender>(std::move(settings));
}

}  // namespace bench
