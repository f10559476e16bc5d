#include "crocusmast/adapters/async/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace crocusmast::adapters::async {
namespace internal {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

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

/** @brief One kept connection. */
struct Connection {
  explicit Connection(boost::asio::io_context& context) : stream(context) {}

  /** @brief Tells whether the peer has closed or sent what nobody asked for. */
  bool IsStale() {
    char byte = 0;
    const ssize_t got = ::recv(stream.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  SteadyTime used_at;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** @brief The connections and calls of one address. */
struct Peer {
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

void Prepare(const HttpCall& call, http::request<http::string_body>& request) {
  request = {};
  request.method_string(call.method);
  request.target(call.target);
  request.version(11);
  request.set(http::field::host,
              call.to.host + ":" + std::to_string(call.to.port));
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  if (!call.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = call.body;
  }
  request.prepare_payload();
}

}  // namespace internal

using internal::ConnectionPtr;
using internal::Peer;
using internal::PeerKey;
using internal::Pending;

/** @brief The peers; kept alive by the calls under way. */
struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  State(IoDuty& duty, ClientLimits bounds) : io(duty), limits(bounds) {}

  void Next(const PeerKey& key);
  void Connect(const PeerKey& key, Pending pending);
  void Send(const PeerKey& key, ConnectionPtr connection, Pending pending);
  void Receive(const PeerKey& key, ConnectionPtr connection, Pending pending);
  void Finish(const PeerKey& key,
              const ConnectionPtr& connection,
              const Pending& pending);
  void Fail(const PeerKey& key, const Pending& pending, HttpReply reply);
  ConnectionPtr TakeIdle(Peer& peer);

  IoDuty& io;
  const ClientLimits limits;
  std::map<PeerKey, Peer> peers;
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
  const PeerKey key{call.to.host, call.to.port};
  Peer& peer = m_state->peers[key];
  if (peer.waiting.size() >= m_state->limits.waiting) {
    take(internal::Failure(CallResult::kNotSent, "too many calls wait"));
    return;
  }
  const auto expires_at = std::chrono::steady_clock::now() + call.timeout;
  peer.waiting.push_back({std::move(call), std::move(take), expires_at});
  m_state->Next(key);
}

void HttpClient::Forget(const fleet::Endpoint& address) {
  const auto peer = m_state->peers.find({address.host, address.port});
  if (peer != m_state->peers.end()) {
    peer->second.idle.clear();
  }
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

void HttpClient::State::Next(const PeerKey& key) {
  Peer& peer = peers[key];
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
      Send(key, std::move(connection), std::move(pending));
    } else {
      Connect(key, std::move(pending));
    }
  }
}

void HttpClient::State::Connect(const PeerKey& key, Pending pending) {
  boost::system::error_code failed;
  const auto address = boost::asio::ip::make_address(key.first, failed);
  if (failed) {
    Fail(key, pending,
         internal::Failure(CallResult::kNotSent, failed.message()));
    return;
  }
  ++opened;
  auto connection = std::make_shared<internal::Connection>(io.Context());
  connection->stream.expires_after(limits.connect_timeout);
  connection->stream.async_connect(
      internal::Tcp::endpoint(address, key.second),
      [self = shared_from_this(), key, connection,
       pending =
           std::move(pending)](const boost::system::error_code& error) mutable {
        if (error) {
          self->Fail(key, pending,
                     internal::Failure(CallResult::kNotSent, error.message()));
          return;
        }
        boost::system::error_code unset;
        connection->stream.socket().set_option(internal::Tcp::no_delay(true),
                                               unset);
        // Options of the socket that are not set leave only the time-outs.
        ::setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP,
                     TCP_USER_TIMEOUT, &internal::kUserTimeoutMs,
                     sizeof internal::kUserTimeoutMs);
        self->Send(key, std::move(connection), std::move(pending));
      });
}

void HttpClient::State::Send(const PeerKey& key,
                             ConnectionPtr connection,
                             Pending pending) {
  internal::Prepare(pending.call, connection->request);
  internal::Connection& used = *connection;
  used.stream.expires_at(pending.expires_at);
  internal::http::async_write(
      used.stream, used.request,
      [self = shared_from_this(), key, connection = std::move(connection),
       pending = std::move(pending)](const boost::system::error_code& error,
                                     std::size_t /*sent*/) mutable {
        if (error) {
          self->Fail(key, pending,
                     internal::Failure(CallResult::kUnknown, error.message()));
          return;
        }
        self->Receive(key, std::move(connection), std::move(pending));
      });
}

void HttpClient::State::Receive(const PeerKey& key,
                                ConnectionPtr connection,
                                Pending pending) {
  internal::Connection& used = *connection;
  used.parser.emplace();
  used.parser->body_limit(limits.answer_bytes);
  internal::http::async_read(
      used.stream, used.buffer, *used.parser,
      [self = shared_from_this(), key, connection = std::move(connection),
       pending = std::move(pending)](const boost::system::error_code& error,
                                     std::size_t /*read*/) mutable {
        if (error) {
          self->Fail(key, pending,
                     internal::Failure(CallResult::kUnknown, error.message()));
          return;
        }
        self->Finish(key, connection, pending);
      });
}

void HttpClient::State::Finish(const PeerKey& key,
                               const ConnectionPtr& connection,
                               const Pending& pending) {
  auto message = connection->parser->release();
  Peer& peer = peers[key];
  --peer.busy;
  if (message.keep_alive()) {
    connection->parser.reset();
    connection->stream.expires_never();
    connection->used_at = std::chrono::steady_clock::now();
    peer.idle.push_back(connection);
  }
  HttpReply reply;
  reply.result = CallResult::kAnswered;
  reply.status = static_cast<int>(message.result_int());
  reply.body = std::move(message.body());
  Next(key);
  pending.take(std::move(reply));
}

void HttpClient::State::Fail(const PeerKey& key,
                             const Pending& pending,
                             HttpReply reply) {
  --peers[key].busy;
  Next(key);
  pending.take(std::move(reply));
}

}  // namespace crocusmast::adapters::async
