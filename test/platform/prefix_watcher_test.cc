#include "platform/prefix_watcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "crocusmast/core/bounded_ring.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace platform;
using std::chrono::milliseconds;

constexpr milliseconds kWait{60};
/** @brief A delay that is reported. */
constexpr milliseconds kSlowDelay{550};
constexpr std::chrono::seconds kMaxTestTime{20};

/** @brief One call of the listener. */
struct Delivery {
  std::size_t items = 0;
  std::uint64_t revision = 0;
  core::TimePoint complete_at;
  core::TimePoint received_at;
};

class QueueingListener final : public WatchListener {
 public:
  void OnListed(std::vector<KvItem>&& items,
                core::Revision revision,
                core::TimePoint complete_at) override {
    Push(items, revision, complete_at);
  }
  void OnChanged(std::vector<KvItem>&& items,
                 core::Revision revision,
                 core::TimePoint complete_at) override {
    Push(items, revision, complete_at);
  }
  void OnConnectionChanged(bool is_connected,
                           const std::string& detail) override {}

  Delivery Next() { return deliveries.PopFor(kMaxTestTime).value(); }

  core::BoundedRing<Delivery> deliveries{64};

 private:
  void Push(const std::vector<KvItem>& items,
            core::Revision revision,
            core::TimePoint complete_at) {
    deliveries.TryPush({items.size(), revision.Count(), complete_at,
                        std::chrono::steady_clock::now()});
  }
};

/** @brief A reply of the store, sent some time after its request arrived. */
struct StoreReply {
  std::string body;
  milliseconds delay{};
};

class PrefixWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixWatcherTest);
  CPPUNIT_TEST(ListIsCompleteAtTheRequestOfItsFirstPage);
  CPPUNIT_TEST(ChangesAreCompleteAtTheRequest);
  CPPUNIT_TEST(EmptyPollIsCompleteAtTheRequest);
  CPPUNIT_TEST(EarlyEmptyPollIsCompleteAtTheRequest);
  CPPUNIT_TEST(CutOffReplyIsNotCompleteAtTheRequest);
  CPPUNIT_TEST(LargeReplyWithLaterRevisionIsCompleteAtTheRequest);
  CPPUNIT_TEST(SlowListIsReported);
  CPPUNIT_TEST(SlowReplyWithManyChangesIsReported);
  CPPUNIT_TEST(WaitForAChangeIsNotReportedAsSlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = async::IoThread::Create(64);
    m_replies = {{Page("a", false, 5), {}}};
  }

  void tearDown() override {
    m_io->Stop();
    m_watcher.reset();
    m_kv.reset();
    m_io.reset();
    m_server.reset();
  }

  void ListIsCompleteAtTheRequestOfItsFirstPage() {
    m_replies = {{Page("a", true, 5), kWait}, {Page("b", false, 6), kWait}};
    Start();
    const Delivery list = m_listener.Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list.items);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, list.revision);
    CPPUNIT_ASSERT(m_started_at <= list.complete_at);
    CPPUNIT_ASSERT(list.complete_at <= RequestedAt(0));
  }

  void ChangesAreCompleteAtTheRequest() {
    m_replies.push_back({Changes("a", 7), 2 * kWait});
    Start();
    m_listener.Next();
    const Delivery changes = m_listener.Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.items);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, changes.revision);
    CPPUNIT_ASSERT(RequestedAt(0) <= changes.complete_at);
    CPPUNIT_ASSERT(changes.complete_at <= RequestedAt(1));
  }

  // A store that ends a poll early, whose reply is read late, has said nothing
  // of the rest of the wait.
  void EmptyPollIsCompleteAtTheRequest() {
    m_replies.push_back({Changes("", 5), kWait});
    Start();
    m_listener.Next();
    const Delivery changes = m_listener.Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, changes.items);
    CPPUNIT_ASSERT(RequestedAt(0) <= changes.complete_at);
    CPPUNIT_ASSERT(changes.complete_at <= RequestedAt(1));
  }

  void EarlyEmptyPollIsCompleteAtTheRequest() {
    m_replies.push_back({Changes("", 5), {}});
    m_wait = kMaxTestTime;
    Start();
    m_listener.Next();
    const Delivery changes = m_listener.Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, changes.items);
    CPPUNIT_ASSERT(RequestedAt(0) <= changes.complete_at);
    CPPUNIT_ASSERT(changes.complete_at <= RequestedAt(1));
  }

  // A store with many changes cuts a reply off; the changes that did not fit
  // are older than the request, too.
  void CutOffReplyIsNotCompleteAtTheRequest() {
    m_replies.push_back({ManyChanges(500, 507), kWait});
    m_replies.push_back({Changes("a", 508), kWait});
    Start();
    const Delivery list = m_listener.Next();
    const Delivery cut_off = m_listener.Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, cut_off.items);
    CPPUNIT_ASSERT(list.complete_at == cut_off.complete_at);
    const Delivery rest = m_listener.Next();
    CPPUNIT_ASSERT(RequestedAt(1) <= rest.complete_at);
  }

  void LargeReplyWithLaterRevisionIsCompleteAtTheRequest() {
    m_replies.push_back({ManyChanges(500, 508), kWait});
    Start();
    m_listener.Next();
    const Delivery changes = m_listener.Next();
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, changes.items);
    CPPUNIT_ASSERT(RequestedAt(0) <= changes.complete_at);
  }

  void SlowListIsReported() {
    m_replies = {{Page("a", false, 5), kSlowDelay}};
    Start();
    m_listener.Next();
    m_io->Stop();
    CPPUNIT_ASSERT_EQUAL(std::string("list"),
                         m_logger.Field("store_reply_slow", "call"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         m_logger.Field("store_reply_slow", "changes"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         m_meter.Values(core::Timing::kStoreList).size());
  }

  void SlowReplyWithManyChangesIsReported() {
    const std::string body = Changes("a", 7, 33);
    m_replies.push_back({body, kSlowDelay});
    m_wait = kMaxTestTime;
    Start();
    m_listener.Next();
    m_listener.Next();
    m_io->Stop();
    CPPUNIT_ASSERT_EQUAL(std::string("watch"),
                         m_logger.Field("store_reply_slow", "call"));
    CPPUNIT_ASSERT_EQUAL(std::to_string(body.size()),
                         m_logger.Field("store_reply_slow", "bytes"));
    CPPUNIT_ASSERT_EQUAL(std::string("33"),
                         m_logger.Field("store_reply_slow", "changes"));
    CPPUNIT_ASSERT_EQUAL(std::string("7"),
                         m_logger.Field("store_reply_slow", "revision"));
    const auto took = m_meter.Values(core::Timing::kStoreWatch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, took.size());
    CPPUNIT_ASSERT(kSlowDelay <= took[0]);
    CPPUNIT_ASSERT(m_meter.Sizes(core::Size::kStoreWatchReply) ==
                   std::vector<std::uint64_t>{body.size()});
  }

  void WaitForAChangeIsNotReportedAsSlow() {
    m_replies.push_back({Changes("a", 7), kSlowDelay});
    m_wait = kMaxTestTime;
    Start();
    m_listener.Next();
    m_listener.Next();
    m_io->Stop();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_logger.Count("store_reply_slow"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         m_meter.Values(core::Timing::kStoreWatch).size());
  }

 private:
  static std::string Page(const std::string& key, bool has_more, int revision) {
    return R"({"items":[{"key":"p/)" + key +
           R"(","value":"eA==","revision":4,"created":4,"lease":0}],)" +
           R"("has_more":)" + (has_more ? "true" : "false") + R"(,"at_rev":)" +
           std::to_string(revision) + "}";
  }

  /** @brief Makes a watch reply with changes of a key; of none if it is empty.
   */
  static std::string Changes(const std::string& key,
                             int revision,
                             int count = 1) {
    std::string events;
    for (int index = 0; index < count && !key.empty(); ++index) {
      events += std::string(index > 0 ? "," : "") + R"({"key":"p/)" + key +
                R"(","value":"eQ==","revision":7,"created":4,"lease":0})";
    }
    return R"({"events":[)" + events + R"(],"at_rev":)" +
           std::to_string(revision) + "}";
  }

  /** @brief Makes a watch reply with the revisions from 8 on. */
  static std::string ManyChanges(int count, int revision) {
    std::string events;
    for (int index = 0; index < count; ++index) {
      events += (index == 0 ? "" : ",") + std::string(R"({"key":"p/k",)") +
                R"("value":"eQ==","created":4,"lease":0,"revision":)" +
                std::to_string(8 + index) + "}";
    }
    return R"({"events":[)" + events + R"(],"at_rev":)" +
           std::to_string(revision) + "}";
  }

  void Start() {
    m_server = std::make_unique<test::ScriptedTcpServer>([this](int socket) {
      while (!test::ScriptedTcpServer::ReadRequest(socket).empty()) {
        AnswerRequest(socket);
      }
    });
    m_kv = KvClient::Create(*m_io, {"127.0.0.1", m_server->Port()}, m_meter);
    m_watcher = PrefixWatcher::Create(*m_kv, {"p/", m_wait, {}}, m_listener,
                                      m_clock, m_logger);
    m_started_at = m_clock.Now();
    m_io->Post([this] { m_watcher->Start(); });
    m_io->Start();
  }

  void AnswerRequest(int socket) {
    m_requests.TryPush(m_clock.Now());
    if (m_replies.empty()) {
      // The next request of the watcher stays without a reply.
      return;
    }
    const StoreReply reply = m_replies.front();
    m_replies.erase(m_replies.begin());
    std::this_thread::sleep_for(reply.delay);
    test::ScriptedTcpServer::Write(
        socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(reply.body.size()) + "\r\n\r\n" +
                    reply.body);
  }

  /** @brief Returns when the store received a request. */
  core::TimePoint RequestedAt(std::size_t index) {
    while (m_requested_at.size() <= index) {
      m_requested_at.push_back(m_requests.PopFor(kMaxTestTime).value());
    }
    return m_requested_at[index];
  }

  milliseconds m_wait = kWait;
  core::SystemClock m_clock;
  test::RecordingMeter m_meter;
  test::RecordingLogger m_logger;
  QueueingListener m_listener;
  std::vector<StoreReply> m_replies;
  core::BoundedRing<core::TimePoint> m_requests{64};
  std::vector<core::TimePoint> m_requested_at;
  core::TimePoint m_started_at;
  std::unique_ptr<async::IoThread> m_io;
  std::unique_ptr<test::ScriptedTcpServer> m_server;
  std::unique_ptr<KvClient> m_kv;
  std::shared_ptr<PrefixWatcher> m_watcher;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PrefixWatcherTest, "platform");

}  // namespace
