#include "crocusmast/adapters/store_http.h"

namespace crocusmast::adapters {

StoreHttp::StoreHttp(const fleet::Endpoint& address, core::Meter& meter)
    : m_http(HttpClient::Create(address, "")), m_meter(meter) {}

core::Result<HttpAnswer> StoreHttp::Get(const std::string& path,
                                        core::Duration wait) {
  return Count(m_http->Get(path, wait));
}

core::Result<HttpAnswer> StoreHttp::Put(const std::string& path,
                                        const std::string& body,
                                        core::Duration wait) {
  m_meter.Add(core::Counter::kStoreBytes, body.size());
  return Count(m_http->Put(path, body, wait));
}

core::Result<HttpAnswer> StoreHttp::Count(core::Result<HttpAnswer> answer) {
  m_meter.Add(core::Counter::kStoreCalls, 1);
  if (answer) {
    m_meter.Add(core::Counter::kStoreBytes, answer->body.size());
  } else {
    m_meter.Add(core::Counter::kStoreFailures, 1);
  }
  return answer;
}

}  // namespace crocusmast::adapters
