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
using adapters::async::ClientLimits;
using adapters::async::HttpCall;
using adapters::async::HttpClient;
using adapters::async::HttpReply;
using adapters::async::IoThread;
using std::chrono::milliseconds;

/** @brief Below the interval of the check for expired calls. */
constexpr milliseconds kConnectDelay{20};
constexpr std::chrono::seconds kMaxTestTime{5};

class ExpiredCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExpiredCallTest);
  CPPUNIT_TEST(CallThatExpiredWhileConnectingIsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A call, such as a start command, that expires while its connection is being
  // established must not be sent; connecting may take 400 ms more.
  void CallThatExpiredWhileConnectingIsNotSent() {
    core::BoundedRing<std::string> requests(4);
    core::BoundedRing<bool> replies(4);
    test::ScriptedTcpServer server([&requests](int socket) {
      requests.TryPush(test::ScriptedTcpServer::ReadRequest(socket));
    });
    const std::unique_ptr<IoThread> io = IoThread::Create(16);
    const std::unique_ptr<HttpClient> client =
        HttpClient::Create(*io, ClientLimits());
    HttpCall call;
    call.address = {"127.0.0.1", server.Port()};
    call.method = "POST";
    call.path = "/call";
    call.timeout = milliseconds(5);
    io->Post([&] {
      client->Call(call, [&replies](HttpReply&&) { replies.TryPush(true); });
      // The connection is established later than the call expires.
      std::this_thread::sleep_for(kConnectDelay);
    });
    io->Start();
    CPPUNIT_ASSERT(replies.PopFor(kMaxTestTime));
    const std::string request = requests.PopFor(kMaxTestTime).value_or("");
    io->Stop();
    CPPUNIT_ASSERT_EQUAL(std::string(), request);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ExpiredCallTest, "adapters");

}  // namespace
