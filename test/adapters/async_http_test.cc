#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <thread>

#include "crocusmast/adapters/async/http_client.h"
#include "crocusmast/adapters/async/http_server.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using adapters::async::CallResult;
using adapters::async::ClientLimits;
using adapters::async::HttpCall;
using adapters::async::HttpClient;
using adapters::async::HttpExchange;
using adapters::async::HttpReply;
using adapters::async::HttpResponse;
using adapters::async::HttpServer;
using adapters::async::IoThread;
using adapters::async::ServerLimits;

constexpr std::uint16_t kPort = 18463;
constexpr std::uint16_t kClosedPort = 18464;
constexpr std::chrono::seconds kDefaultTimeout{20};

class AsyncHttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AsyncHttpTest);
  CPPUNIT_TEST(CallsReuseConnection);
  CPPUNIT_TEST(OversizedBodyIsRefused);
  CPPUNIT_TEST(CallToClosedPortIsNotSent);
  CPPUNIT_TEST(OutcomeIsUnknownWithoutResponse);
  CPPUNIT_TEST(UndeliveredBytesAreDiscardedAfterTimeout);
  CPPUNIT_TEST(DrainingServerClosesConnectionAfterResponse);
  CPPUNIT_TEST(LargeReplyOverSlowLinkIsReceived);
  CPPUNIT_TEST(StalledReplyTimesOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = IoThread::Create(1024);
    ServerLimits limits;
    limits.body_bytes = 1000;
    m_server = HttpServer::Create(
                   *m_io, {"127.0.0.1", kPort}, limits,
                   [this](std::shared_ptr<HttpExchange> exchange) {
                     ++m_requests;
                     if (exchange->Path() == "/silent") {
                       m_unanswered.push_back(std::move(exchange));
                       return;
                     }
                     HttpResponse response;
                     response.body = std::string(exchange->Method()) + " " +
                                     std::string(exchange->Header("X-Name")) +
                                     " " + exchange->Body();
                     exchange->Respond(std::move(response));
                   })
                   .value();
    m_client = HttpClient::Create(*m_io, ClientLimits());
    m_io->Start();
  }

  void tearDown() override {
    m_io->Stop();
    m_unanswered.clear();
    m_client.reset();
    m_server.reset();
    m_io.reset();
  }

  void CallsReuseConnection() {
    for (int count = 0; count < 5; ++count) {
      const HttpReply reply = Call("/echo", "body");
      CPPUNIT_ASSERT(reply.result == CallResult::kAnswered);
      CPPUNIT_ASSERT_EQUAL(200, reply.status);
      CPPUNIT_ASSERT_EQUAL(std::string("POST name body"), reply.body);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_client->ConnectionsOpened());
  }

  void OversizedBodyIsRefused() {
    const HttpReply reply = Call("/echo", std::string(2000, 'x'));
    CPPUNIT_ASSERT_EQUAL(413, reply.status);
    CPPUNIT_ASSERT_EQUAL(0, m_requests);
  }

  void CallToClosedPortIsNotSent() {
    const HttpReply reply = Call("/echo", "", kClosedPort);
    CPPUNIT_ASSERT(reply.result == CallResult::kNotSent);
    CPPUNIT_ASSERT(!reply.error.empty());
  }

  void OutcomeIsUnknownWithoutResponse() {
    const HttpReply reply =
        Call("/silent", "", kPort, std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(reply.result == CallResult::kUnknown);
    // A call without a response does not block other calls.
    CPPUNIT_ASSERT(Call("/echo", "").result == CallResult::kAnswered);
  }

  // Without a reset of the connection, the kernel would deliver buffered bytes
  // when a network partition heals, and the server would execute a request long
  // after its call has timed out.
  void UndeliveredBytesAreDiscardedAfterTimeout() {
    constexpr int kReceiveBufferBytes = 8192;
    constexpr std::size_t kBodyBytes = 64 * 1024;
    std::promise<void> has_timed_out;
    std::promise<std::size_t> received;
    test::ScriptedTcpServer server(
        [&](int socket) {
          has_timed_out.get_future().wait();
          std::size_t bytes = 0;
          std::string buffer(kBodyBytes, '\0');
          for (ssize_t count = 1; count > 0;) {
            count = recv(socket, buffer.data(), buffer.size(), 0);
            bytes += count > 0 ? static_cast<std::size_t>(count) : 0;
          }
          received.set_value(bytes);
        },
        kReceiveBufferBytes);
    const HttpReply reply = Call("/order", std::string(kBodyBytes, 'x'),
                                 server.Port(), std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(reply.result == CallResult::kUnknown);
    has_timed_out.set_value();
    // The kernel doubles the buffer size for its own bookkeeping.
    CPPUNIT_ASSERT(received.get_future().get() <= 2 * kReceiveBufferBytes);
  }

  void DrainingServerClosesConnectionAfterResponse() {
    Call("/echo", "");
    std::promise<void> drained;
    m_io->Post([&] {
      m_server->Drain();
      drained.set_value();
    });
    drained.get_future().wait();
    // The open connection serves one more request and is then closed.
    CPPUNIT_ASSERT(Call("/echo", "").result == CallResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_client->ConnectionsOpened());
    CPPUNIT_ASSERT(Call("/echo", "").result == CallResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_client->ConnectionsOpened());
  }

  // A large reply over a slow link must not be discarded while it arrives, or
  // it is requested again in vain for as long as it is large.
  void LargeReplyOverSlowLinkIsReceived() {
    constexpr int kParts = 10;
    const HttpReply reply = ReceiveSlowly(kParts, kParts);
    CPPUNIT_ASSERT(reply.result == CallResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(kParts * kPartBytes, reply.body.size());
  }

  void StalledReplyTimesOut() {
    const auto called_at = std::chrono::steady_clock::now();
    const HttpReply reply = ReceiveSlowly(2, 10);
    CPPUNIT_ASSERT(reply.result == CallResult::kUnknown);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - called_at <
                   kDefaultTimeout);
  }

 private:
  static constexpr std::size_t kPartBytes = 4096;

  /** @brief Calls a server that sends its reply in parts, 100 ms apart, with a
   * time-out of 300 ms. */
  HttpReply ReceiveSlowly(int sent_parts, int announced_parts) {
    std::promise<void> is_received;
    std::shared_future<void> received = is_received.get_future().share();
    test::ScriptedTcpServer server([=](int socket) {
      test::ScriptedTcpServer::ReadRequest(socket);
      test::ScriptedTcpServer::Write(
          socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(static_cast<std::size_t>(announced_parts) *
                                     kPartBytes) +
                      "\r\n\r\n");
      for (int part = 0; part < sent_parts; ++part) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        test::ScriptedTcpServer::Write(socket, std::string(kPartBytes, 'x'));
      }
      received.wait();
    });
    const HttpReply reply =
        Call("/page", "", server.Port(), std::chrono::milliseconds(300));
    is_received.set_value();
    return reply;
  }

  HttpReply Call(const std::string& path,
                 const std::string& body,
                 std::uint16_t port = kPort,
                 std::chrono::milliseconds timeout = kDefaultTimeout) {
    HttpCall call;
    call.address = {"127.0.0.1", port};
    call.method = "POST";
    call.path = path;
    call.headers.emplace_back("X-Name", "name");
    call.body = body;
    call.timeout = timeout;
    std::promise<HttpReply> done;
    m_io->Post([&] {
      m_client->Call(call, [&done](HttpReply&& reply) {
        done.set_value(std::move(reply));
      });
    });
    return done.get_future().get();
  }

  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpClient> m_client;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
  int m_requests = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(AsyncHttpTest, "adapters");

}  // namespace
