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

/** @brief Runs of a worker that starts again under its id. */
class LaterIncarnationTest : public LaterIncarnationFixture {
  CPPUNIT_TEST_SUITE(LaterIncarnationTest);
  CPPUNIT_TEST(StartRepeatedToLaterIncarnationIsSettledByItsReply);
  CPPUNIT_TEST(StartAnsweredBeforeTheRestartIsKnownIsSettled);
  CPPUNIT_TEST(StartInFlightAtTheRestartIsSettled);
  CPPUNIT_TEST(GangMemberIsSettledBeforeTheGangStartsAgain);
  CPPUNIT_TEST(LongRunningTaskIsSettledBeforeItStartsAgain);
  CPPUNIT_TEST(RunOnUnreachableIncarnationEndsWithItsLease);
  CPPUNIT_TEST(LateStartOfEndedRunIsStopped);
  CPPUNIT_TEST(LateStartOfEndedRunHoldsItsTask);
  CPPUNIT_TEST(EndOnLaterIncarnationCompletesTheTask);
  CPPUNIT_TEST(RunOnLaterIncarnationGoesOn);
  CPPUNIT_TEST(CancelledRunOnLaterIncarnationIsStopped);
  CPPUNIT_TEST(ListedRunIsPlacedAgainWithoutStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 36, TWICE: a start whose reply was lost was repeated to the next
  // incarnation of a cut off worker, which ran it, and was counted as lost.
  void StartRepeatedToLaterIncarnationIsSettledByItsReply() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kDone);
    ReplyFromLaterIncarnation(2);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectReplyBeforeRepeat(start, 2);
  }

  // Only the reply to a poll tells which incarnation replied to the start.
  void StartAnsweredBeforeTheRestartIsKnownIsSettled() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectReplyBeforeNextStart(start, 2);
  }

  void StartInFlightAtTheRestartIsSettled() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ExpectReplyBeforeRepeat(start, 2);
  }

  void GangMemberIsSettledBeforeTheGangStartsAgain() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers(
        {MakeWorker("w-1", 1, 1000), MakeWorker("w-2", 1, 1000)});
    job::Step step = MakeStep(2);
    step.is_gang = true;
    m_fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    const execution::StartCommand first = StartOn("w-1");
    const execution::StartCommand second = StartOn("w-2");
    m_fixture.ReplyToStart(first, WorkerCallOutcome::kDone);
    m_fixture.ReplyToStart(second, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(
        scheduling::WorkerUpdated{MakeWorker("w-1", 2, 1000)});
    ReplyToPollOf("w-2",
                  {Fixture::EndedRun(second, 1, RunOutcome::kGangBroken)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_fixture.worker_port.starts.size());
  }

  void LongRunningTaskIsSettledBeforeItStartsAgain() {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    const execution::StartCommand start = Begin(step);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectReplyBeforeNextStart(start, 2);
  }

  // It must not wait for ever, either: a start command arrives within
  // kMaxCommandDelay, and what it starts runs for one lease.
  void RunOnUnreachableIncarnationEndsWithItsLease() {
    const execution::StartCommand start = BeginWithOneTask();
    const core::TimePoint sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    const core::Duration longest =
        execution::kMaxCommandDelay +
        execution::WithClockDrift(
            scheduling::SchedulingTerm().max_worker_lease);
    while (m_fixture.worker_port.starts.size() == 1) {
      m_fixture.clock.Advance(milliseconds(200));
      m_fixture.RunCycles();
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     sent_at + longest + milliseconds(500));
    }
    CPPUNIT_ASSERT(sent_at + longest - milliseconds(100) <=
                   m_fixture.clock.Now());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }

  // The command may be executed seconds later, so it outlives the run.
  void LateStartOfEndedRunIsStopped() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                  {Fixture::ActiveRun(start)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
    CPPUNIT_ASSERT(start.task == m_fixture.worker_port.stops[0].task);
  }

  // The task has failed there and is due to start again.
  void LateStartOfEndedRunHoldsItsTask() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kDone);
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kFailed)});
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectReplyBeforeNextStart(start, 2);
  }

  void EndOnLaterIncarnationCompletesTheTask() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
  }

  void RunOnLaterIncarnationGoesOn() {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    const execution::StartCommand start = Begin(step);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    for (int poll = 0; poll < 3; ++poll) {
      ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                    {Fixture::ActiveRun(start)});
      m_fixture.RunCycles();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    // Once it is not listed any more, it is known to have ended.
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }

  void CancelledRunOnLaterIncarnationIsStopped() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    m_fixture.RunCycles();
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                  {Fixture::ActiveRun(start)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(!m_fixture.worker_port.stops.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{2},
        m_fixture.worker_port.stops.back().to.incarnation.Count());
  }

  // A run that the earlier incarnation had listed ended with it.
  void ListedRunIsPlacedAgainWithoutStop() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.RunCycles();
    ReplyFromLaterIncarnation(2);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LaterIncarnationTest, "scheduling");

}  // namespace
