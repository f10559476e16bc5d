#include "crocusmast/adapters/async/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace crocusmast::adapters::async {
namespace internal {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;
/** @brief With the executor's own type, which spares its type erasure. */
using Socket =
    boost::asio::basic_stream_socket<Tcp,
                                     boost::asio::io_context::executor_type>;
using SteadyTime = std::chrono::steady_clock::time_point;

/** @brief How often calls are looked through for those whose time is up. */
constexpr std::chrono::milliseconds kExpiryPause{50};
/** @brief A connection idle for longer is checked before it is used again. */
constexpr std::chrono::milliseconds kTrustedIdle{1000};
/** @brief A connection idle for longer is closed: servers close theirs. */
constexpr std::chrono::seconds kLongestIdle{10};
/** @brief Sent bytes may stay without an answer of the peer's TCP for this. */
constexpr int kUserTimeoutMs = 1500;

/** @brief A call and who waits for it. */
struct Pending {
  HttpCall call;
  HttpClient::TakeReply take;
  SteadyTime expires_at;
};

struct Peer;

/** @brief One kept connection and the call that it carries. */
struct Connection {
  Connection(boost::asio::io_context& context, Peer& owner)
      : socket(context), peer(owner) {}

  /**
   * @brief Closes with a reset, which drops what was not delivered.
   *
   * A path that was cut would else deliver it once it heals.
   */
  void Reset() {
    boost::system::error_code failed;
    socket.set_option(boost::asio::socket_base::linger(true, 0), failed);
    socket.close(failed);
  }

  /** @brief Tells whether the peer has closed or sent what nobody asked for. */
  bool IsStale() {
    char byte = 0;
    const ssize_t got =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  Socket socket;
  Peer& peer;
  beast::flat_buffer buffer;
  Pending pending;
  std::string request;
  std::optional<http::response_parser<http::string_body>> parser;
  SteadyTime used_at;
  /** @brief When the step under way has to be over. */
  SteadyTime expires_at;
  bool is_expired = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** @brief The connections and calls of one address. */
struct Peer {
  explicit Peer(const fleet::Endpoint& endpoint) : address(endpoint) {}

  const fleet::Endpoint address;
  std::vector<ConnectionPtr> idle;
  std::deque<Pending> waiting;
  std::size_t busy = 0;
};

using PeerKey = std::pair<std::string, std::uint16_t>;

HttpReply Failure(CallResult result, std::string problem) {
  HttpReply reply;
  reply.result = result;
  reply.problem = std::move(problem);
  return reply;
}

/** @brief Writes a request as one piece, which takes one buffer to send. */
std::string Write(const HttpCall& call) {
  std::string text;
  constexpr std::size_t kUsualHeader = 256;
  text.reserve(kUsualHeader + call.body.size());
  text.append(call.method).append(" ").append(call.target);
  text.append(" HTTP/1.1\r\nHost: ").append(call.to.host);
  text.append(":").append(std::to_string(call.to.port)).append("\r\n");
  for (const auto& [name, value] : call.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.body.empty()) {
    text.append("Content-Type: application/json\r\n");
  }
  if (!call.body.empty() || call.method != "GET") {
    text.append("Content-Length: ");
    text.append(std::to_string(call.body.size())).append("\r\n");
  }
  return text.append("\r\n").append(call.body);
}

}  // namespace internal

using internal::ConnectionPtr;
using internal::Peer;
using internal::PeerKey;
using internal::Pending;

/** @brief The peers; kept alive by the calls under way. */
struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  State(IoDuty& duty, ClientLimits bounds) : io(duty), limits(bounds) {}

  void Next(Peer& peer);
  void Connect(Peer& peer, Pending pending);
  void Send(ConnectionPtr connection);
  void Receive(ConnectionPtr connection);
  void Finish(const ConnectionPtr& connection);
  void Fail(const ConnectionPtr& connection,
            CallResult result,
            const boost::system::error_code& error);
  void Begin(const ConnectionPtr& connection, internal::SteadyTime expires_at);
  void Expire();
  static ConnectionPtr TakeIdle(Peer& peer);

