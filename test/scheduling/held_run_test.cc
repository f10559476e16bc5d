#include "test/scheduling/later_incarnation_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using job::RunOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::LaterIncarnationFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr const char* kJob = LaterIncarnationFixture::kJob;
constexpr char kOtherJob[] = "fedcba9876543210";
/** @brief Time between two failed polls. */
constexpr milliseconds kStep{200};
constexpr milliseconds kSlack{500};
/** @brief Time that the fixture lets pass between a command and its reply. */
constexpr milliseconds kReplyDelay{100};

/** @brief Runs that may be active on an incarnation of their worker that the
 * leader does not know, while it can't reach the worker. */
class HeldRunTest : public LaterIncarnationFixture {
  CPPUNIT_TEST_SUITE(HeldRunTest);
  CPPUNIT_TEST(ConfirmedRunIsHeldForTheLongestLease);
  CPPUNIT_TEST(ListedRunEndsWithTheLeaseOfItsWorker);
  CPPUNIT_TEST(OpenStartHoldsItsTaskBeyondTheLease);
  CPPUNIT_TEST(OpenStartHoldsItsTaskWithoutMachine);
  CPPUNIT_TEST(RunConfirmedBeforeTheMachineWasGoneHasEnded);
  CPPUNIT_TEST(OpenStartIsHeldIfAnEarlierIncarnationReplies);
  CPPUNIT_TEST(OpenStartIsRepeatedUnderItsAttempt);
  CPPUNIT_TEST(OpenStartIsRepeatedAfterSilence);
  CPPUNIT_TEST(ResumedRunHasANewLease);
  CPPUNIT_TEST(HandoverCountsWithTheLongestLease);
  CPPUNIT_TEST(SuccessorRepeatsAnOpenStart);
  CPPUNIT_TEST(SuccessorWaitsForAnOpenStartOnALostWorker);
  CPPUNIT_TEST(SuccessorDoesNotWaitForAnAnsweredStart);
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

  // Its machine may be up again, with the worker under its id.
  void OpenStartHoldsItsTaskWithoutMachine() {
    const execution::StartCommand start = BeginWithOneTask();
    const core::TimePoint sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    ExpectNextStartAfter(sent_at, execution::kMaxCommandDelay + kLongestLease);
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

  // Whichever incarnation executes which copy of the command, it is one run.
  void OpenStartIsRepeatedUnderItsAttempt() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    for (std::uint64_t incarnation = 2; incarnation < 5; ++incarnation) {
      m_fixture.scheduler.Handle(
          scheduling::WorkerUpdated{MakeWorker("w-1", incarnation)});
      m_fixture.RunCycles();
      ReplyToPollOf("w-1", {});
      m_fixture.RunCycles();
      const execution::StartCommand& last = m_fixture.worker_port.starts.back();
      CPPUNIT_ASSERT(start.to.worker == last.to.worker);
      CPPUNIT_ASSERT(start.attempt == last.attempt);
      CPPUNIT_ASSERT_EQUAL(incarnation, last.to.incarnation.Count());
      CPPUNIT_ASSERT(execution::WorkerTime() < last.lease_until);
    }
  }

  void OpenStartIsRepeatedAfterSilence() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    KeepSilentFor(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    for (int poll = 0; poll < 4; ++poll) {
      ReplyToPollOf("w-1", {});
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    const execution::StartCommand& last = m_fixture.worker_port.starts.back();
    CPPUNIT_ASSERT(start.to.worker == last.to.worker);
    CPPUNIT_ASSERT(start.attempt == last.attempt);
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

  // Issue 48, TWICE: the worker had replied without the run, and its next
  // incarnation executed the start of the earlier leader.
  void SuccessorRepeatsAnOpenStart() {
    BeginAsSuccessor(core::Attempt(7));
    ReplyToPollOf("w-1", {});
    ReplyToPollOf("w-2", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    const execution::StartCommand& start = m_fixture.worker_port.starts[0];
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-1") == start.to.worker);
    CPPUNIT_ASSERT(core::Attempt(7) == start.attempt);
  }

  void SuccessorWaitsForAnOpenStartOnALostWorker() {
    BeginAsSuccessor(core::Attempt(7));
    const core::TimePoint began_at = m_fixture.clock.Now();
    ReplyToPollOf("w-2", {});
    const core::Duration longest = execution::kMaxCommandDelay + kLongestLease;
    while (m_fixture.worker_port.starts.empty()) {
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < began_at + longest + kSlack);
    }
    CPPUNIT_ASSERT(began_at + longest - kReplyDelay <= m_fixture.clock.Now());
  }

  void SuccessorDoesNotWaitForAnAnsweredStart() {
    BeginAsSuccessor(std::nullopt);
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(core::Attempt(7) < m_fixture.worker_port.starts[0].attempt);
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

 private:
  static const milliseconds kLongestLease;

  /** @brief Begins a term after a leader that had placed a long-running task on
   * w-1. */
  void BeginAsSuccessor(std::optional<core::Attempt> open_attempt) {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    job::Job job =
        job::Job::Create(MakeJob(kJob, {step}), nullptr, core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.incarnation = core::Incarnation(1);
    run.attempt = core::Attempt(7);
    job.BeginRun({0, 0, 0}, run);
    job::JobProgress progress = job.Progress();
    progress.placements->front().open_attempt = open_attempt;
    m_fixture.catalog.Apply(job::JobStored{job.Accepted()}, {});
    m_fixture.catalog.Apply(
        job::ProgressStored{job.Id(), progress, core::Revision(50)}, {});
    job::HandoverState handover;
    handover.has_current_placements = true;
    for (const char* worker : {"w-1", "w-2"}) {
      handover.workers.push_back(
          {MakeId<core::InstanceId>(worker), core::Incarnation(1),
           MakeId<core::PoolId>("pool"), std::chrono::seconds(10)});
    }
    m_fixture.BeginTerm(20, handover);
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
  }

  /** @brief Fails all polls of the worker for some time. */
  void KeepSilentFor(core::Duration time) {
    const core::TimePoint end = m_fixture.clock.Now() + time;
    while (m_fixture.clock.Now() < end) {
      ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
    }
  }

  /** @brief Checks that the task starts elsewhere once this time has passed,
   * and not before, while the worker is silent. */
  void ExpectNextStartAfter(core::TimePoint since, core::Duration time) {
    while (m_fixture.worker_port.starts.size() == 1) {
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < since + time + kSlack);
    }
    CPPUNIT_ASSERT(since + time - kReplyDelay <= m_fixture.clock.Now());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }
};

const milliseconds HeldRunTest::kLongestLease =
    std::chrono::duration_cast<milliseconds>(execution::WithClockDrift(
        scheduling::SchedulingTerm().max_worker_lease));

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HeldRunTest, "scheduling");

}  // namespace
