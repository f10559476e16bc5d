#include <cppunit/extensions/HelperMacros.h>

#include "platform/machine_client.h"
#include "platform/membership_watcher.h"
#include "platform/store_client.h"
#include "platform/ticket_client.h"
#include "platform/worker_client.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using adapters::async::IoThread;
using manager::Message;

/** @brief Calls of the manager while the ring of the I/O thread is full. */
class RefusedCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedCallTest);
  CPPUNIT_TEST(LostCommandToAWorkerIsReported);
  CPPUNIT_TEST(LostRequestForAListIsReported);
  CPPUNIT_TEST(RefusedCallIsAnswered);
  CPPUNIT_TEST(LostAnswerToARefusedCallIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = IoThread::Create(1);
    m_io->Post([] {});
    m_kv = platform::KvClient::Create(*m_io, {"127.0.0.1", 1}, m_meter);
    m_store =
        platform::StoreClient::Create(*m_kv, m_mailbox, m_clock, m_logger);
  }

  // Guards against a worker that is polled no more, so that its lease expires,
  // because a poll was dropped and its reply is still waited for.
  void LostCommandToAWorkerIsReported() {
    const auto workers =
        platform::WorkerClient::Create(*m_io, m_mailbox, m_clock, m_logger);
    workers->PollStatus({});
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
    workers->Start({});
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
    workers->Stop({});
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
  }

  // Guards against a leader that waits forever for the list that its term
  // begins with.
  void LostRequestForAListIsReported() {
    m_store->Refresh();
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
    const auto watcher = platform::MembershipWatcher::Create(*m_kv, m_mailbox,
                                                             m_clock, m_logger);
    watcher->Subscribe();
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
  }

  void RefusedCallIsAnswered() {
    m_store->Write({});
    const std::optional<Message> message =
        m_mailbox.PopFor(core::Duration::zero());
    CPPUNIT_ASSERT(message);
    CPPUNIT_ASSERT(std::get<job::CommitReply>(*message).outcome ==
                   job::StoreOutcome::kRefused);
    CPPUNIT_ASSERT(!m_mailbox.TakeLoss());
  }

  // Guards against a committer that waits forever for a reply, because both
  // rings were full.
  void LostAnswerToARefusedCallIsReported() {
    m_mailbox.TryPush(Message(manager::StoreConnectionChanged{}));
    m_store->Write({});
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
    const auto tickets =
        platform::TicketClient::Create(*m_io, {}, m_mailbox, m_logger);
    tickets->RequestTickets({}, {});
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
    const auto machines = platform::MachineClient::Create(
        *m_kv, {}, "instance", m_mailbox, m_clock, m_logger);
    machines->RequestMachineList();
    CPPUNIT_ASSERT(m_mailbox.TakeLoss());
  }

 private:
  core::SystemClock m_clock;
  test::NullLogger m_logger;
  test::CountingMeter m_meter;
  platform::Mailbox m_mailbox{1};
  std::unique_ptr<IoThread> m_io;
  std::unique_ptr<platform::KvClient> m_kv;
  std::unique_ptr<platform::StoreClient> m_store;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RefusedCallTest, "platform");

}  // namespace
