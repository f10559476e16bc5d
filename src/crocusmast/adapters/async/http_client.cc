#include "crocusmast/adapters/async/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
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

#include "crocusmast/adapters/async/http_connection.h"
#include "crocusmast/adapters/async/read_buffer.h"

namespace crocusmast::adapters::async {
namespace internal {

HttpReply MakeFailure(CallResult result, std::string error_text) {
  HttpReply reply;
  reply.result = result;
  reply.error = std::move(error_text);
  return reply;
}

/**
 * @brief Formats a request as one string, so that it is sent from one buffer.
 */
std::string FormatRequest(const HttpCall& call) {
  std::string text;
  constexpr std::size_t kTypicalHeaderBytes = 256;
  text.reserve(kTypicalHeaderBytes + call.body.size());
  text.append(call.method).append(" ").append(call.path);
  text.append(" HTTP/1.1\r\nHost: ").append(call.address.host);
  text.append(":").append(std::to_string(call.address.port)).append("\r\n");
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

using internal::ConnectionPool;
using internal::ConnectionPtr;
using internal::PendingCall;
using internal::PoolKey;

/** @brief Connection pools by address; outlives the calls in progress. */
struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  State(IoThread& io_thread, ClientLimits client_limits)
      : io(io_thread), limits(client_limits) {}

  void StartQueued(ConnectionPool& pool);
  void Connect(ConnectionPool& pool, PendingCall pending);
  void Send(ConnectionPtr connection);
  void Receive(ConnectionPtr connection);
  void ReceivePart(ConnectionPtr connection);
  void Finish(const ConnectionPtr& connection);
  void Fail(const ConnectionPtr& connection,
            CallResult result,
            const boost::system::error_code& error);
  void Activate(const ConnectionPtr& connection,
                internal::SteadyTime expires_at);
  void CloseExpired();
  static ConnectionPtr TakeIdle(ConnectionPool& pool);

  IoThread& io;
  const ClientLimits limits;
  std::map<PoolKey, ConnectionPool> pools;
  /** @brief Connections with an operation in progress. */
  std::set<ConnectionPtr> active;
  bool is_expiry_check_scheduled = false;
  std::uint64_t connections_opened = 0;
};

std::unique_ptr<HttpClient> HttpClient::Create(IoThread& io,
                                               ClientLimits limits) {
  return std::unique_ptr<HttpClient>(new HttpClient(io, limits));
}

HttpClient::HttpClient(IoThread& io, ClientLimits limits)
    : m_state(std::make_shared<State>(io, limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Call(HttpCall call, ReplyHandler on_reply) {
  ConnectionPool& pool =
      m_state->pools
          .try_emplace(PoolKey(call.address.host, call.address.port),
                       call.address)
          .first->second;
  if (pool.queued_calls.size() >= m_state->limits.queued_calls) {
    on_reply(internal::MakeFailure(CallResult::kNotSent,
                                   "too many calls are queued"));
    return;
  }
  const auto expires_at = std::chrono::steady_clock::now() + call.timeout;
  pool.queued_calls.push_back(
      {std::move(call), std::move(on_reply), expires_at});
  m_state->StartQueued(pool);
}

std::uint64_t HttpClient::ConnectionsOpened() const {
  return m_state->connections_opened;
}

ConnectionPtr HttpClient::State::TakeIdle(ConnectionPool& pool) {
  const auto now = std::chrono::steady_clock::now();
  while (!pool.idle.empty()) {
    ConnectionPtr connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    const auto idle = now - connection->idle_since;
    const bool is_usable =
        idle < internal::kMaxUncheckedIdleTime ||
        (idle < internal::kMaxIdleTime && !connection->IsStale());
    if (is_usable) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::State::StartQueued(ConnectionPool& pool) {
  while (!pool.queued_calls.empty() &&
         pool.busy_connections < limits.connections) {
    PendingCall pending = std::move(pool.queued_calls.front());
    pool.queued_calls.pop_front();
    if (pending.expires_at <= std::chrono::steady_clock::now()) {
      pending.on_reply(internal::MakeFailure(
          CallResult::kNotSent,
          "no connection became free before the time-out"));
      continue;
    }
    ++pool.busy_connections;
    if (ConnectionPtr connection = TakeIdle(pool); connection) {
      connection->pending = std::move(pending);
      Send(std::move(connection));
    } else {
      Connect(pool, std::move(pending));
    }
  }
}

void HttpClient::State::Activate(const ConnectionPtr& connection,
                                 internal::SteadyTime expires_at) {
  connection->expires_at = expires_at;
  active.insert(connection);
  if (!is_expiry_check_scheduled) {
    is_expiry_check_scheduled = true;
    io.RunAfter(internal::kExpiryCheckInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self) {
        self->CloseExpired();
      }
    });
  }
}

void HttpClient::State::CloseExpired() {
  is_expiry_check_scheduled = false;
  const auto now = std::chrono::steady_clock::now();
  for (const ConnectionPtr& connection : active) {
    if (connection->expires_at <= now && !connection->is_expired) {
      connection->is_expired = true;
      // Aborts the operation in progress; its handler receives the error.
      connection->Reset();
    }
  }
  if (!active.empty()) {
    is_expiry_check_scheduled = true;
    io.RunAfter(internal::kExpiryCheckInterval,
                [self = shared_from_this()] { self->CloseExpired(); });
  }
}

void HttpClient::State::Connect(ConnectionPool& pool, PendingCall pending) {
  auto connection = std::make_shared<internal::Connection>(io.Context(), pool);
  connection->pending = std::move(pending);
  boost::system::error_code failed;
  const auto address = boost::asio::ip::make_address(pool.address.host, failed);
  if (failed) {
    Fail(connection, CallResult::kNotSent, failed);
    return;
  }
  ++connections_opened;
  Activate(connection,
           std::chrono::steady_clock::now() + limits.connect_timeout);
  internal::Socket& socket = connection->socket;
  socket.async_connect(
      internal::Tcp::endpoint(address, pool.address.port),
      [self = shared_from_this(), connection = std::move(connection)](
          const boost::system::error_code& error) mutable {
        if (error) {
          self->Fail(connection, CallResult::kNotSent, error);
          return;
        }
        if (connection->pending.expires_at <=
            std::chrono::steady_clock::now()) {
          connection->is_expired = true;
          self->Fail(connection, CallResult::kNotSent, error);
          return;
        }
        boost::system::error_code option_error;
        connection->socket.set_option(internal::Tcp::no_delay(true),
                                      option_error);
        // A failure is ignored: the time-outs of the calls still apply.
        ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP,
                     TCP_USER_TIMEOUT, &internal::kTcpUserTimeoutMs,
                     sizeof internal::kTcpUserTimeoutMs);
        self->Send(std::move(connection));
      });
}

void HttpClient::State::Send(ConnectionPtr connection) {
  internal::Connection& current = *connection;
  Activate(connection, current.pending.expires_at);
  current.request = internal::FormatRequest(current.pending.call);
  boost::asio::async_write(
      current.socket, boost::asio::buffer(current.request),
      [self = shared_from_this(), connection = std::move(connection)](
          const boost::system::error_code& error, std::size_t sent) mutable {
        if (error) {
          self->Fail(connection,
                     sent == 0 ? CallResult::kNotSent : CallResult::kUnknown,
                     error);
          return;
        }
        self->Receive(std::move(connection));
      });
}

void HttpClient::State::Receive(ConnectionPtr connection) {
  internal::Connection& current = *connection;
  current.parser.emplace();
  current.parser->body_limit(limits.response_bytes);
  current.parser->eager(true);
  current.progress = 0;
  ReceivePart(std::move(connection));
}

void HttpClient::State::ReceivePart(ConnectionPtr connection) {
  internal::Connection& current = *connection;
  internal::http::async_read_some(
      current.socket, current.buffer, *current.parser,
      [self = shared_from_this(), connection = std::move(connection)](
          const boost::system::error_code& error, std::size_t read) mutable {
        if (error) {
          self->Fail(connection, CallResult::kUnknown, error);
          return;
        }
        if (connection->parser->is_done()) {
          self->Finish(connection);
          return;
        }
        ReserveForBody(connection->buffer, *connection->parser);
        connection->ExtendExpiry(read);
        self->ReceivePart(std::move(connection));
      });
}

void HttpClient::State::Finish(const ConnectionPtr& connection) {
  auto message = connection->parser->release();
  connection->parser.reset();
  active.erase(connection);
  ConnectionPool& pool = connection->pool;
  --pool.busy_connections;
  const HttpClient::ReplyHandler on_reply =
      std::move(connection->pending.on_reply);
  if (message.keep_alive() && !connection->is_expired) {
    ShrinkIdleBuffer(connection->buffer);
    connection->idle_since = std::chrono::steady_clock::now();
    pool.idle.push_back(connection);
  }
  HttpReply reply;
  reply.result = CallResult::kAnswered;
  reply.status = static_cast<int>(message.result_int());
  reply.body = std::move(message.body());
  StartQueued(pool);
  on_reply(std::move(reply));
}

void HttpClient::State::Fail(const ConnectionPtr& connection,
                             CallResult result,
                             const boost::system::error_code& error) {
  connection->Reset();
  active.erase(connection);
  ConnectionPool& pool = connection->pool;
  --pool.busy_connections;
  const HttpClient::ReplyHandler on_reply =
      std::move(connection->pending.on_reply);
  StartQueued(pool);
  HttpReply reply = internal::MakeFailure(
      result, connection->is_expired ? "timed out" : error.message());
  reply.is_timed_out = connection->is_expired && result == CallResult::kUnknown;
  on_reply(std::move(reply));
}

}  // namespace crocusmast::adapters::async
