#include "crocusmast/adapters/async/http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "crocusmast/adapters/async/read_buffer.h"

namespace crocusmast::adapters::async {
namespace internal {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;

/**
 * @brief Delay before the next accept after one failed, for example because no
 * file descriptors were left.
 */
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

class Session;

}  // namespace internal

/** @brief The acceptor and the state shared by its sessions. */
struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(IoThread& io_thread, ServerLimits server_limits, RequestHandler handler)
      : io(io_thread),
        acceptor(io_thread.Context()),
        limits(server_limits),
        on_request(std::move(handler)) {}

  core::Result<void> Listen(const fleet::Endpoint& address);
  void Accept();

  IoThread& io;
  internal::Tcp::acceptor acceptor;
  ServerLimits limits;
  RequestHandler on_request;
  bool is_draining = false;
  std::atomic<std::size_t> connections{0};
};

namespace internal {

/** @brief One connection, which processes one request at a time. */
class Session final : public HttpExchange,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, std::shared_ptr<HttpServer::State> server)
      : m_stream(std::move(socket)), m_server(std::move(server)) {
    ++m_server->connections;
  }
  ~Session() override { --m_server->connections; }

  void ReadRequest();

  std::string_view Method() const override {
    const auto text = m_request.method_string();
    return {text.data(), text.size()};
  }
  std::string_view Path() const override {
    const auto text = m_request.target();
    return {text.data(), text.size()};
  }
  std::string_view Header(std::string_view name) const override {
    const auto text = m_request[beast::string_view(name.data(), name.size())];
    return {text.data(), text.size()};
  }
  const std::string& Body() const override { return m_request.body(); }
  void Respond(HttpResponse response) override;

 private:
  void ReadHeader();
  void ReadBody();
  void HandleReadError(const boost::system::error_code& error);
  void Write(HttpResponse response, bool keep_alive);

  beast::tcp_stream m_stream;
  std::shared_ptr<HttpServer::State> m_server;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::request<http::string_body> m_request;
  http::response<http::string_body> m_response;
};

void Session::ReadRequest() {
  m_parser.emplace();
  m_parser->header_limit(m_server->limits.header_bytes);
  m_parser->body_limit(m_server->limits.body_bytes);
  ShrinkIdleBuffer(m_buffer);
  if (m_buffer.size() > 0) {
    ReadHeader();
    return;
  }
  m_stream.expires_after(m_server->limits.idle_timeout);
  http::async_read_some(
      m_stream, m_buffer, *m_parser,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*read*/) {
        if (error) {
          self->HandleReadError(error);
        } else {
          self->ReadHeader();
        }
      });
}

void Session::ReadHeader() {
  m_stream.expires_after(m_server->limits.read_timeout);
  if (m_parser->is_header_done()) {
    ReadBody();
    return;
  }
  http::async_read_header(
      m_stream, m_buffer, *m_parser,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*read*/) {
        if (error) {
          self->HandleReadError(error);
        } else {
          self->ReadBody();
        }
      });
}

void Session::ReadBody() {
  const auto on_body_read = [self = shared_from_this()](
                                const boost::system::error_code& error,
                                std::size_t /*read*/) {
    if (error) {
      self->HandleReadError(error);
      return;
    }
    self->m_request = self->m_parser->release();
    self->m_stream.expires_never();
    self->m_server->on_request(self);
  };
  if (m_parser->is_done()) {
    on_body_read({}, 0);
    return;
  }
  ReserveForBody(m_buffer, *m_parser);
  http::async_read(m_stream, m_buffer, *m_parser, on_body_read);
}

void Session::HandleReadError(const boost::system::error_code& error) {
  HttpResponse response;
  if (error == http::error::body_limit) {
    response.status = 413;
  } else if (error == http::error::header_limit) {
    response.status = 431;
  } else if (error == beast::error::timeout && m_parser &&
             m_parser->got_some()) {
    response.status = 408;
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    response.status = 400;
  } else {
    return;
  }
  m_request = {};
  Write(std::move(response), false);
}

void Session::Respond(HttpResponse response) {
  Write(std::move(response), m_request.keep_alive() && !m_server->is_draining);
}

void Session::Write(HttpResponse response, bool keep_alive) {
  m_response = {};
  m_response.version(11);
  m_response.result(response.status);
  m_response.keep_alive(keep_alive);
  for (const auto& [name, value] : response.headers) {
    m_response.set(name, value);
  }
  if (!response.body.empty()) {
    m_response.set(http::field::content_type, response.content_type);
  }
  m_response.body() = std::move(response.body);
  m_response.prepare_payload();
  m_stream.expires_after(m_server->limits.write_timeout);
  http::async_write(
      m_stream, m_response,
      [self = shared_from_this(), keep_alive](
          const boost::system::error_code& error, std::size_t /*sent*/) {
        if (!error && keep_alive) {
          self->ReadRequest();
          return;
        }
        boost::system::error_code shutdown_error;
        self->m_stream.socket().shutdown(Tcp::socket::shutdown_send,
                                         shutdown_error);
      });
}

}  // namespace internal

core::Result<void> HttpServer::State::Listen(const fleet::Endpoint& address) {
  boost::system::error_code failed;
  const internal::Tcp::endpoint endpoint(
      boost::asio::ip::make_address(address.host, failed), address.port);
  if (!failed) {
    acceptor.open(endpoint.protocol(), failed);
  }
  if (!failed) {
    acceptor.set_option(internal::Tcp::acceptor::reuse_address(true), failed);
  }
  if (!failed) {
    acceptor.bind(endpoint, failed);
  }
  if (!failed) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
  }
  if (failed) {
    return core::Fail(core::Operation::kListen,
                      address.host + ":" + std::to_string(address.port),
                      failed.message());
  }
  return {};
}

void HttpServer::State::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  internal::Tcp::socket socket) {
        if (error) {
          self->io.RunAfter(internal::kAcceptRetryDelay,
                            [self] { self->Accept(); });
          return;
        }
        boost::system::error_code option_error;
        socket.set_option(internal::Tcp::no_delay(true), option_error);
        if (self->connections < self->limits.connections) {
          std::make_shared<internal::Session>(std::move(socket), self)
              ->ReadRequest();
        }
        self->Accept();
      });
}

core::Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    IoThread& io,
    const fleet::Endpoint& address,
    ServerLimits limits,
    RequestHandler on_request) {
  auto state = std::make_shared<State>(io, limits, std::move(on_request));
  BOOST_LEAF_CHECK(state->Listen(address));
  state->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state)) {}

HttpServer::~HttpServer() = default;

void HttpServer::SetLimits(ServerLimits limits) {
  m_state->limits = limits;
}

void HttpServer::Drain() {
  m_state->is_draining = true;
}

std::size_t HttpServer::Connections() const {
  return m_state->connections;
}

}  // namespace crocusmast::adapters::async
