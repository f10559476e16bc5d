#ifndef CROCUSMAST_ADAPTERS_HTTP_CLIENT_H_
#define CROCUSMAST_ADAPTERS_HTTP_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters {

/** @brief An answer over HTTP. */
struct HttpAnswer {
  /** @brief The status. */
  int status = 0;
  /** @brief The body. */
  std::string body;
  /** @brief The Version header; zero if there is none. */
  std::uint64_t version = 0;
};

/** @brief Calls one HTTP service of the platform, one call at a time. */
class HttpClient {
 public:
  /**
   * @brief Makes a client; it connects with the first call.
   * @param address The service.
   * @param token Sent as bearer token; empty for none.
   */
  static std::unique_ptr<HttpClient> Create(const fleet::Endpoint& address,
                                            const std::string& token);

  ~HttpClient();

  /**
   * @brief Reads a path.
   * @param path The path with its query.
   * @param wait The longest wait for the answer.
   * @return The answer, or an error that names the service.
   */
  core::Result<HttpAnswer> Get(const std::string& path, core::Duration wait);

  /**
   * @brief Writes a path.
   * @param path The path with its query.
   * @param body JSON.
   * @param wait The longest wait for the answer.
   * @return The answer, or an error that names the service.
   */
  core::Result<HttpAnswer> Put(const std::string& path,
                               const std::string& body,
                               core::Duration wait);

  /** @brief Ends a call under way; may be called by another thread. */
  void Stop();

 private:
  struct State;

  explicit HttpClient(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_HTTP_CLIENT_H_
