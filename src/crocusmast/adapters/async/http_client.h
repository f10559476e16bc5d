#ifndef CROCUSMAST_ADAPTERS_ASYNC_HTTP_CLIENT_H_
#define CROCUSMAST_ADAPTERS_ASYNC_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/adapters/async/io_thread.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters::async {

/** @brief A request to send. */
struct HttpCall {
  /** @brief Address of the server; the host must be an IP address. */
  fleet::Endpoint address;
  /** @brief Method, in upper case. */
  std::string method;
  /** @brief Path and query. */
  std::string path;
  /** @brief Names and values of additional headers. */
  std::vector<std::pair<std::string, std::string>> headers;
  /** @brief JSON text; empty for none. */
  std::string body;
  /** @brief Time limit from Call() until the response is complete. A response
   * that has begun may take longer while its parts keep arriving. */
  std::chrono::milliseconds timeout{};
};

/** @brief Result of a call. */
enum class CallResult {
  /** @brief A complete response was received, with any status code. */
  kAnswered,
  /**
   * @brief Nothing was sent: the queue was full, the call expired in the queue,
   * no connection could be established, or an idle one turned out to be broken.
   */
  kNotSent,
  /**
   * @brief No complete response; the server may have executed the request, or
   * may still execute it.
   */
  kUnknown,
};

/** @brief Reply to a call. */
struct HttpReply {
  /** @brief Result of the call. */
  CallResult result = CallResult::kUnknown;
  /** @brief Status code; zero if the call was not answered. */
  int status = 0;
  /** @brief Response body. */
  std::string body;
  /** @brief Description of the failure; empty if the call was answered. */
  std::string error;
  /** @brief The time limit passed after the call was sent. */
  bool is_timed_out = false;
};

/** @brief Resource limits of a client. */
struct ClientLimits {
  /** @brief Maximum number of connections per address. */
  std::size_t connections = 4;
  /** @brief Maximum number of calls per address that wait for a connection. */
  std::size_t queued_calls = 4096;
  /** @brief Time limit for establishing a connection. */
  std::chrono::milliseconds connect_timeout{400};
  /** @brief Size limit of a response body, in bytes. */
  std::size_t response_bytes = std::size_t{8} * 1024 * 1024;
};

/**
 * @brief Asynchronous HTTP client with persistent connections.
 *
 * Never resends a request. All methods must be called on the I/O thread.
 */
class HttpClient {
 public:
  /** @brief Receives the reply to a call, on the I/O thread. */
  using ReplyHandler = std::function<void(HttpReply&&)>;

  /**
   * @brief Creates a client.
   * @param io I/O thread; must outlive the client.
   * @param limits Resource limits.
   */
  static std::unique_ptr<HttpClient> Create(IoThread& io, ClientLimits limits);

  ~HttpClient();

  /**
   * @brief Sends a request.
   * @param call The request.
   * @param on_reply Called once with the reply; for a call that cannot be sent,
   * possibly before this function returns.
   */
  void Call(HttpCall call, ReplyHandler on_reply);

  /** @brief Returns the number of connections opened so far. */
  std::uint64_t ConnectionsOpened() const;

 private:
  struct State;

  HttpClient(IoThread& io, ClientLimits limits);

  std::shared_ptr<State> m_state;
};

}  // namespace crocusmast::adapters::async

#endif  // CROCUSMAST_ADAPTERS_ASYNC_HTTP_CLIENT_H_
