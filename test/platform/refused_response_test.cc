#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>

#include "crocusmast/adapters/async/http_client.h"
#include "platform/api_server.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace crocusmast;
using adapters::async::CallResult;
using adapters::async::HttpCall;
using adapters::async::HttpClient;
using adapters::async::HttpReply;
using adapters::async::IoThread;
using manager::Message;

constexpr std::chrono::seconds kCallTimeout{10};

class RefusedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedResponseTest);
  CPPUNIT_TEST(RefusedResponseIsSentAtTheNextProbe);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = IoThread::Create(1);
    m_server = platform::ApiServer::Create(
                   *m_io,
                   {{"127.0.0.1", m_caller_port},
                    {"127.0.0.1", m_readiness_port},
                    {"127.0.0.1", test::FindFreePort()}},
                   m_mailbox, m_clock, [] { return std::string(); })
                   .value();
    m_io->Start();
    m_client_io = IoThread::Create(64);
    m_client = HttpClient::Create(*m_client_io, {});
    m_client_io->Start();
  }

  void tearDown() override {
    m_client_io->Stop();
    m_io->Stop();
  }

  // Guards against a caller who gets no response, and a shutdown that waits for
  // it, because the ring of the I/O thread was full.
  void RefusedResponseIsSentAtTheNextProbe() {
    std::future<HttpReply> reply =
        Call(m_caller_port, "/jobs/0123456789abcdef");
    const std::optional<Message> message = m_mailbox.PopFor(kCallTimeout);
    CPPUNIT_ASSERT(message);
    intake::JobResponse response;
    response.exchange = std::get<intake::CallerRequest>(*message).exchange;
    response.status = intake::ResponseStatus::kJobState;
    SendWhileTheRingIsFull(response);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->PendingRequests());
    CPPUNIT_ASSERT_EQUAL(
        503, Call(m_readiness_port, "/crocusmast/ready").get().status);
    CPPUNIT_ASSERT_EQUAL(200, reply.get().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->PendingRequests());
  }

 private:
  void SendWhileTheRingIsFull(const intake::JobResponse& response) {
    std::promise<void> is_held;
    std::promise<void> may_continue;
    m_io->Post([&] {
      is_held.set_value();
      may_continue.get_future().wait();
    });
    is_held.get_future().wait();
    m_io->Post([] {});
    m_server->Send(response);
    std::promise<void> is_done;
    may_continue.set_value();
    while (!m_io->Post([&is_done] { is_done.set_value(); })) {
    }
    is_done.get_future().wait();
  }

  std::future<HttpReply> Call(std::uint16_t port, const std::string& path) {
    HttpCall call;
    call.address = {"127.0.0.1", port};
    call.method = "GET";
    call.path = path;
    call.timeout = kCallTimeout;
    const auto promise = std::make_shared<std::promise<HttpReply>>();
    m_client_io->Post([this, call, promise] {
      m_client->Call(call, [promise](HttpReply&& reply) {
        promise->set_value(std::move(reply));
      });
    });
    return promise->get_future();
  }

  const std::uint16_t m_caller_port = test::FindFreePort();
  const std::uint16_t m_readiness_port = test::FindFreePort();
  core::SystemClock m_clock;
  platform::Mailbox m_mailbox{4};
  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<platform::ApiServer> m_server;
  std::unique_ptr<IoThread> m_client_io;
  std::unique_ptr<HttpClient> m_client;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RefusedResponseTest, "platform");

}  // namespace
