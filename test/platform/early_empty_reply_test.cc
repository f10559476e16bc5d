#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "crocusmast/adapters/metrics_registry.h"
#include "crocusmast/core/boot_clock.h"
#include "crocusmast/core/bounded_ring.h"
#include "platform/prefix_watcher.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace platform;
using std::chrono::milliseconds;

constexpr milliseconds kWait{300};
constexpr std::chrono::seconds kMaxTestTime{20};

/** @brief Queues the times up to which the state is complete. */
class CompletenessListener final : public WatchListener {
 public:
  void OnListed(std::vector<KvItem>&& items,
                core::Revision revision,
                core::TimePoint complete_at) override {}
  void OnChanged(std::vector<KvItem>&& items,
                 core::Revision revision,
                 core::TimePoint complete_at) override {
    m_complete_at.TryPush(std::move(complete_at));
  }
  void OnConnectionChanged(bool is_connected,
                           const std::string& detail) override {}

  std::optional<core::TimePoint> Next() {
    return m_complete_at.PopFor(kMaxTestTime);
  }

 private:
  core::BoundedRing<core::TimePoint> m_complete_at{16};
};

class EarlyEmptyReplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlyEmptyReplyTest);
  CPPUNIT_TEST(EarlyReplyThatIsReadLateIsNotCompleteAfterItWasSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { m_io->Stop(); }

  // The store may end a watch before its wait is over. If a busy event loop
  // reads the empty reply late, it must not count for the rest of the wait, in
  // which a cancel may have been stored.
  void EarlyReplyThatIsReadLateIsNotCompleteAfterItWasSent() {
    core::BoundedRing<core::TimePoint> replied_at(16);
    test::ScriptedTcpServer server([&](int socket) {
      test::ScriptedTcpServer::ReadRequest(socket);
      Write(socket, R"({"items":[],"has_more":false,"at_rev":5})");
      test::ScriptedTcpServer::ReadRequest(socket);
      m_io->Post([] { std::this_thread::sleep_for(2 * kWait); });
      Write(socket, R"({"events":[],"at_rev":5})");
      replied_at.TryPush(m_clock.Now());
      test::ScriptedTcpServer::ReadRequest(socket);
    });
    const std::unique_ptr<KvClient> kv =
        KvClient::Create(*m_io, {"127.0.0.1", server.Port()}, *m_metrics);
    const std::shared_ptr<PrefixWatcher> watcher = PrefixWatcher::Create(
        *kv, {"p/", kWait, {}}, m_listener, m_clock, m_logger);
    m_io->Post([&watcher] { watcher->Start(); });
    m_io->Start();
    const std::optional<core::TimePoint> complete_at = m_listener.Next();
    const std::optional<core::TimePoint> sent_at =
        replied_at.PopFor(kMaxTestTime);
    m_io->Stop();
    CPPUNIT_ASSERT(complete_at && sent_at);
    const auto excess =
        std::chrono::duration_cast<milliseconds>(*complete_at - *sent_at);
    CPPUNIT_ASSERT_MESSAGE("counted as complete until " +
                               std::to_string(excess.count()) +
                               " ms after the store's reply",
                           *complete_at <= *sent_at);
  }

 private:
  static void Write(int socket, const std::string& body) {
    test::ScriptedTcpServer::Write(
        socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  core::BootClock m_clock;
  test::NullLogger m_logger;
  std::unique_ptr<crocusmast::adapters::MetricsRegistry> m_metrics =
      crocusmast::adapters::MetricsRegistry::Create();
  CompletenessListener m_listener;
  std::unique_ptr<async::IoThread> m_io = async::IoThread::Create(16);
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EarlyEmptyReplyTest, "platform");

}  // namespace
