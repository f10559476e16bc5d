#include "crocusmast/adapters/http_client.h"

#include <httplib.h>

#include <utility>

namespace crocusmast::adapters {
namespace internal {

constexpr std::chrono::milliseconds kConnectTimeout{500};

}  // namespace internal

/** @brief The underlying client and the name of the service. */
struct HttpClient::State {
  State(const fleet::Endpoint& address, std::string service_name)
      : client(address.host, address.port), name(std::move(service_name)) {}

  void SetTimeout(core::Duration timeout) {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(timeout);
    client.set_read_timeout(micros);
    client.set_write_timeout(micros);
  }

  core::Result<HttpResponse> ToResponse(const httplib::Result& result,
                                        const std::string& path) const {
    if (!result) {
      return core::Fail(core::Operation::kConnect, name,
                        path + ": " + httplib::to_string(result.error()));
    }
    return HttpResponse{result->status, result->body,
                        result->get_header_value<std::uint64_t>("Version")};
  }

  httplib::Client client;
  std::string name;
};

HttpClient::HttpClient(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::Create(const fleet::Endpoint& address,
                                               const std::string& token) {
  auto state = std::make_unique<State>(
      address, address.host + ":" + std::to_string(address.port));
  state->client.set_keep_alive(true);
  state->client.set_tcp_nodelay(true);
  state->client.set_connection_timeout(internal::kConnectTimeout);
  if (!token.empty()) {
    state->client.set_bearer_token_auth(token);
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(state)));
}

core::Result<HttpResponse> HttpClient::Get(const std::string& path,
                                           core::Duration timeout) {
  m_state->SetTimeout(timeout);
  return m_state->ToResponse(m_state->client.Get(path), path);
}

core::Result<HttpResponse> HttpClient::Put(const std::string& path,
                                           const std::string& body,
                                           core::Duration timeout) {
  m_state->SetTimeout(timeout);
  return m_state->ToResponse(
      m_state->client.Put(path, body, "application/json"), path);
}

void HttpClient::Stop() {
  m_state->client.stop();
}

}  // namespace crocusmast::adapters
