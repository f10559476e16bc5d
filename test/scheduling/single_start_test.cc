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
using test::kStep;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr const char* kJob = HeldRunFixture::kJob;
constexpr char kOtherJob[] = "fedcba9876543210";
/** @brief Time for the polls that show that a start was not executed. */
constexpr milliseconds kPollSlack{1000};

/** @brief Starts without a reply of tasks that must not run twice: no second
 * one is sent while the first one may be executed. */
class SingleStartTest : public HeldRunFixture {
  CPPUNIT_TEST_SUITE(SingleStartTest);
  CPPUNIT_TEST(StartIsNotRepeatedWhileItMayBeExecuted);
  CPPUNIT_TEST(LateStartIsTheOnlyOne);
  CPPUNIT_TEST(EndOfALateStartIsTheOnlyOne);
  CPPUNIT_TEST(NextStartIsWaitedForAnew);
  CPPUNIT_TEST(LaterIncarnationGetsNoSecondStart);
  CPPUNIT_TEST(LateStartOnALaterIncarnationGoesOn);
  CPPUNIT_TEST(RoomIsKeptForALateStart);
  CPPUNIT_TEST(StartOnAShrunkWorkerIsStoppedAndWaitedFor);
  CPPUNIT_TEST(StartOnADrainingWorkerIsWaitedFor);
  CPPUNIT_TEST(TaskOfAMovedQueueStartsInItsNewPool);
  CPPUNIT_TEST(CancelledJobStartsNothing);
  CPPUNIT_TEST(WorkerWithoutMachineMayComeBack);
  CPPUNIT_TEST(WorkerWhoseMachineHasAnotherOneIsGone);
  CPPUNIT_TEST(GangStartsAgainOnceItsLateMemberCannot);
  CPPUNIT_TEST(JobHasBegunOnceItsStartWasExecuted);
  CPPUNIT_TEST(CrashDuringTheWaitIsNotBlamedOnTheTask);
  CPPUNIT_TEST(SpeculativeStartIsRepeated);
  CPPUNIT_TEST(WaitsAreMeasured);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 64, TWICE: the start was repeated, and the first copy of it was
  // executed once the task was done. LOST: the task must start once that can't
  // happen any more.
  void StartIsNotRepeatedWhileItMayBeExecuted() {
    const execution::StartCommand start = BeginUnanswered();
    ExpectNextStart(execution::kMaxCommandDelay);
    const execution::StartCommand& next = m_fixture.worker_port.starts[1];
    CPPUNIT_ASSERT(start.to.worker == next.to.worker);
    CPPUNIT_ASSERT(start.attempt == next.attempt);
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
  }

