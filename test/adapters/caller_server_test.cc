#include "crocusmast/adapters/caller_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <thread>

#include "crocusmast/adapters/admin_server.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using trompeloeil::_;

const httplib::Headers kHeaders{{"Crocusmast-Request-Id", "r"},
                                {"Crocusmast-Plan", "p"},
                                {"Crocusmast-Kind", "k"}};

/**
 * @brief Uses a server that refuses every request, because the ring of the
 * routing thread is full.
 */
class CallerServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerServerTest);
  CPPUNIT_TEST(RequestsAreRefusedIfRouterRingIsFull);
  CPPUNIT_TEST(ErrorNamesInvalidHeader);
  CPPUNIT_TEST(OversizedBodyAndHeaderAreRefused);
  CPPUNIT_TEST(DrainingServerIsNotReady);
  CPPUNIT_TEST(ExcessConnectionsAreRefusedImmediately);
  CPPUNIT_TEST(WrongOperatorTokenIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_ring.TryPush(routing::Message());
    m_port = test::FindFreePort();
    m_server = adapters::CallerServer::Create(
                   {"127.0.0.1", m_port}, 2,
                   {m_executor, m_clock, [] { return true; }})
                   .value();
  }

  void tearDown() override { m_server.reset(); }

  void RequestsAreRefusedIfRouterRingIsFull() {
    const auto response = Post(kHeaders, "body");
    CPPUNIT_ASSERT_EQUAL(503, response->status);
    CPPUNIT_ASSERT_EQUAL(std::string("refused"),
                         response->get_header_value("Crocusmast-Outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"),
                         response->get_header_value("Crocusmast-Reason"));
    CPPUNIT_ASSERT(!response->get_header_value("Retry-After").empty());
  }

  void ErrorNamesInvalidHeader() {
    const auto response = Post({{"Crocusmast-Request-Id", "r"}}, "body");
    CPPUNIT_ASSERT_EQUAL(400, response->status);
    CPPUNIT_ASSERT(
        response->body.rfind("decode headers (Crocusmast-Plan)", 0) == 0);
    CPPUNIT_ASSERT_EQUAL(std::string("refused"),
                         response->get_header_value("Crocusmast-Outcome"));
  }

  void OversizedBodyAndHeaderAreRefused() {
    const std::string body(adapters::kMaxCallerBodyBytes + 1, 'x');
    const auto response = Post(kHeaders, body);
    CPPUNIT_ASSERT(!response || response->status == 413);
    httplib::Headers headers = kHeaders;
    headers.emplace("Long", std::string(20000, 'x'));
    const auto refused = Post(headers, "body");
    CPPUNIT_ASSERT(!refused || refused->status >= 400);
    CPPUNIT_ASSERT_EQUAL(503, Post(kHeaders, "body")->status);
  }

  void DrainingServerIsNotReady() {
    httplib::Client client("127.0.0.1", m_port);
    CPPUNIT_ASSERT_EQUAL(200, client.Get("/readyz")->status);
    m_server->Drain();
    CPPUNIT_ASSERT_EQUAL(503, client.Get("/readyz")->status);
    CPPUNIT_ASSERT_EQUAL(200, client.Get("/healthz")->status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("draining"),
        Post(kHeaders, "")->get_header_value("Crocusmast-Reason"));
  }

  void ExcessConnectionsAreRefusedImmediately() {
    std::vector<std::unique_ptr<httplib::Client>> open_clients;
    for (int index = 0; index < 6; ++index) {
      open_clients.push_back(
          std::make_unique<httplib::Client>("127.0.0.1", m_port));
      open_clients.back()->set_keep_alive(true);
      const auto response =
          open_clients.back()->Post("/requests", kHeaders, "", "text/plain");
      CPPUNIT_ASSERT(response);
      CPPUNIT_ASSERT_EQUAL(503, response->status);
    }
  }

  void WrongOperatorTokenIsRefused() {
    const std::uint16_t port = test::FindFreePort();
    core::BoundedRing<configuration::Message> ring(1);
    core::BoundedRing<maintenance::Message> maintenance_ring(1);
    const auto admin =
        adapters::AdminServer::Create({"127.0.0.1", port},
                                      {{},
                                       {},
                                       "right-token",
                                       ring,
                                       m_ring,
                                       maintenance_ring,
                                       [] { return std::string("metrics\n"); },
                                       m_logger})
            .value();
    httplib::Client client("127.0.0.1", port);
    CPPUNIT_ASSERT_EQUAL(401, client.Get("/status")->status);
    client.set_bearer_token_auth("wrong-token");
    CPPUNIT_ASSERT_EQUAL(
        401, client.Put("/configuration", "{}", "application/json")->status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ring.Depth());
    client.set_bearer_token_auth("right-token");
    CPPUNIT_ASSERT_EQUAL(
        400, client.Put("/configuration", "{}", "application/json")->status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ring.Depth());
  }

 private:
  httplib::Result Post(const httplib::Headers& headers,
                       const std::string& body) {
    httplib::Client client("127.0.0.1", m_port);
    return client.Post("/requests", headers, body, "text/plain");
  }

  core::SystemClock m_clock;
  core::BoundedRing<routing::Message> m_ring{1};
  test::MockTargetPort m_targets;
  test::MockPeerClient m_peers;
  test::CountingMeter m_meter;
  test::NullLogger m_logger;
  routing::RequestExecutor m_executor{
      {m_ring, m_targets, m_peers, m_meter, m_clock}};
  std::uint16_t m_port = 0;
  std::unique_ptr<adapters::CallerServer> m_server;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CallerServerTest, "adapters");

}  // namespace
