#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "crocusmast/manager/job_manager.h"
#include "platform/mailbox.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using manager::JobManager;
using manager::Message;

constexpr std::size_t kRingCapacity = 8;
constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::seconds kLongWait{20};
constexpr std::uint64_t kClaimRevision = 5;

/** @brief Notifies the test when the lease is released. */
class ReleaseNotifyingLeasePort final : public leadership::LeasePort {
 public:
  void RequestLease(std::chrono::milliseconds duration) override {}
  void ClaimLeadership(const leadership::HolderIdentity& holder,
                       leadership::LeaseId lease) override {}
  void Renew(leadership::LeaseId lease) override {}
  void Release(leadership::LeaseId lease) override { m_released.set_value(); }
  void RevokeClaim(core::Revision claimed_at) override {}

  bool WaitForRelease(std::chrono::milliseconds wait) {
    return m_released.get_future().wait_for(wait) == std::future_status::ready;
  }

 private:
  std::promise<void> m_released;
};

/** @brief Blocks the manager's thread when it sends a response. */
class BlockingResponsePort final : public intake::ResponsePort {
 public:
  void Send(intake::JobResponse response) override {
    m_is_blocked.set_value();
    m_may_continue.get_future().wait();
  }
  void WaitUntilBlocked() { m_is_blocked.get_future().wait(); }
  void Unblock() { m_may_continue.set_value(); }

 private:
  std::promise<void> m_is_blocked;
  std::promise<void> m_may_continue;
};

/** @brief Notifies the test when a term begins. */
class TermNotifyingWorkerWatch final : public scheduling::WorkerWatch {
 public:
  void Subscribe() override { m_subscribed.set_value(); }
  void Unsubscribe() override { ++unsubscribed; }
  bool WaitForTerm(std::chrono::milliseconds wait) {
    return m_subscribed.get_future().wait_for(wait) ==
           std::future_status::ready;
  }
  int unsubscribed = 0;

 private:
  std::promise<void> m_subscribed;
};

class IgnoringMachinePort final : public upkeep::MachinePort {
 public:
  void RequestMachineList() override {}
  void Move(core::FencingToken token,
            const core::MachineId& machine,
            const core::PoolId& pool) override {}
  void TakeDown(core::FencingToken token,
                const core::MachineId& machine,
                core::WaveNumber wave) override {}
  void WriteWaveStatus(core::FencingToken token,
                       core::WaveNumber wave,
                       bool is_done) override {}
};

class IgnoringReadinessPort final : public manager::ReadinessPort {
 public:
  void SetReady(bool is_ready) override {}
};

class LostMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostMessageTest);
  CPPUNIT_TEST(LostReplyEndsTheTerm);
  CPPUNIT_TEST(RefusedMessageIsNotReportedIfItsSenderReadsItAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a leader that waits forever for a reply that was dropped
  // because its mailbox was full: it committed nothing more, or polled a worker
  // no more, until it was stopped.
  void LostReplyEndsTheTerm() {
    core::MessageThread<Message> thread("manager", kRingCapacity,
                                        kTickInterval);
    JobManager job_manager = MakeManager();
    thread.Start(job_manager, m_clock);
    platform::Mailbox& mailbox = thread.Ring();
    BecomeLeader(mailbox);
    CPPUNIT_ASSERT(m_watch.WaitForTerm(kLongWait));
    intake::CallerRequest request;
    request.host = "unknown.example";
    platform::Deliver(mailbox, std::move(request));
    m_responses.WaitUntilBlocked();
    while (mailbox.TryPush(Message(manager::StoreConnectionChanged{}))) {
    }
    platform::Deliver(mailbox, job::CommitReply{});
    m_responses.Unblock();
    CPPUNIT_ASSERT(m_leases.WaitForRelease(kLongWait));
    thread.Stop();
    CPPUNIT_ASSERT_EQUAL(1, m_watch.unsubscribed);
    // The successor learns which workers may still have leases.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.last_handover.workers.size());
  }

  void RefusedMessageIsNotReportedIfItsSenderReadsItAgain() {
    platform::Mailbox mailbox(1);
    platform::Deliver(mailbox, manager::StoreConnectionChanged{});
    CPPUNIT_ASSERT(
        !platform::TryDeliver(mailbox, manager::StoreChangesReceived{}));
    CPPUNIT_ASSERT(!mailbox.HasLoss());
    platform::DeliverWithoutWait(mailbox, job::CommitReply{});
    CPPUNIT_ASSERT(mailbox.TakeLoss());
    CPPUNIT_ASSERT(!mailbox.HasLoss());
  }

 private:
  JobManager MakeManager() {
    return JobManager(
        {{"instance", "1"}, {}, {}},
        {m_leases, m_store, m_workers, m_watch, m_tickets, m_machines,
         m_responses, m_readiness, m_clock, m_logger, m_meter});
  }

  void BecomeLeader(platform::Mailbox& mailbox) {
    platform::Deliver(mailbox, manager::QueueCatalogLoaded{
                                   std::make_shared<const queue::QueueCatalog>(
                                       test::MakeQueueCatalog())});
    platform::Deliver(
        mailbox, manager::StoreListReceived{{}, core::Revision(1), {}, {}});
    platform::Deliver(mailbox, leadership::LeaseGrantReply{
                                   leadership::LeaseOutcome::kDone,
                                   leadership::LeaseId(1), m_clock.Now()});
    platform::Deliver(mailbox, leadership::LeadershipClaimReply{
                                   leadership::LeaseOutcome::kDone,
                                   core::Revision(kClaimRevision)});
    job::StoredHandover handover;
    handover.handover.workers.push_back(
        {test::MakeId<core::InstanceId>("worker"), core::Incarnation(1),
         test::MakeId<core::PoolId>("pool"), kLongWait});
    manager::StoreListReceived list;
    list.events.emplace_back(leadership::LeaderObserved{
        {"instance", "1"}, core::Revision(kClaimRevision)});
    list.revision = core::Revision(kClaimRevision);
    list.handover = std::move(handover);
    platform::Deliver(mailbox, std::move(list));
  }

  core::SystemClock m_clock;
  test::NullLogger m_logger;
  test::CountingMeter m_meter;
  ReleaseNotifyingLeasePort m_leases;
  test::RecordingJobStore m_store;
  test::RecordingWorkerPort m_workers;
  TermNotifyingWorkerWatch m_watch;
  test::RecordingTicketPort m_tickets;
  IgnoringMachinePort m_machines;
  BlockingResponsePort m_responses;
  IgnoringReadinessPort m_readiness;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LostMessageTest, "platform");

}  // namespace
