#include "test/scheduling/held_run_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using job::RunOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::HeldRunFixture;
using test::kLongestLease;
using test::kReplyDelay;
using test::kSlack;
using test::kStep;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr const char* kJob = HeldRunFixture::kJob;
constexpr char kOtherJob[] = "fedcba9876543210";
/** @brief Runs that may be active on an incarnation of their worker that the
 * leader does not know, while it can't reach the worker. */
class HeldRunTest : public HeldRunFixture {
  CPPUNIT_TEST_SUITE(HeldRunTest);
  CPPUNIT_TEST(ConfirmedRunIsHeldForTheLongestLease);
  CPPUNIT_TEST(ListedRunEndsWithTheLeaseOfItsWorker);
  CPPUNIT_TEST(OpenStartHoldsItsTaskBeyondTheLease);
  CPPUNIT_TEST(OpenStartHoldsItsTaskWithoutMachine);
  CPPUNIT_TEST(RunConfirmedBeforeTheMachineWasGoneHasEnded);
  CPPUNIT_TEST(OpenStartIsHeldIfAnEarlierIncarnationReplies);
  CPPUNIT_TEST(EarlierIncarnationIsNotPolledInALoop);
  CPPUNIT_TEST(LaterStartExtendsTheLeaseOfAConfirmedRun);
  CPPUNIT_TEST(LostReplyToTheStartOfAListedRunHoldsNothing);
  CPPUNIT_TEST(ResumedRunHasANewLease);
  CPPUNIT_TEST(HandoverCountsWithTheLongestLease);
  CPPUNIT_TEST(PollAfterSilenceAcknowledgesNoEnds);
  CPPUNIT_TEST(DeferredStartIsNotSentToASilentWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 51, TWICE: a later incarnation executed a start at once and was cut
  // off. It grants a longer lease than the leader had requested.
  void ConfirmedRunIsHeldForTheLongestLease() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ExpectNextStartAfter(m_fixture.clock.Now(), kLongestLease);
  }

  // Its incarnation is known, and so is its lease.
  void ListedRunEndsWithTheLeaseOfItsWorker() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    ExpectNextStartAfter(
        m_fixture.clock.Now(),
        execution::WithClockDrift(scheduling::kWorkerLeaseLength));
  }

  // Issue 48 and 51, TWICE: the lease of the known incarnation says nothing of
  // a later one that executes the start afterwards.
  void OpenStartHoldsItsTaskBeyondTheLease() {
    const execution::StartCommand start = BeginWithOneTask();
    const core::TimePoint sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ExpectNextStartAfter(sent_at, execution::kMaxCommandDelay + kLongestLease);
  }

  // Its machine may be up again, with the worker under its id. That a start is
  // executed even later than the lease is not waited for: a task that lasts
  // must be at work again sooner (LOST).
  void OpenStartHoldsItsTaskWithoutMachine() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    const core::TimePoint sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    ExpectNextStartAfter(sent_at, kLongestLease);
  }

  // Whichever incarnation began it, the machine had none afterwards.
  void RunConfirmedBeforeTheMachineWasGoneHasEnded() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }

  // After the time of day of its machine was set back, a later incarnation
  // seems to be an earlier one.
  void OpenStartIsHeldIfAnEarlierIncarnationReplies() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1", 5)});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    m_fixture.RunCycles();
    const execution::StartCommand start = m_fixture.worker_port.starts.at(0);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ReplyFromLaterIncarnation(4);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
  }

  void EarlierIncarnationIsNotPolledInALoop() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1", 5)});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    ReplyFromLaterIncarnation(4);
    const std::size_t polls = m_fixture.worker_port.polls.size();
    for (int cycle = 0; cycle < 50; ++cycle) {
      m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
      ReplyFromLaterIncarnation(4);
    }
    CPPUNIT_ASSERT(m_fixture.worker_port.polls.size() < polls + 3);
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls.back().lease_until ||
                   m_fixture.worker_port.polls.size() == polls);
  }

  // Each start extends the lease of all that runs on the incarnation that
  // executes it.
  void LaterStartExtendsTheLeaseOfAConfirmedRun() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-2")});
    m_fixture.clock.Advance(milliseconds(900));
    m_fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    const core::TimePoint sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kInsufficientResources);
    m_fixture.scheduler.CancelJob(MakeId<core::JobId>(kOtherJob));
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    while (m_fixture.worker_port.starts.size() == 2) {
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < sent_at + kLongestLease + kSlack);
    }
    CPPUNIT_ASSERT(sent_at + kLongestLease - kReplyDelay <=
                   m_fixture.clock.Now());
  }

  // The run shows that the only start command was executed.
  void LostReplyToTheStartOfAListedRunHoldsNothing() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    ExpectNextStartAfter(
        m_fixture.clock.Now(),
        execution::WithClockDrift(scheduling::kWorkerLeaseLength));
  }

  void ResumedRunHasANewLease() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    KeepSilentFor(milliseconds(8000));
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                  {Fixture::ActiveRun(start)});
    const core::TimePoint resumed_at = m_fixture.clock.Now();
    m_fixture.RunCycles();
    ExpectNextStartAfter(resumed_at, kLongestLease);
  }

  void HandoverCountsWithTheLongestLease() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    const job::HandoverState handover =
        m_fixture.scheduler.FinalHandoverState();
    const auto stored =
        std::find_if(handover.workers.begin(), handover.workers.end(),
                     [&start](const job::LeasedWorker& leased) {
                       return leased.worker == start.to.worker;
                     });
    CPPUNIT_ASSERT(stored != handover.workers.end());
    CPPUNIT_ASSERT(kLongestLease <= stored->lease_remaining);
  }

  // Issue 51, TWICE: its numbers are those of the earlier incarnation; the
  // later one would forget ends that nobody has seen.
  void PollAfterSilenceAcknowledgesNoEnds() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 7, RunOutcome::kDone)});
    m_fixture.RunCycles();
    m_fixture.clock.Advance(scheduling::kAcknowledgeDelay);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, LastPollOf("w-1").recorded.Count());
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    m_fixture.clock.Advance(scheduling::kIdlePollRetryDelay);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, LastPollOf("w-1").recorded.Count());
    // Nor is an end acknowledged twice.
    for (int poll = 0; poll < 3; ++poll) {
      ReplyToPollOf("w-1", {});
      m_fixture.clock.Advance(scheduling::kIdlePollRetryDelay);
      m_fixture.RunCycles();
    }
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-2")});
    m_fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, LastPollOf("w-1").recorded.Count());
  }

  // The worker may be starting again while the commit is on its way.
  void DeferredStartIsNotSentToASilentWorker() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.ReceiveStoreState();
    m_fixture.clock.Advance(scheduling::kSweepInterval);
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls.empty());
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(StartOn("w-2").to.worker == MakeId<core::InstanceId>("w-2"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HeldRunTest, "scheduling");

}  // namespace
