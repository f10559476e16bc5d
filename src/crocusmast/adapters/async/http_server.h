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

#include "crocusmast/adapters/async/io_duty.h"
#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters::async {

namespace internal {
class Session;
}  // namespace internal

/** @brief An answer to send. */
struct HttpAnswer {
  unsigned status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string content_type = "application/json";
  std::string body;
};

/** @brief A request that was read whole, to be answered once. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /** @brief Returns the method, in capitals. */
  virtual std::string_view Method() const = 0;
  /** @brief Returns path and query. */
  virtual std::string_view Target() const = 0;
  /**
   * @brief Returns a header, or nothing.
   * @param name Its name, in any case.
   */
  virtual std::string_view Header(std::string_view name) const = 0;
  /** @brief Returns the body. */
  virtual const std::string& Body() const = 0;
  /**
   * @brief Sends the answer; called on the duty's thread.
   * @param answer The answer.
   */
  virtual void Respond(HttpAnswer answer) = 0;
};

/** @brief The bounds of a server. */
struct ServerLimits {
  std::size_t connections = 1500;
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{256} * 1024;
  /** @brief How long a request may take to arrive once it has begun. */
  std::chrono::milliseconds read_timeout{3000};
  /** @brief How long a connection may be idle. */
  std::chrono::milliseconds idle_timeout{15000};
  /** @brief How long an answer may take to be sent. */
  std::chrono::milliseconds write_timeout{3000};
};

/** @brief Serves requests on kept connections, without a thread for each. */
class HttpServer {
 public:
  /** @brief Takes a request; called on the duty's thread. */
  using TakeRequest = std::function<void(std::shared_ptr<HttpExchange>)>;

  /**
   * @brief Listens; accepts once the duty runs.
   * @param io Its thread; outlives the server.
   * @param address Where to listen.
   * @param limits Its bounds.
   * @param take Takes requests.
   */
  static core::Result<std::unique_ptr<HttpServer>> Create(
      IoDuty& io,
      const fleet::Endpoint& address,
      ServerLimits limits,
      TakeRequest take);

  ~HttpServer();

  /**
   * @brief Changes the bounds for what is read from now on.
   *
   * Called on the duty's thread.
   * @param limits The bounds.
   */
  void SetLimits(ServerLimits limits);

  /**
   * @brief Closes each connection after its next answer.
   *
   * Callers go on using open connections, so none is closed before.
   * Called on the duty's thread.
   */
  void Drain();

  /** @brief Returns how many connections are open. */
  std::size_t Connections() const;

 private:
  friend class internal::Session;
  struct State;

  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> m_state;
};

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_HTTP_SERVER_H_
