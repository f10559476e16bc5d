#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <thread>
#include <websocketpp/base64/base64.hpp>

#include "crocusmast/adapters/async/http_server.h"
#include "platform/configuration_watcher.h"
#include "platform/membership_watcher.h"
#include "platform/store_client.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using adapters::async::HttpExchange;
using adapters::async::HttpResponse;
using adapters::async::HttpServer;
using adapters::async::IoThread;
using manager::Message;

constexpr std::uint16_t kStorePort = 18471;
constexpr std::uint16_t kFirstApiPort = 18472;
constexpr std::chrono::seconds kLongWait{20};
constexpr std::chrono::milliseconds kCheckInterval{5};
constexpr char kCancelKey[] = "cm/j/0123456789abcdef/c";
constexpr char kWorkerValue[] =
    R"({"service":"pool","address":"10.128.0.9:8080","zone":"zone-a",)"
    R"("version":"v1","slots":8,"state":"ready","cold_left_ms":0,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a"],"clock_ms":482113,"seq":4,"born":17})";

/**
 * @brief A store whose prefixes are empty when they are listed first, and then
 * get one key that a watch returns once.
 */
class OneChangeStore {
 public:
  OneChangeStore(const std::string& key, const std::string& value)
      : m_item(R"({"key":")" + key + R"(","value":")" +
               websocketpp::base64_encode(value) +
               R"(","revision":2,"created":2})"),
        m_io(IoThread::Create(64)),
        m_server(
            HttpServer::Create(*m_io,
                               {"127.0.0.1", kStorePort},
                               {},
                               [this](std::shared_ptr<HttpExchange> exchange) {
                                 Handle(std::move(exchange));
                               })
                .value()) {
    m_io->Start();
  }

  ~OneChangeStore() {
    m_io->Stop();
    m_unanswered.clear();
  }

 private:
  void Handle(std::shared_ptr<HttpExchange> exchange) {
    HttpResponse response;
    if (exchange->Path().find("kv-range") != std::string_view::npos) {
      response.body = m_is_changed
                          ? R"({"items":[)" + m_item + R"(],"at_rev":2})"
                          : R"({"items":[],"at_rev":1})";
    } else if (!m_is_changed) {
      m_is_changed = true;
      response.body = R"({"events":[)" + m_item + R"(],"at_rev":2})";
    } else {
      m_unanswered.push_back(std::move(exchange));
      return;
    }
    exchange->Respond(std::move(response));
  }

  const std::string m_item;
  bool m_is_changed = false;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<HttpServer> m_server;
};

bool HasEvents(const Message& message) {
  const auto* list = std::get_if<manager::StoreListReceived>(&message);
  const auto* changes = std::get_if<manager::StoreChangesReceived>(&message);
  return (list != nullptr && !list->events.empty()) ||
         (changes != nullptr && !changes->events.empty());
}

bool HasWorker(const Message& message) {
  const auto* list = std::get_if<scheduling::WorkerListReceived>(&message);
  return (list != nullptr && !list->workers.empty()) ||
         std::holds_alternative<scheduling::WorkerUpdated>(message);
}

bool HasConfiguration(const Message& message) {
  return std::holds_alternative<manager::QueueCatalogLoaded>(message);
}

class RefusedChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedChangeTest);
  CPPUNIT_TEST(RefusedCancellationIsReadAgain);
  CPPUNIT_TEST(RefusedWorkerIsReadAgain);
  CPPUNIT_TEST(RefusedConfigurationIsReadAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = IoThread::Create(64);
    m_kv =
        platform::KvClient::Create(*m_io, {"127.0.0.1", kStorePort}, m_meter);
  }

  void tearDown() override { m_io->Stop(); }

  // Guards against a cancellation that was dropped because the manager's
  // mailbox was full, and was not read again as the watch had moved on.
  void RefusedCancellationIsReadAgain() {
    OneChangeStore store(kCancelKey, "1");
    const auto client =
        platform::StoreClient::Create(*m_kv, m_mailbox, m_clock, m_logger);
    m_io->Post([&client] { client->StartWatching(); });
    m_io->Start();
    const bool is_read_again = IsReadAgainAfterRefusal(HasEvents);
    m_io->Stop();
    CPPUNIT_ASSERT(is_read_again);
  }

  // Guards against a worker that stayed unknown to the leader for its term,
  // because its membership entry was dropped by a full mailbox.
  void RefusedWorkerIsReadAgain() {
    OneChangeStore store("servers/worker-1", kWorkerValue);
    const auto watcher = platform::MembershipWatcher::Create(*m_kv, m_mailbox,
                                                             m_clock, m_logger);
    watcher->Subscribe();
    m_io->Start();
    const bool is_read_again = IsReadAgainAfterRefusal(HasWorker);
    m_io->Stop();
    CPPUNIT_ASSERT(is_read_again);
  }

  // Guards against an old configuration that stayed in force, because the new
  // one was dropped by a full mailbox.
  void RefusedConfigurationIsReadAgain() {
    OneChangeStore store("op/config",
                         R"({"version":7,"routes":[],"services":[]})");
    const auto server = platform::ApiServer::Create(
                            *m_io,
                            {{"127.0.0.1", kFirstApiPort},
                             {"127.0.0.1", kFirstApiPort + 1},
                             {"127.0.0.1", kFirstApiPort + 2}},
                            m_mailbox, m_clock, [] { return std::string(); })
                            .value();
    const auto watcher = platform::ConfigurationWatcher::Create(
        *m_kv, m_mailbox, *server, m_clock, m_logger);
    m_mailbox.TryPush(Message(manager::StoreConnectionChanged{}));
    m_io->Post([&watcher] { watcher->StartWatching(); });
    m_io->Start();
    const bool is_read_again = IsReadAgainAfterRefusal(HasConfiguration);
    m_io->Stop();
    CPPUNIT_ASSERT(is_read_again);
  }

 private:
  /** @brief Keeps the mailbox full until a message is refused, then reads from
   * it until a message has the change. */
  bool IsReadAgainAfterRefusal(
      const std::function<bool(const Message&)>& has_change) {
    const core::TimePoint deadline = m_clock.Now() + kLongWait;
    while (m_mailbox.Drops() == 0 && m_clock.Now() < deadline) {
      std::this_thread::sleep_for(kCheckInterval);
    }
    while (m_clock.Now() < deadline) {
      const std::optional<Message> message = m_mailbox.PopFor(kCheckInterval);
      if (message && has_change(*message)) {
        return true;
      }
    }
    return false;
  }

  core::SystemClock m_clock;
  test::NullLogger m_logger;
  test::CountingMeter m_meter;
  platform::Mailbox m_mailbox{1};
  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<platform::KvClient> m_kv;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RefusedChangeTest, "platform");

}  // namespace
