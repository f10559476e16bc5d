#include "crocusmast/adapters/target_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "test/support/factories.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using request::DeliveryStatus;
using routing::AttemptResult;
using test::ScriptedTcpServer;

constexpr char kOkResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n"
    "\r\nok";

class TargetClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetClientTest);
  CPPUNIT_TEST(RequestIsNotRunIfConnectionIsRefused);
  CPPUNIT_TEST(RequestIsNotResentIfConnectionIsClosed);
  CPPUNIT_TEST(OutcomeIsUnknownAfterIncompleteResponse);
  CPPUNIT_TEST(OutcomeIsUnknownAfterTimeout);
  CPPUNIT_TEST(ResponsesAreClassified);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestIsNotRunIfConnectionIsRefused() {
    const AttemptResult result = Send(test::FindFreePort());
    CPPUNIT_ASSERT(result.report.delivery == DeliveryStatus::kNotRun);
    CPPUNIT_ASSERT(result.report.is_failure);
  }

  void RequestIsNotResentIfConnectionIsClosed() {
    std::atomic<int> requests{0};
    ScriptedTcpServer server([&](int socket) {
      ScriptedTcpServer::ReadRequest(socket);
      ++requests;
      ScriptedTcpServer::Write(socket, kOkResponse);
      if (!ScriptedTcpServer::ReadRequest(socket).empty()) {
        ++requests;
      }
    });
    CPPUNIT_ASSERT(Send(server.Port()).report.delivery ==
                   DeliveryStatus::kAnswered);
    CPPUNIT_ASSERT(Send(server.Port()).report.delivery ==
                   DeliveryStatus::kUnknown);
    CPPUNIT_ASSERT_EQUAL(2, requests.load());
    CPPUNIT_ASSERT_EQUAL(1, server.AcceptedConnections());
  }

  void OutcomeIsUnknownAfterIncompleteResponse() {
    ScriptedTcpServer server([](int socket) {
      ScriptedTcpServer::ReadRequest(socket);
      ScriptedTcpServer::Write(
          socket, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
    });
    CPPUNIT_ASSERT(Send(server.Port()).report.delivery ==
                   DeliveryStatus::kUnknown);
  }

  void OutcomeIsUnknownAfterTimeout() {
    ScriptedTcpServer server([](int socket) {
      ScriptedTcpServer::ReadRequest(socket);
      ScriptedTcpServer::ReadRequest(socket);
    });
    CPPUNIT_ASSERT(
        Send(server.Port(), std::chrono::milliseconds(50)).report.delivery ==
        DeliveryStatus::kUnknown);
  }

  void ResponsesAreClassified() {
    AttemptResult result = SendAndRespond("200 OK", "Target-Leaving: 1\r\n");
    CPPUNIT_ASSERT(result.report.is_leaving && !result.report.is_failure);
    result = SendAndRespond("404 Not Found", "");
    CPPUNIT_ASSERT(result.report.delivery == DeliveryStatus::kAnswered &&
                   !result.report.is_failure);
    result = SendAndRespond("500 Internal Server Error", "");
    CPPUNIT_ASSERT(result.report.delivery == DeliveryStatus::kAnswered &&
                   result.report.is_failure);
    result = SendAndRespond("429 Too Many Requests", "Retry-After: 3\r\n");
    CPPUNIT_ASSERT(result.report.is_throttled && !result.report.is_failure);
    CPPUNIT_ASSERT(result.report.backoff == std::chrono::seconds(3));
    result = SendAndRespond("503 Service Unavailable", "Target-Not-Run: 1\r\n");
    CPPUNIT_ASSERT(result.report.delivery == DeliveryStatus::kNotRun);
  }

 private:
  AttemptResult Send(std::uint16_t port,
                     core::Duration wait = std::chrono::seconds(5)) {
    return m_client->Send(
        test::MakeId<core::InstanceId>("t"), {"127.0.0.1", port},
        test::MakeRequestSpec("r", {}, request::RetrySafety::kAtMostOnce),
        "body", wait);
  }

  AttemptResult SendAndRespond(const std::string& status,
                               const std::string& headers) {
    ScriptedTcpServer server([&](int socket) {
      ScriptedTcpServer::ReadRequest(socket);
      ScriptedTcpServer::Write(socket, "HTTP/1.1 " + status + "\r\n" + headers +
                                           "Content-Length: 0\r\n\r\n");
    });
    return Send(server.Port());
  }

  std::unique_ptr<adapters::TargetClient> m_client =
      adapters::TargetClient::Create();
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetClientTest, "adapters");

}  // namespace
