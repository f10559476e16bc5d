#include "crocusmast/adapters/caller_server.h"

#include <string>
#include <utility>

#include "crocusmast/adapters/caller_headers.h"
#include "crocusmast/adapters/http_server.h"

namespace crocusmast::adapters {
namespace internal {

using request::Outcome;
using request::Reason;
using routing::RequestResult;

constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::chrono::seconds kRefusalRetryAfter{2};

RequestResult MakeRefusal(Reason reason) {
  RequestResult reply;
  reply.reason = reason;
  reply.retry_after = kRefusalRetryAfter;
  return reply;
}

CallerHeaders ReadHeaders(const httplib::Request& request) {
  return CallerHeaders{request.get_header_value("Crocusmast-Request-Id"),
                       request.get_header_value("Crocusmast-Plan"),
                       request.get_header_value("Crocusmast-Kind"),
                       request.get_header_value("Crocusmast-Urgency"),
                       request.get_header_value("Crocusmast-Repeatable"),
                       request.get_header_value("Crocusmast-Deadline-Ms")};
}

std::string DescribeReply(const RequestResult& reply) {
  return std::string(request::OutcomeName(reply.outcome)) + ": " +
         std::string(request::ReasonName(reply.reason)) + "\n";
}

int HttpStatusOf(const RequestResult& reply) {
  if (reply.reason == Reason::kBadRequest) {
    return kBadRequest;
  }
  return reply.outcome == Outcome::kRefused ? kUnavailable : kBadGateway;
}

void WriteReply(const RequestResult& reply, httplib::Response& response) {
  response.set_header("Crocusmast-Outcome",
                      std::string(request::OutcomeName(reply.outcome)));
  if (reply.outcome == Outcome::kAnswered) {
    response.status = reply.answer.status;
    response.set_header("Crocusmast-Source", reply.source.Text());
    response.set_content(reply.answer.body, reply.answer.content_type);
    return;
  }
  response.status = HttpStatusOf(reply);
  response.set_header("Crocusmast-Reason",
                      std::string(request::ReasonName(reply.reason)));
  response.set_header("Retry-After", std::to_string(reply.retry_after.count()));
  response.set_content(DescribeReply(reply), "text/plain");
}

}  // namespace internal

/** @brief The HTTP server, its dependencies and its state. */
struct CallerServer::State {
  State(std::size_t threads, CallerServerPorts server_ports)
      : ports(std::move(server_ports)),
        server({threads, kMaxCallerBodyBytes}) {}

  void AddRoutes();
  void Serve(const httplib::Request& request, httplib::Response& response);
  routing::RequestResult Run(const httplib::Request& request,
                             std::string& error_text) const;

  CallerServerPorts ports;
  std::atomic<std::size_t> in_flight{0};
  std::atomic<bool> is_draining{false};
  internal::HttpServer server;
};

routing::RequestResult CallerServer::State::Run(const httplib::Request& request,
                                                std::string& error_text) const {
  if (is_draining || internal::IsOverflowThread()) {
    return internal::MakeRefusal(is_draining ? request::Reason::kDraining
                                             : request::Reason::kOverloaded);
  }
  return core::Handle(
      [&]() -> core::Result<routing::RequestResult> {
        BOOST_LEAF_AUTO(spec, ParseCallerHeaders(internal::ReadHeaders(request),
                                                 ports.clock.Now()));
        return ports.executor.Run(spec, request.body, false);
      },
      [&](const core::Error& error) {
        error_text = core::Describe(error) + "\n";
        return internal::MakeRefusal(request::Reason::kBadRequest);
      });
}

void CallerServer::State::Serve(const httplib::Request& request,
                                httplib::Response& response) {
  in_flight.fetch_add(1);
  std::string error_text;
  const routing::RequestResult reply = Run(request, error_text);
  internal::WriteReply(reply, response);
  if (!error_text.empty()) {
    response.set_content(error_text, "text/plain");
  }
  if (is_draining || internal::IsOverflowThread() ||
      internal::IsNearThreadLimit()) {
    response.set_header("Connection", "close");
  }
  in_flight.fetch_sub(1);
}

void CallerServer::State::AddRoutes() {
  httplib::Server& routes = server.Routes();
  routes.Post("/requests", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    Serve(request, response);
  });
  routes.Get("/healthz",
             [](const httplib::Request&, httplib::Response& response) {
               response.set_content("ok\n", "text/plain");
             });
  routes.Get("/readyz", [this](const httplib::Request&,
                               httplib::Response& response) {
    const bool is_ready = !is_draining && ports.is_ready();
    response.status = is_ready ? response.status : internal::kUnavailable;
    response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
  });
}

core::Result<std::unique_ptr<CallerServer>> CallerServer::Create(
    const fleet::Endpoint& address,
    std::size_t threads,
    CallerServerPorts ports) {
  auto state = std::make_unique<State>(threads, std::move(ports));
  state->AddRoutes();
  BOOST_LEAF_CHECK(state->server.Start(address));
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(state)));
}

CallerServer::CallerServer(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

CallerServer::~CallerServer() = default;

void CallerServer::Drain() {
  m_state->is_draining = true;
}

std::size_t CallerServer::InFlight() const {
  return m_state->in_flight;
}

void CallerServer::Stop() {
  m_state->server.Stop();
}

}  // namespace crocusmast::adapters
