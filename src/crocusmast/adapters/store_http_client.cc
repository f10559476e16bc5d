#include "crocusmast/adapters/store_http_client.h"

namespace crocusmast::adapters {

StoreHttpClient::StoreHttpClient(const fleet::Endpoint& address,
                                 core::Meter& meter)
    : m_http(HttpClient::Create(address, "")), m_meter(meter) {}

core::Result<HttpResponse> StoreHttpClient::Get(const std::string& path,
                                                core::Duration timeout) {
  return CountCall(m_http->Get(path, timeout));
}

core::Result<HttpResponse> StoreHttpClient::Put(const std::string& path,
                                                const std::string& body,
                                                core::Duration timeout) {
  m_meter.Add(core::Counter::kStoreBytes, body.size());
  return CountCall(m_http->Put(path, body, timeout));
}

core::Result<HttpResponse> StoreHttpClient::CountCall(
    core::Result<HttpResponse> response) {
  m_meter.Add(core::Counter::kStoreCalls, 1);
  if (response) {
    m_meter.Add(core::Counter::kStoreBytes, response->body.size());
  } else {
    m_meter.Add(core::Counter::kStoreFailures, 1);
  }
  return response;
}

}  // namespace crocusmast::adapters
