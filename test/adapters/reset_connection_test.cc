#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "crocusmast/adapters/async/http_client.h"
#include "crocusmast/core/bounded_ring.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using adapters::async::CallResult;
using adapters::async::ClientLimits;
using adapters::async::HttpCall;
using adapters::async::HttpClient;
using adapters::async::HttpReply;
using adapters::async::IoThread;

constexpr std::chrono::milliseconds kResetDelay{50};
constexpr std::chrono::seconds kMaxTestTime{5};

class ResetConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResetConnectionTest);
  CPPUNIT_TEST(CallOnAnIdleConnectionThatWasResetIsNotSent);
  CPPUNIT_TEST(CallThatIsResetAfterItWasSentIsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a submission that is answered as unknown, so that its caller
  // must not repeat it, because the store had reset the idle connection and no
  // byte could be sent.
  void CallOnAnIdleConnectionThatWasResetIsNotSent() {
    test::ScriptedTcpServer server([](int socket) {
      test::ScriptedTcpServer::ReadRequest(socket);
      test::ScriptedTcpServer::Write(
          socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      ResetOnClose(socket);
    });
    CPPUNIT_ASSERT(CallOnce(server) == CallResult::kAnswered);
    std::this_thread::sleep_for(kResetDelay);
    CPPUNIT_ASSERT(CallOnce(server) == CallResult::kNotSent);
  }

  void CallThatIsResetAfterItWasSentIsUnknown() {
    test::ScriptedTcpServer server([](int socket) {
      test::ScriptedTcpServer::ReadRequest(socket);
      ResetOnClose(socket);
    });
    CPPUNIT_ASSERT(CallOnce(server) == CallResult::kUnknown);
  }

  void tearDown() override { m_io->Stop(); }

  void setUp() override {
    m_io = IoThread::Create(16);
    m_client = HttpClient::Create(*m_io, ClientLimits());
    m_io->Start();
  }

 private:
  static void ResetOnClose(int socket) {
    const linger reset{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }

  CallResult CallOnce(const test::ScriptedTcpServer& server) {
    // The handler shares the ring, as it may still be in TryPush() when the
    // result has been taken.
    const auto results = std::make_shared<core::BoundedRing<CallResult>>(1);
    HttpCall call;
    call.address = {"127.0.0.1", server.Port()};
    call.method = "POST";
    call.path = "/call";
    call.timeout = std::chrono::milliseconds(900);
    m_io->Post([this, call, results] {
      m_client->Call(call, [results](HttpReply&& reply) {
        results->TryPush(CallResult(reply.result));
      });
    });
    const std::optional<CallResult> result = results->PopFor(kMaxTestTime);
    CPPUNIT_ASSERT(result);
    return *result;
  }

  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<HttpClient> m_client;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ResetConnectionTest, "adapters");

}  // namespace
