#ifndef CROCUSMAST_ADAPTERS_ASYNC_HTTP_SERVER_H_
#define CROCUSMAST_ADAPTERS_ASYNC_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "crocusmast/adapters/async/io_thread.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters::async {

namespace internal {
class Session;
}  // namespace internal

/** @brief HTTP response to send. */
struct HttpResponse {
  /** @brief Status code. */
  unsigned status = 200;
  /** @brief Names and values of additional headers. */
  std::vector<std::pair<std::string, std::string>> headers;
  /** @brief Content type of the body; not sent if the body is empty. */
  std::string content_type = "application/json";
  /** @brief Response body. */
  std::string body;
};

/** @brief A complete request that must be responded to once. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /** @brief Returns the method, in upper case. */
  virtual std::string_view Method() const = 0;
  /** @brief Returns path and query. */
  virtual std::string_view Path() const = 0;
  /**
   * @brief Returns the value of a header, or an empty string.
   * @param name Name of the header; case-insensitive.
   */
  virtual std::string_view Header(std::string_view name) const = 0;
  /** @brief Returns the body. */
  virtual const std::string& Body() const = 0;
  /**
   * @brief Sends the response; must be called on the I/O thread.
   * @param response The response.
   */
  virtual void Respond(HttpResponse response) = 0;
};

/** @brief Resource limits of a server. */
struct ServerLimits {
  /** @brief Maximum number of open connections; others are closed at once. */
  std::size_t connections = 1500;
  /** @brief Size limit of the request headers, in bytes. */
  std::uint32_t header_bytes = 16 * 1024;
  /** @brief Size limit of a request body, in bytes. */
  std::uint64_t body_bytes = std::uint64_t{256} * 1024;
  /** @brief Time limit for receiving a request after its first byte. */
  std::chrono::milliseconds read_timeout{3000};
  /** @brief Time limit for an idle connection. */
  std::chrono::milliseconds idle_timeout{15000};
  /** @brief Time limit for sending a response. */
  std::chrono::milliseconds write_timeout{3000};
};

/** @brief Asynchronous HTTP server with persistent connections. */
class HttpServer {
 public:
  /** @brief Handles a request, on the I/O thread. */
  using RequestHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /**
   * @brief Creates a server and starts listening.
   *
   * Connections are accepted once the I/O thread runs.
   * @param io I/O thread; must outlive the server.
   * @param address Address to listen on.
   * @param limits Resource limits.
   * @param on_request Handles each request.
   * @return The server, or an error if the address is not available.
   */
  static core::Result<std::unique_ptr<HttpServer>> Create(
      IoThread& io,
      const fleet::Endpoint& address,
      ServerLimits limits,
      RequestHandler on_request);

  ~HttpServer();

  /**
   * @brief Changes the limits for requests that are read from now on.
   *
   * Must be called on the I/O thread.
   * @param limits The limits.
   */
  void SetLimits(ServerLimits limits);

  /**
   * @brief Closes each connection after its next response.
   *
   * No connection is closed earlier, because clients keep sending requests on
   * open connections. Must be called on the I/O thread.
   */
  void Drain();

  /** @brief Returns the number of open connections. */
  std::size_t Connections() const;

 private:
  friend class internal::Session;
  struct State;

  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> m_state;
};

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_HTTP_SERVER_H_
