#include <cppunit/extensions/HelperMacros.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "crocusmast/adapters/metrics_registry.h"
#include "crocusmast/core/boot_clock.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/scheduling/scheduler.h"
#include "platform/prefix_watcher.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace platform;
using std::chrono::milliseconds;

constexpr milliseconds kWait{500};
constexpr milliseconds kTrickleInterval{300};
constexpr std::chrono::seconds kMaxTestTime{20};

class LossListener final : public WatchListener {
 public:
  void OnListed(std::vector<KvItem>&& items,
                core::Revision revision,
                core::TimePoint complete_at) override {}
  void OnChanged(std::vector<KvItem>&& items,
                 core::Revision revision,
                 core::TimePoint complete_at) override {}
  void OnConnectionChanged(bool is_connected,
                           const std::string& detail) override {
    lost.TryPush(true);
  }

  core::BoundedRing<bool> lost{16};
};

class TricklingWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TricklingWatchTest);
  CPPUNIT_TEST(TricklingReplyIsAbandonedBeforeTheViewIsTooOld);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { m_io->Stop(); }

  // A watch reply of which only single bytes arrive must be abandoned while the
  // known state is recent enough to start tasks; another connection may work.
  void TricklingReplyIsAbandonedBeforeTheViewIsTooOld() {
    core::BoundedRing<core::TimePoint> requested_at(16);
    test::ScriptedTcpServer server([&](int socket) {
      test::ScriptedTcpServer::ReadRequest(socket);
      const std::string list = R"({"items":[],"has_more":false,"at_rev":5})";
      test::ScriptedTcpServer::Write(
          socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(list.size()) + "\r\n\r\n" + list);
      test::ScriptedTcpServer::ReadRequest(socket);
      requested_at.TryPush(m_clock.Now());
      test::ScriptedTcpServer::Write(
          socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
      char byte = 0;
      while (recv(socket, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN) {
        test::ScriptedTcpServer::Write(socket, " ");
        std::this_thread::sleep_for(kTrickleInterval);
      }
    });
    const std::unique_ptr<KvClient> kv =
        KvClient::Create(*m_io, {"127.0.0.1", server.Port()}, *m_metrics);
    const std::shared_ptr<PrefixWatcher> watcher = PrefixWatcher::Create(
        *kv, {"p/", kWait, {}}, m_listener, m_clock, m_logger);
    m_io->Post([&watcher] { watcher->Start(); });
    m_io->Start();
    const std::optional<core::TimePoint> sent_at =
        requested_at.PopFor(kMaxTestTime);
    const bool is_lost = m_listener.lost.PopFor(kMaxTestTime).has_value();
    const core::TimePoint lost_at = m_clock.Now();
    m_io->Stop();
    CPPUNIT_ASSERT(sent_at && is_lost);
    CPPUNIT_ASSERT_MESSAGE(
        "abandoned after " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(lost_at - *sent_at)
                    .count()) +
            " ms",
        lost_at < *sent_at + crocusmast::scheduling::kMaxStartViewAge);
  }

 private:
  core::BootClock m_clock;
  test::NullLogger m_logger;
  std::unique_ptr<crocusmast::adapters::MetricsRegistry> m_metrics =
      crocusmast::adapters::MetricsRegistry::Create();
  LossListener m_listener;
  std::unique_ptr<async::IoThread> m_io = async::IoThread::Create(16);
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TricklingWatchTest, "platform");

}  // namespace
