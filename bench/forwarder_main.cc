// A minimal forwarder on the same HTTP library, as the baseline for comparisons
// of cost.

#include <httplib.h>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>

#include "crocusmast/adapters/http_server.h"
#include "crocusmast/adapters/target_client.h"

namespace {

using crocusmast::fleet::Endpoint;

constexpr std::size_t kThreads = 128;
constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;
constexpr std::chrono::seconds kTimeout{10};
constexpr int kUnavailable = 503;

void Forward(crocusmast::adapters::TargetClient& targets,
             const Endpoint& target,
             const httplib::Request& request,
             httplib::Response& response) {
  using crocusmast::core::Handle;
  crocusmast::request::RequestSpec spec;
  spec.id = crocusmast::core::RequestId::Create(
                request.get_header_value("Crocusmast-Request-Id"))
                .value();
  auto result = targets.Send({}, target, spec, request.body, kTimeout);
  response.status =
      result.answer.status == 0 ? kUnavailable : result.answer.status;
  response.set_content(result.answer.body, result.answer.content_type);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options("crocusmast-forwarder",
                           "Forwards requests to one target, as a baseline.");
  options.add_options()("port", "listen port",
                        cxxopts::value<int>()->default_value("8090"))(
      "target-port", "port of the target",
      cxxopts::value<int>()->default_value("20000"));
  const auto parsed = options.parse(argc, argv);
  const Endpoint target{
      "127.0.0.1", static_cast<std::uint16_t>(parsed["target-port"].as<int>())};
  const auto targets = crocusmast::adapters::TargetClient::Create();
  crocusmast::adapters::internal::HttpServer server({kThreads, kMaxBodyBytes});
  server.Routes().Post("/requests", [&](const httplib::Request& request,
                                        httplib::Response& response) {
    Forward(*targets, target, request, response);
  });
  return crocusmast::core::Handle(
      [&]() -> crocusmast::core::Result<int> {
        BOOST_LEAF_CHECK(server.Start(
            {"127.0.0.1",
             static_cast<std::uint16_t>(parsed["port"].as<int>())}));
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        int received = 0;
        sigwait(&signals, &received);
        return EXIT_SUCCESS;
      },
      [](const crocusmast::core::Error& error) {
        std::cerr << "crocusmast-forwarder: " << Describe(error) << "\n";
        return EXIT_FAILURE;
      });
}