  IoDuty& io;
  const ClientLimits limits;
  std::map<PeerKey, Peer> peers;
  /** @brief The connections with a call under way. */
  std::set<ConnectionPtr> busy;
  bool is_expiring = false;
  std::uint64_t opened = 0;
};

std::unique_ptr<HttpClient> HttpClient::Create(IoDuty& io,
                                               ClientLimits limits) {
  return std::unique_ptr<HttpClient>(new HttpClient(io, limits));
}

HttpClient::HttpClient(IoDuty& io, ClientLimits limits)
    : m_state(std::make_shared<State>(io, limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Call(HttpCall call, TakeReply take) {
  Peer& peer =
      m_state->peers.try_emplace(PeerKey(call.to.host, call.to.port), call.to)
          .first->second;
  if (peer.waiting.size() >= m_state->limits.waiting) {
    take(internal::Failure(CallResult::kNotSent, "too many calls wait"));
    return;
  }
  const auto expires_at = std::chrono::steady_clock::now() + call.timeout;
  peer.waiting.push_back({std::move(call), std::move(take), expires_at});
  m_state->Next(peer);
}

std::uint64_t HttpClient::Opened() const {
  return m_state->opened;
}

ConnectionPtr HttpClient::State::TakeIdle(Peer& peer) {
  const auto now = std::chrono::steady_clock::now();
  while (!peer.idle.empty()) {
    ConnectionPtr connection = std::move(peer.idle.back());
    peer.idle.pop_back();
    const auto idle = now - connection->used_at;
    const bool is_good =
        idle < internal::kTrustedIdle ||
        (idle < internal::kLongestIdle && !connection->IsStale());
    if (is_good) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::State::Next(Peer& peer) {
  while (!peer.waiting.empty() && peer.busy < limits.connections) {
    Pending pending = std::move(peer.waiting.front());
    peer.waiting.pop_front();
    if (pending.expires_at <= std::chrono::steady_clock::now()) {
      pending.take(internal::Failure(CallResult::kNotSent,
                                     "no connection was free in time"));
      continue;
    }
    ++peer.busy;
    if (ConnectionPtr connection = TakeIdle(peer); connection) {
      connection->pending = std::move(pending);
      Send(std::move(connection));
    } else {
      Connect(peer, std::move(pending));
    }
  }
}

void HttpClient::State::Begin(const ConnectionPtr& connection,
                              internal::SteadyTime expires_at) {
  connection->expires_at = expires_at;
  busy.insert(connection);
  if (!is_expiring) {
    is_expiring = true;
    io.After(internal::kExpiryPause, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self) {
        self->Expire();
      }
    });
  }
}

void HttpClient::State::Expire() {
  is_expiring = false;
  const auto now = std::chrono::steady_clock::now();
  for (const ConnectionPtr& connection : busy) {
    if (connection->expires_at <= now && !connection->is_expired) {
      connection->is_expired = true;
      // Ends the step under way; its handler sees the error.
      connection->Reset();
    }
  }
  if (!busy.empty()) {
    is_expiring = true;
    io.After(internal::kExpiryPause,
             [self = shared_from_this()] { self->Expire(); });
  }
}

void HttpClient::State::Connect(Peer& peer, Pending pending) {
  auto connection = std::make_shared<internal::Connection>(io.Context(), peer);
  connection->pending = std::move(pending);
  boost::system::error_code failed;
  const auto address = boost::asio::ip::make_address(peer.address.host, failed);
  if (failed) {
    Fail(connection, CallResult::kNotSent, failed);
    return;
  }
  ++opened;
  Begin(connection, std::chrono::steady_clock::now() + limits.connect_timeout);
  internal::Socket& socket = connection->socket;
  socket.async_connect(
      internal::Tcp::endpoint(address, peer.address.port),
      [self = shared_from_this(), connection = std::move(connection)](
          const boost::system::error_code& error) mutable {
        if (error) {
          self->Fail(connection, CallResult::kNotSent, error);
          return;
        }
        boost::system::error_code unset;
        connection->socket.set_option(internal::Tcp::no_delay(true), unset);
        // Options of the socket that are not set leave only the time-outs.
        ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP,
                     TCP_USER_TIMEOUT, &internal::kUserTimeoutMs,
                     sizeof internal::kUserTimeoutMs);
        self->Send(std::move(connection));
      });
}

void HttpClient::State::Send(ConnectionPtr connection) {
  internal::Connection& used = *connection;
  Begin(connection, used.pending.expires_at);
  used.request = internal::Write(used.pending.call);
  boost::asio::async_write(
      used.socket, boost::asio::buffer(used.request),
      [self = shared_from_this(), connection = std::move(connection)](
          const boost::system::error_code& error,
          std::size_t /*sent*/) mutable {
        if (error) {
          self->Fail(connection, CallResult::kUnknown, error);
          return;
        }
        self->Receive(std::move(connection));
      });
}

void HttpClient::State::Receive(ConnectionPtr connection) {
  internal::Connection& used = *connection;
  used.parser.emplace();
  used.parser->body_limit(limits.answer_bytes);
  internal::http::async_read(
      used.socket, used.buffer, *used.parser,
      [self = shared_from_this(), connection = std::move(connection)](
          const boost::system::error_code& error,
          std::size_t /*read*/) mutable {
        if (error) {
          self->Fail(connection, CallResult::kUnknown, error);
          return;
        }
        self->Finish(connection);
      });
}

void HttpClient::State::Finish(const ConnectionPtr& connection) {
  auto message = connection->parser->release();
  connection->parser.reset();
  busy.erase(connection);
  Peer& peer = connection->peer;
  --peer.busy;
  const HttpClient::TakeReply take = std::move(connection->pending.take);
  if (message.keep_alive() && !connection->is_expired) {
    connection->used_at = std::chrono::steady_clock::now();
    peer.idle.push_back(connection);
  }
  HttpReply reply;
  reply.result = CallResult::kAnswered;
  reply.status = static_cast<int>(message.result_int());
  reply.body = std::move(message.body());
  Next(peer);
  take(std::move(reply));
}

void HttpClient::State::Fail(const ConnectionPtr& connection,
                             CallResult result,
                             const boost::system::error_code& error) {
  connection->Reset();
  busy.erase(connection);
  Peer& peer = connection->peer;
  --peer.busy;
  const HttpClient::TakeReply take = std::move(connection->pending.take);
  Next(peer);
  take(internal::Failure(
      result, connection->is_expired ? "timed out" : error.message()));
}

}  // namespace crocusmast::adapters::async