  void LateStartIsTheOnlyOne() {
    const execution::StartCommand start = BeginUnanswered();
    PollFor(milliseconds(5000));
    PollFor(milliseconds(1000), {Fixture::ActiveRun(start)});
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    // It may be executed nowhere else now.
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    PollFor(milliseconds(20000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    CPPUNIT_ASSERT(job::JobState::kSucceeded == LastProgress().state);
  }

  void EndOfALateStartIsTheOnlyOne() {
    const execution::StartCommand start = BeginUnanswered();
    PollFor(milliseconds(5000));
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kFailed)});
    m_fixture.RunCycles();
    // The only copy was executed, so that the next attempt need not wait.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(start.attempt < m_fixture.worker_port.starts[1].attempt);
  }

  void NextStartIsWaitedForAnew() {
    BeginUnanswered();
    ExpectNextStart(execution::kMaxCommandDelay);
    m_sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kUnknown);
    ExpectNextStart(execution::kMaxCommandDelay);
  }

  // The start may reach this incarnation too.
  void LaterIncarnationGetsNoSecondStart() {
    BeginUnanswered();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectNextStart(execution::kMaxCommandDelay);
  }

  void LateStartOnALaterIncarnationGoesOn() {
    const execution::StartCommand start = BeginUnanswered();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    PollFor(milliseconds(5000));
    PollFor(milliseconds(20000), {Fixture::ActiveRun(start)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
  }

  // Otherwise the worker would reject the start when it arrives.
  void RoomIsKeptForALateStart() {
    BeginUnanswered();
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-2")});
    m_fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1, 3500)}));
    PollFor(milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
  }

  // LIMIT: what it began would have no room.
  void StartOnAShrunkWorkerIsStoppedAndWaitedFor() {
    BeginUnanswered();
    m_fixture.scheduler.Handle(
        scheduling::WorkerUpdated{MakeWorker("w-1", 1, 500)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
    m_fixture.scheduler.HandleStopReply(m_fixture.MakeReply(
        m_fixture.worker_port.stops[0], WorkerCallOutcome::kDone));
    ExpectNextStart(execution::kMaxCommandDelay);
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }

  // The worker may still execute it while it serves.
  void StartOnADrainingWorkerIsWaitedFor() {
    BeginUnanswered();
    execution::WorkerRecord draining = MakeWorker("w-1");
    draining.is_draining = true;
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{draining});
    ExpectNextStart(execution::kMaxCommandDelay);
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }

  // ROUTE: its worker is not one of the queue any more.
  void TaskOfAMovedQueueStartsInItsNewPool() {
    BeginUnanswered();
    execution::WorkerRecord other = MakeWorker("w-3");
    other.pool = MakeId<core::PoolId>("other");
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{other});
    m_fixture.scheduler.SetQueueCatalog(test::MakeOtherPoolCatalog());
    ExpectNextStart(execution::kMaxCommandDelay);
    CPPUNIT_ASSERT(other.id == m_fixture.worker_port.starts[1].to.worker);
  }

  void CancelledJobStartsNothing() {
    BeginUnanswered();
    m_fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
    m_fixture.scheduler.HandleStopReply(m_fixture.MakeReply(
        m_fixture.worker_port.stops[0], WorkerCallOutcome::kDone));
    PollFor(milliseconds(20000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
  }

  // Its machine is down, and may be up again with the worker under its id,
  // which executes the start then.
  void WorkerWithoutMachineMayComeBack() {
    BeginUnanswered();
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    ExpectNextStartAfter(m_sent_at, execution::kMaxCommandDelay);
  }

  // LOST: the worker will not come back.
  void WorkerWhoseMachineHasAnotherOneIsGone() {
    BeginUnanswered();
    ListMachineWith("w-1");
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWith("w-3");
    ExpectNextStartAfter(m_sent_at, kLongestLease);
  }

  // GANG: the other members are not started to wait for it.
  void GangStartsAgainOnceItsLateMemberCannot() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    job::Step step = MakeStep(2);
    step.is_gang = true;
    m_fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    m_fixture.RunCycles();
    m_sent_at = m_fixture.clock.Now();
    const std::vector<execution::StartCommand> starts =
        m_fixture.worker_port.starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    m_fixture.ReplyToStart(starts[0], WorkerCallOutcome::kDone);
    m_fixture.ReplyToStart(starts[1], WorkerCallOutcome::kUnknown);
    PollFor(milliseconds(3000), {Fixture::ActiveRun(starts[0])});
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    ReplyToPollOf(
        "w-1", {Fixture::EndedRun(starts[0], 1, RunOutcome::kGangIncomplete)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
    CPPUNIT_ASSERT(starts[1].task == m_fixture.worker_port.stops[0].task);
    m_fixture.scheduler.HandleStopReply(m_fixture.MakeReply(
        m_fixture.worker_port.stops[0], WorkerCallOutcome::kDone));
    while (m_fixture.worker_port.starts.size() == 2) {
      PollFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     m_sent_at + execution::kMaxCommandDelay + kPollSlack);
    }
    CPPUNIT_ASSERT(m_sent_at + execution::kMaxCommandDelay - kReplyDelay <=
                   m_fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_fixture.worker_port.starts.size());
  }

  // MIXED (review/4): the job counts as pending until a task has begun.
  void JobHasBegunOnceItsStartWasExecuted() {
    const execution::StartCommand start = BeginUnanswered();
    PollFor(milliseconds(5000));
    CPPUNIT_ASSERT(!LastProgress().has_begun);
    PollFor(milliseconds(1500), {Fixture::ActiveRun(start)});
    CPPUNIT_ASSERT(LastProgress().has_begun);
  }

  // LOST: each crash of the worker counted against a task that did not run.
  void CrashDuringTheWaitIsNotBlamedOnTheTask() {
    BeginUnanswered();
    PollFor(milliseconds(2000));
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         m_fixture.logger.Count("worker_crashed"));
  }

  // Copies of its tasks may run beside each other.
  void SpeculativeStartIsRepeated() {
    job::Step step = MakeStep(1);
    step.is_speculative = true;
    const execution::StartCommand start = Begin(step);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }

  void WaitsAreMeasured() {
    const execution::StartCommand start = BeginUnanswered();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_fixture.meter.Count(core::Counter::kStartsAwaited));
    CPPUNIT_ASSERT_EQUAL(std::string("w-1"),
                         m_fixture.logger.Field("start_wait_begins", "worker"));
    PollFor(milliseconds(2000));
    PollFor(milliseconds(1000), {Fixture::ActiveRun(start)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         m_fixture.logger.Count("start_wait_ends"));
    CPPUNIT_ASSERT_EQUAL(std::string("executed"),
                         m_fixture.logger.Field("start_wait_ends", "end"));
  }

 private:
  execution::StartCommand BeginUnanswered() {
    const execution::StartCommand start = BeginWithOneTask();
    m_sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    return start;
  }

  /** @brief Lets the worker reply to all polls for some time. */
  void PollFor(core::Duration time,
               const std::vector<execution::RunReport>& running = {}) {
    const core::TimePoint end = m_fixture.clock.Now() + time;
    while (m_fixture.clock.Now() < end) {
      ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone, running);
      m_fixture.clock.Advance(kStep);
      m_fixture.RunCycles();
    }
  }

  /** @brief Checks that the next start is sent this long after the first one,
   * while the worker replies without runs. */
  void ExpectNextStart(core::Duration time) {
    const std::size_t starts = m_fixture.worker_port.starts.size();
    while (m_fixture.worker_port.starts.size() == starts) {
      PollFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() < m_sent_at + time + kPollSlack);
    }
    CPPUNIT_ASSERT(m_sent_at + time - kReplyDelay <= m_fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(starts + 1, m_fixture.worker_port.starts.size());
  }

  void ListMachineWith(const char* worker) {
    m_fixture.clock.Advance(milliseconds(50));
    upkeep::MachineListReceived list;
    list.is_known = true;
    list.is_single_page = true;
    list.requested_at = m_fixture.clock.Now();
    upkeep::Machine machine;
    machine.id = MakeId<core::MachineId>("m-1");
    machine.pool = MakeId<core::PoolId>("pool");
    machine.state = upkeep::MachineState::kUp;
    machine.worker = MakeId<core::InstanceId>(worker);
    list.machines.push_back(machine);
    m_fixture.scheduler.Handle(list);
  }

  job::JobProgress LastProgress() const {
    job::JobProgress last;
    for (const job::Commit& commit : m_fixture.store.commits) {
      for (const job::ProgressWrite& write : commit.progress) {
        last = write.progress;
      }
    }
    return last;
  }

  core::TimePoint m_sent_at;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SingleStartTest, "scheduling");

}  // namespace
