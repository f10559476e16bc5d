#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "crocusmast/adapters/metrics_registry.h"
#include "crocusmast/core/boot_clock.h"
#include "platform/keys.h"
#include "platform/store_client.h"
#include "test/platform/scripted_store.h"
#include "test/support/factories.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace platform;
using SteadyClock = std::chrono::steady_clock;
using test::MakeId;

/** @brief Time from the acknowledgement of a cancel until the leader must have
 * acted on it. */
constexpr std::chrono::milliseconds kCancelLimit{3000};
constexpr char kJob[] = "0123456789abcdef";

class FullMailboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FullMailboxTest);
  CPPUNIT_TEST(DroppedCancelIsReadAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const std::uint16_t port = test::FindFreePort();
    m_outside = async::IoThread::Create(1024);
    m_store = std::make_unique<test::ScriptedStore>(*m_outside, port);
    m_outside->Start();
    m_io = async::IoThread::Create(1024);
    m_kv = KvClient::Create(*m_io, {"127.0.0.1", port}, *m_metrics);
    m_client = StoreClient::Create(*m_kv, m_mailbox, m_clock, m_logger);
    m_io->Post([this] { m_client->StartWatching(); });
    m_io->Start();
  }

  void tearDown() override {
    m_mailbox.Close();
    m_io->Stop();
    m_outside->Stop();
  }

  // A change of the store that was dropped because the manager's ring stayed
  // full must be read again; otherwise its cancel is lost for the whole term.
  void DroppedCancelIsReadAgain() {
    const std::optional<manager::Message> list = m_mailbox.PopFor(kCancelLimit);
    CPPUNIT_ASSERT(list &&
                   std::holds_alternative<manager::StoreListReceived>(*list));
    while (m_mailbox.TryPush(manager::Message(manager::StopReplyReceived()))) {
    }
    const std::uint64_t drops = m_mailbox.Drops();
    m_store->Put({{keys::MakeJobKey(MakeId<core::JobId>(kJob),
                                    keys::JobField::kCancelled),
                   "1"}});
    const auto stored_at = SteadyClock::now();
    while (m_mailbox.Drops() == drops) {
      CPPUNIT_ASSERT(SteadyClock::now() < stored_at + 2 * kMailboxPushTimeout);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const auto room_at = SteadyClock::now();
    int reads = 0;
    bool has_cancel = false;
    while (!has_cancel && SteadyClock::now() < room_at + kCancelLimit) {
      const std::optional<manager::Message> message =
          m_mailbox.PopFor(std::chrono::milliseconds(100));
      const std::vector<manager::StoreEvent>* events =
          message ? EventsOf(*message) : nullptr;
      reads += events != nullptr ? 1 : 0;
      has_cancel = events != nullptr && !events->empty();
    }
    CPPUNIT_ASSERT_MESSAGE(
        "the store was read " + std::to_string(reads) +
            " times without the cancel after the ring had room again",
        has_cancel);
  }

 private:
  static const std::vector<manager::StoreEvent>* EventsOf(
      const manager::Message& message) {
    if (const auto* list = std::get_if<manager::StoreListReceived>(&message)) {
      return &list->events;
    }
    const auto* changes = std::get_if<manager::StoreChangesReceived>(&message);
    return changes != nullptr ? &changes->events : nullptr;
  }

  core::BootClock m_clock;
  test::NullLogger m_logger;
  std::unique_ptr<crocusmast::adapters::MetricsRegistry> m_metrics =
      crocusmast::adapters::MetricsRegistry::Create();
  Mailbox m_mailbox{16};
  std::unique_ptr<async::IoThread> m_outside;
  std::unique_ptr<test::ScriptedStore> m_store;
  std::unique_ptr<async::IoThread> m_io;
  std::unique_ptr<KvClient> m_kv;
  std::unique_ptr<StoreClient> m_client;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FullMailboxTest, "platform");

}  // namespace
