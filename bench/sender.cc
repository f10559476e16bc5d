#include "bench/sender.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace bench {
namespace internal {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectWait{500};
constexpr std::chrono::milliseconds kAnswerGrace{3000};
constexpr std::chrono::seconds kPassOver{2};
// Entry instances close connections that are idle for a second.
constexpr std::chrono::milliseconds kIdleLimit{700};
constexpr int kOk = 200;

/** @brief One address and the connection to it. */
struct Destination {
  std::unique_ptr<httplib::Client> client;
  Clock::time_point passed_over_until;
  Clock::time_point used_at;
};

/** @brief Sends over HTTP. */
class HttpSender final : public Sender {
 public:
  explicit HttpSender(SenderSettings settings)
      : m_settings(std::move(settings)), m_next(m_settings.first) {
    for (const auto& address : m_settings.addresses) {
      Destination destination;
      destination.client =
          std::make_unique<httplib::Client>(address.host, address.port);
      destination.client->set_keep_alive(true);
      destination.client->set_tcp_nodelay(true);
      destination.client->set_connection_timeout(kConnectWait);
      m_destinations.push_back(std::move(destination));
    }
  }

  LoadOutcome Send(const LoadRequest& request) override;

 private:
  httplib::Result Post(Destination& destination,
                       const LoadRequest& request,
                       const std::string& body);
  Destination& Next();

  SenderSettings m_settings;
  std::vector<Destination> m_destinations;
  std::size_t m_next;
};

bool IsRefusedConnection(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout;
}

LoadOutcome Classify(const httplib::Response& response,
                     const std::string& expected) {
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
  return response.body == expected ? LoadOutcome::kAnswered
                                   : LoadOutcome::kForeign;
}

Destination& HttpSender::Next() {
  const Clock::time_point now = Clock::now();
  for (std::size_t tried = 0; tried < m_destinations.size(); ++tried) {
    Destination& destination = m_destinations[m_next++ % m_destinations.size()];
    if (destination.passed_over_until <= now) {
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
  const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
      entry.deadline + kAnswerGrace);
  destination.client->set_read_timeout(wait);
  if (destination.used_at + kIdleLimit < Clock::now()) {
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
  const std::string expected = request.id + ":" + body;
  for (std::size_t tried = 0; tried <= m_destinations.size(); ++tried) {
    Destination& destination = Next();
    const httplib::Result answer = Post(destination, request, body);
    if (answer) {
      return Classify(*answer, expected);
    }
    if (!IsRefusedConnection(answer.error())) {
      return LoadOutcome::kLost;
    }
    destination.passed_over_until = Clock::now() + kPassOver;
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
