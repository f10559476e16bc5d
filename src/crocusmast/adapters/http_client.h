#ifndef CROCUSMAST_ADAPTERS_HTTP_CLIENT_H_
#define CROCUSMAST_ADAPTERS_HTTP_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters {

/** @brief HTTP response. */
struct HttpResponse {
  /** @brief Status code. */
  int status = 0;
  /** @brief Response body. */
  std::string body;
  /**
   * @brief Version of the stored key, from the Version header; zero if absent.
   */
  std::uint64_t version = 0;
};

/**
 * @brief Blocking client of one HTTP service.
 *
 * Only one call may be in progress at a time.
 */
class HttpClient {
 public:
  /**
   * @brief Creates a client; it connects on the first call.
   * @param address Address of the service.
   * @param token Bearer token to send; empty for none.
   */
  static std::unique_ptr<HttpClient> Create(const fleet::Endpoint& address,
                                            const std::string& token);

  ~HttpClient();

  /**
   * @brief Sends a GET request.
   * @param path Path and query.
   * @param timeout Time-out of each write of the request and each read of the
   * response.
   * @return The response, with any status code, or an error that names the
   * address of the service if no response was received.
   */
  core::Result<HttpResponse> Get(const std::string& path,
                                 core::Duration timeout);

  /**
   * @brief Sends a PUT request.
   * @param path Path and query.
   * @param body JSON text.
   * @param timeout Time-out of each write of the request and each read of the
   * response.
   * @return The response, with any status code, or an error that names the
   * address of the service if no response was received.
   */
  core::Result<HttpResponse> Put(const std::string& path,
                                 const std::string& body,
                                 core::Duration timeout);

  /** @brief Aborts a call in progress; may be called from another thread. */
  void Stop();

 private:
  struct State;

  explicit HttpClient(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_HTTP_CLIENT_H_
