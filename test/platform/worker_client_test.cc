#include "platform/worker_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <variant>

#include "test/support/factories.h"
#include "test/support/mocks.h"
#include "test/support/scripted_tcp_server.h"

namespace {

using namespace platform;

/** @brief Longer than the time-out of a command. */
constexpr std::chrono::milliseconds kLongQueueWait{600};
constexpr std::chrono::seconds kMaxTestTime{20};

class WorkerClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerClientTest);
  CPPUNIT_TEST(StartThatWaitedTooLongIsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A start command that waits for a busy I/O thread must not reach the worker
  // long after it was decided.
  void StartThatWaitedTooLongIsNotSent() {
    const test::ScriptedTcpServer server(
        [](int socket) { test::ScriptedTcpServer::ReadRequest(socket); });
    const core::SystemClock clock;
    test::NullLogger logger;
    Mailbox mailbox(16);
    const std::unique_ptr<async::IoThread> io = async::IoThread::Create(16);
    const std::unique_ptr<WorkerClient> client =
        WorkerClient::Create(*io, mailbox, clock, logger);
    execution::StartCommand command;
    command.to.address = {"127.0.0.1", server.Port()};
    client->Start(std::move(command));
    std::this_thread::sleep_for(kLongQueueWait);
    io->Start();
    std::optional<manager::Message> message = mailbox.PopFor(kMaxTestTime);
    io->Stop();
    CPPUNIT_ASSERT(message);
    const auto& reply = std::get<manager::StartReplyReceived>(*message).reply;
    CPPUNIT_ASSERT(reply.outcome == execution::WorkerCallOutcome::kNotSent);
    CPPUNIT_ASSERT_EQUAL(0, server.AcceptedConnections());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WorkerClientTest, "platform");

}  // namespace
