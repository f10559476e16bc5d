#ifndef CROCUSMAST_ADAPTERS_STORE_HTTP_CLIENT_H_
#define CROCUSMAST_ADAPTERS_STORE_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/core/meter.h"

namespace crocusmast::adapters {

/** @brief HTTP client of the store that counts calls, failures and bytes. */
class StoreHttpClient {
 public:
  /**
   * @brief Creates a client; it connects on the first call.
   * @param address Address of the store.
   * @param meter Counts calls, failures and bytes; must outlive the client.
   */
  StoreHttpClient(const fleet::Endpoint& address, core::Meter& meter);

  /**
   * @brief Sends a GET request.
   * @param path Path and query.
   * @param timeout Time-out of each write of the request and each read of the
   * response.
   * @return The response, with any status code, or an error that names the
   * address of the store if no response was received.
   */
  core::Result<HttpResponse> Get(const std::string& path,
                                 core::Duration timeout);

  /**
   * @brief Sends a PUT request.
   * @param path Path and query.
   * @param body The value to store.
   * @param timeout Time-out of each write of the request and each read of the
   * response.
   * @return The response, with any status code, or an error that names the
   * address of the store if no response was received.
   */
  core::Result<HttpResponse> Put(const std::string& path,
                                 const std::string& body,
                                 core::Duration timeout);

  /** @brief Aborts a call in progress; may be called from another thread. */
  void Stop() { m_http->Stop(); }

 private:
  core::Result<HttpResponse> CountCall(core::Result<HttpResponse> response);

  std::unique_ptr<HttpClient> m_http;
  core::Meter& m_meter;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_STORE_HTTP_CLIENT_H_
