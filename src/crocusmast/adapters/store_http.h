#ifndef CROCUSMAST_ADAPTERS_STORE_HTTP_H_
#define CROCUSMAST_ADAPTERS_STORE_HTTP_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/core/meter.h"

namespace crocusmast::adapters {

/** @brief Calls the store over HTTP, and counts calls, failures and bytes. */
class StoreHttp {
 public:
  /**
   * @brief Makes a client; it connects with the first call.
   * @param address The store.
   * @param meter Counts; outlives the client.
   */
  StoreHttp(const fleet::Endpoint& address, core::Meter& meter);

  /**
   * @brief Reads a path.
   * @param path The path with its query.
   * @param wait The longest wait for the answer.
   */
  core::Result<HttpAnswer> Get(const std::string& path, core::Duration wait);

  /**
   * @brief Writes a path.
   * @param path The path with its query.
   * @param body The value.
   * @param wait The longest wait for the answer.
   */
  core::Result<HttpAnswer> Put(const std::string& path,
                               const std::string& body,
                               core::Duration wait);

  /** @brief Ends a call under way; may be called by another thread. */
  void Stop() { m_http->Stop(); }

 private:
  core::Result<HttpAnswer> Count(core::Result<HttpAnswer> answer);

  std::unique_ptr<HttpClient> m_http;
  core::Meter& m_meter;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_STORE_HTTP_H_
