#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "crocusmast/adapters/async/http_client.h"
#include "crocusmast/adapters/async/http_server.h"
#include "test/support/busy_loop.h"
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

/** @brief Time-out of a call to the store. */
constexpr std::chrono::milliseconds kStoreTimeout{900};
/** @brief Time that a turn of the occupied event loop takes. */
constexpr std::chrono::milliseconds kTurn{5};
/** @brief Turns within the time-out. */
constexpr std::int64_t kMaxTurns = kStoreTimeout / kTurn;
constexpr std::size_t kLargeBytes = std::size_t{256} * 1024;
constexpr std::size_t kStorePageBytes = std::size_t{1024} * 1024;

class AsyncBusyLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AsyncBusyLoopTest);
  CPPUNIT_TEST(LargeReplyIsReadWithinTimeout);
  CPPUNIT_TEST(LargestStorePageIsReadWithinTimeout);
  CPPUNIT_TEST(LargeReplyOnReusedConnectionIsReadWithinTimeout);
  CPPUNIT_TEST(LargeRequestIsReadWithinTimeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = IoThread::Create(1024);
    m_client = HttpClient::Create(*m_io, ClientLimits());
  }

  void tearDown() override {
    m_io->Stop();
    m_client.reset();
    m_io.reset();
    m_loop.reset();
  }

  // A reply that is read in small pieces takes one turn of the event loop for
  // each, so that a busy loop delays it beyond its time-out.
  void LargeReplyIsReadWithinTimeout() { CheckReplies(1, kLargeBytes); }

  // The largest page of the store times out on a busy loop if it is read in
  // small pieces.
  void LargestStorePageIsReadWithinTimeout() {
    CheckReplies(1, kStorePageBytes);
  }

  // A connection that has carried a small reply reads the next reply in pieces
  // of the small one's size.
  void LargeReplyOnReusedConnectionIsReadWithinTimeout() {
    CheckReplies(2, kLargeBytes);
  }

  // A request that is read in small pieces keeps its caller waiting for one
  // turn of a busy event loop for each.
  void LargeRequestIsReadWithinTimeout() {
    const std::uint16_t port = test::FindFreePort();
    const auto server =
        HttpServer::Create(*m_io, {"127.0.0.1", port}, ServerLimits(),
                           [](std::shared_ptr<HttpExchange> exchange) {
                             HttpResponse response;
                             response.body =
                                 std::to_string(exchange->Body().size());
                             exchange->Respond(std::move(response));
                           })
            .value();
    OccupyLoop();
    const std::unique_ptr<IoThread> caller_io = IoThread::Create(16);
    const std::unique_ptr<HttpClient> caller =
        HttpClient::Create(*caller_io, ClientLimits());
    caller_io->Start();
    const HttpReply reply =
        Call(*caller_io, *caller, port, std::string(kLargeBytes, 'x'));
    caller_io->Stop();
    m_io->Stop();
    CheckAnswered(reply);
    CPPUNIT_ASSERT_EQUAL(std::to_string(kLargeBytes), reply.body);
  }

 private:
  void OccupyLoop() {
    m_loop = std::make_unique<test::BusyLoop>(*m_io, kTurn);
    m_io->Start();
  }

  /**
   * @brief Checks replies on one connection, the last of which is large.
   * @param count The number of replies.
   * @param large_bytes The size of the large reply's body.
   */
  void CheckReplies(int count, std::size_t large_bytes) {
    test::ScriptedTcpServer server([count, large_bytes](int socket) {
      for (int sent = 1; sent <= count; ++sent) {
        test::ScriptedTcpServer::ReadRequest(socket);
        const std::string body(sent < count ? 1 : large_bytes, 'x');
        test::ScriptedTcpServer::Write(
            socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
      }
    });
    OccupyLoop();
    HttpReply reply;
    for (int received = 0; received < count; ++received) {
      reply = Call(*m_io, *m_client, server.Port(), "");
      CheckAnswered(reply);
    }
    CPPUNIT_ASSERT_EQUAL(large_bytes, reply.body.size());
    CPPUNIT_ASSERT_EQUAL(1, server.AcceptedConnections());
  }

  void CheckAnswered(const HttpReply& reply) {
    const std::string seen = (reply.error.empty() ? "answered" : reply.error) +
                             " after " + std::to_string(m_turns) +
                             " turns of the event loop";
    CPPUNIT_ASSERT_MESSAGE(seen, reply.result == CallResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(200, reply.status);
    CPPUNIT_ASSERT_MESSAGE(seen, m_turns < kMaxTurns);
  }

  HttpReply Call(IoThread& io,
                 HttpClient& client,
                 std::uint16_t port,
                 const std::string& body) {
    HttpCall call;
    call.address = {"127.0.0.1", port};
    call.method = "POST";
    call.path = "/call";
    call.body = body;
    call.timeout = kStoreTimeout;
    std::promise<HttpReply> done;
    const std::int64_t turns = m_loop->Turns();
    io.Post([&] {
      client.Call(call, [&done](HttpReply&& reply) {
        done.set_value(std::move(reply));
      });
    });
    HttpReply reply = done.get_future().get();
    m_turns = m_loop->Turns() - turns;
    return reply;
  }

  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<test::BusyLoop> m_loop;
  /** @brief Turns of the event loop during the last call. */
  std::int64_t m_turns = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(AsyncBusyLoopTest, "adapters");

}  // namespace
