#ifndef CROCUSMAST_ADAPTERS_ASYNC_HTTP_CONNECTION_H_
#define CROCUSMAST_ADAPTERS_ASYNC_HTTP_CONNECTION_H_

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/adapters/async/http_client.h"

// Connections of the HTTP client; included by its implementation only.

namespace crocusmast::adapters::async::internal {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;
/**
 * @brief Socket with the concrete executor type, which avoids the cost of type
 * erasure.
 */
using Socket =
    boost::asio::basic_stream_socket<Tcp,
                                     boost::asio::io_context::executor_type>;
using SteadyTime = std::chrono::steady_clock::time_point;

/** @brief Interval of the check for expired calls. */
inline constexpr std::chrono::milliseconds kExpiryCheckInterval{50};
/**
 * @brief A connection that was idle for longer is checked with IsStale before
 * reuse.
 */
inline constexpr std::chrono::milliseconds kMaxUncheckedIdleTime{1000};
/**
 * @brief A connection that was idle for longer is closed, since servers close
 * idle connections too.
 */
inline constexpr std::chrono::seconds kMaxIdleTime{10};
/** @brief Progress for which a response that is arriving gets more time. */
inline constexpr std::size_t kMinReceiveProgressBytes = 4096;
/** @brief The additional time for each such progress. */
inline constexpr std::chrono::milliseconds kReceiveStallTimeout{500};
/** @brief Time limit of a call whose response keeps arriving. */
inline constexpr std::chrono::seconds kMaxReceiveTime{10};
/** @brief How long sent bytes may stay unacknowledged by the server. */
inline constexpr int kTcpUserTimeoutMs = 1500;

/** @brief A call without a reply, and its reply handler. */
struct PendingCall {
  HttpCall call;
  HttpClient::ReplyHandler on_reply;
  SteadyTime expires_at;
};

struct ConnectionPool;

/** @brief A persistent connection and its call in progress. */
struct Connection {
  Connection(boost::asio::io_context& context, ConnectionPool& owner)
      : socket(context), pool(owner) {}

  /**
   * @brief Closes the connection with a TCP reset, which discards unsent data.
   *
   * Otherwise the kernel would deliver the data after a network partition
   * heals.
   */
  void Reset() {
    boost::system::error_code failed;
    socket.set_option(boost::asio::socket_base::linger(true, 0), failed);
    socket.close(failed);
  }

  /**
   * @brief Returns whether the server has closed the connection or sent
   * unsolicited data.
   */
  bool IsStale() {
    char byte = 0;
    const ssize_t got =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /**
   * @brief Grants more time to a response that is arriving.
   *
   * A large one would otherwise be discarded and requested again over the same
   * slow link.
   * @param received Number of bytes that have arrived since the last call.
   */
  void ExtendExpiry(std::size_t received) {
    progress += received;
    if (progress < kMinReceiveProgressBytes) {
      return;
    }
    progress = 0;
    const SteadyTime stalled_at =
        std::chrono::steady_clock::now() + kReceiveStallTimeout;
    expires_at = std::max(
        expires_at, std::min(stalled_at, pending.expires_at + kMaxReceiveTime));
  }

  Socket socket;
  ConnectionPool& pool;
  beast::flat_buffer buffer;
  PendingCall pending;
  std::string request;
  std::optional<http::response_parser<http::string_body>> parser;
  /** @brief Bytes of the response for which no more time was granted yet. */
  std::size_t progress = 0;
  /** @brief When the last reply was received. */
  SteadyTime idle_since;
  /** @brief Deadline of the connect, write or read in progress. */
  SteadyTime expires_at;
  bool is_expired = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** @brief Connections to one address and the calls that wait for one. */
struct ConnectionPool {
  explicit ConnectionPool(const fleet::Endpoint& endpoint)
      : address(endpoint) {}

  const fleet::Endpoint address;
  std::vector<ConnectionPtr> idle;
  std::deque<PendingCall> queued_calls;
  std::size_t busy_connections = 0;
};

using PoolKey = std::pair<std::string, std::uint16_t>;

}  // namespace crocusmast::adapters::async::internal

#endif  // CROCUSMAST_ADAPTERS_ASYNC_HTTP_CONNECTION_H_
