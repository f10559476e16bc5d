#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using job::RunOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";

/** @brief A worker that starts again under its id while a start command is on
 * its way: the later incarnation executes the command. */
class LaterIncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LaterIncarnationTest);
  CPPUNIT_TEST(StartRepeatedToLaterIncarnationIsStopped);
  CPPUNIT_TEST(StartAnsweredBeforeTheRestartIsKnownIsStopped);
  CPPUNIT_TEST(StartInFlightAtTheRestartIsStopped);
  CPPUNIT_TEST(GangMemberIsStoppedBeforeTheGangStartsAgain);
  CPPUNIT_TEST(LongRunningTaskIsStoppedBeforeItStartsAgain);
  CPPUNIT_TEST(StopIsRepeatedUntilItIsAnswered);
  CPPUNIT_TEST(StopIsSentAgainAfterAnotherRestart);
  CPPUNIT_TEST(RunOnUnreachableIncarnationEndsWithItsLease);
  CPPUNIT_TEST(UnansweredStartOfEndedRunIsStopped);
  CPPUNIT_TEST(EndOnLaterIncarnationCompletesTheTask);
  CPPUNIT_TEST(ListedRunIsPlacedAgainWithoutStop);
  CPPUNIT_TEST(SuccessorPollsLaterIncarnationBeforeItStartsTasks);
  CPPUNIT_TEST(ClockOfLaterIncarnationDoesNotProlongTheLease);
  CPPUNIT_TEST(StartIsNotRepeatedWhileTheWorkerIsSilent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 36, TWICE: a start whose reply was lost was repeated to the next
  // incarnation of a cut off worker, which ran it, and was counted as lost.
  void StartRepeatedToLaterIncarnationIsStopped() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kDone);
    ReplyFromLaterIncarnation(2);
    ExpectStopBeforeNextStart(start, 2);
  }

  // Only the reply to a poll tells which incarnation replied to the start.
  void StartAnsweredBeforeTheRestartIsKnownIsStopped() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectStopBeforeNextStart(start, 2);
  }

  void StartInFlightAtTheRestartIsStopped() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ExpectStopBeforeNextStart(start, 2);
  }

  void GangMemberIsStoppedBeforeTheGangStartsAgain() {
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
    ConfirmStop();
    PollUntilSettled();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_fixture.worker_port.starts.size());
  }

  void LongRunningTaskIsStoppedBeforeItStartsAgain() {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    const execution::StartCommand start = Begin(step);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ReplyFromLaterIncarnation(2);
    ExpectStopBeforeNextStart(start, 2);
  }

  void StopIsRepeatedUntilItIsAnswered() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
    m_fixture.scheduler.HandleStopReply(m_fixture.MakeReply(
        m_fixture.worker_port.stops[0], WorkerCallOutcome::kUnknown));
    // That the run is not listed is no evidence: the start may come yet.
    ReplyToPollOf("w-1", {});
    m_fixture.clock.Advance(scheduling::kCommandRetryDelay);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.stops.size());
    ExpectStopBeforeNextStart(start, 2);
  }

  void StopIsSentAgainAfterAnotherRestart() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 3)});
    ExpectStopBeforeNextStart(start, 3);
  }

  // It must not wait for ever, either.
  void RunOnUnreachableIncarnationEndsWithItsLease() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    const core::TimePoint restarted_at = m_fixture.clock.Now();
    while (m_fixture.worker_port.starts.size() == 1) {
      m_fixture.clock.Advance(milliseconds(200));
      m_fixture.RunCycles();
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     restarted_at + std::chrono::seconds(7));
    }
    CPPUNIT_ASSERT(restarted_at +
                       scheduling::SchedulingTerm().max_worker_lease <=
                   m_fixture.clock.Now());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }

  // The command may be executed seconds later, so it outlives the run.
  void UnansweredStartOfEndedRunIsStopped() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kDone);
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
    CPPUNIT_ASSERT(start.task == m_fixture.worker_port.stops[0].task);
  }

  void EndOnLaterIncarnationCompletesTheTask() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    ConfirmStop();
    PollUntilSettled();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
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

  // The reply to a poll is evidence that commands of earlier leaders are
  // rejected; that the worker has restarted is none.
  void SuccessorPollsLaterIncarnationBeforeItStartsTasks() {
    job::Job job = job::Job::Create(MakeJob(kJob, {MakeStep(1)}), nullptr,
                                    core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.incarnation = core::Incarnation(1);
    run.attempt = core::Attempt(1);
    job.BeginRun({0, 0, 0}, run);
    m_fixture.catalog.Apply(job::JobStored{job.Accepted()}, {});
    m_fixture.catalog.Apply(
        job::ProgressStored{job.Id(), job.Progress(), core::Revision(50)}, {});
    m_fixture.BeginTerm(
        20, {{{run.worker, run.incarnation, MakeId<core::PoolId>("pool"),
               std::chrono::seconds(10)}},
             {}});
    m_fixture.SetWorkers({MakeWorker("w-1", 2), MakeWorker("w-2")});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.polls.size());
    m_fixture.ReplyToPoll(
        {{{job.Id(), {0, 0, 0}}, core::Attempt(1), "", 20, {}}}, {});
    m_fixture.RunCycles();
    // The later incarnation runs what the earlier leader sent.
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
  }

  // The lease is requested on the clock of the earlier incarnation. The clock
  // of the later one made its end appear to be far ahead.
  void ClockOfLaterIncarnationDoesNotProlongTheLease() {
    const execution::StartCommand start = BeginWithOneTask();
    execution::WorkerCommandReply reply =
        m_fixture.MakeReply(start, WorkerCallOutcome::kDone);
    reply.clock = execution::WorkerTime(milliseconds(20));
    m_fixture.scheduler.HandleStartReply(reply);
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    const core::TimePoint answered_at = m_fixture.clock.Now();
    while (m_fixture.worker_port.starts.size() == 1) {
      ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
      m_fixture.clock.Advance(milliseconds(200));
      m_fixture.RunCycles();
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     answered_at + std::chrono::seconds(8));
    }
  }

  // Each repeat that is on its way may reach the next incarnation.
  void StartIsNotRepeatedWhileTheWorkerIsSilent() {
    const execution::StartCommand start = BeginWithOneTask();
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    m_fixture.clock.Advance(scheduling::kPollRetryDelay);
    m_fixture.RunCycles();
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(start.attempt == m_fixture.worker_port.starts[1].attempt);
  }

 private:
  execution::StartCommand Begin(const job::Step& step) {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    return m_fixture.worker_port.starts[0];
  }

  execution::StartCommand BeginWithOneTask() { return Begin(MakeStep(1)); }

  execution::StartCommand StartOn(const char* id) const {
    const auto& starts = m_fixture.worker_port.starts;
    const auto found =
        std::find_if(starts.begin(), starts.end(), [id](const auto& start) {
          return start.to.worker == MakeId<core::InstanceId>(id);
        });
    CPPUNIT_ASSERT(found != starts.end());
    return *found;
  }

  execution::PollReply ReplyToLastPollOf(const char* id) const {
    const auto& polls = m_fixture.worker_port.polls;
    const auto found =
        std::find_if(polls.rbegin(), polls.rend(), [id](const auto& poll) {
          return poll.to.worker == MakeId<core::InstanceId>(id);
        });
    CPPUNIT_ASSERT(found != polls.rend());
    execution::PollReply reply;
    reply.worker = found->to.worker;
    reply.incarnation = found->to.incarnation;
    reply.sequence = found->sequence;
    return reply;
  }

  void ReplyToPollOf(const char* id,
                     std::vector<execution::EndedRunReport> ended,
                     WorkerCallOutcome outcome = WorkerCallOutcome::kDone) {
    execution::PollReply reply = ReplyToLastPollOf(id);
    reply.outcome = outcome;
    reply.ended = std::move(ended);
    m_fixture.scheduler.Handle(reply);
  }

  void ReplyFromLaterIncarnation(std::uint64_t incarnation) {
    execution::PollReply reply = ReplyToLastPollOf("w-1");
    reply.outcome = WorkerCallOutcome::kDone;
    reply.replying_incarnation = core::Incarnation(incarnation);
    m_fixture.scheduler.Handle(reply);
  }

  void ConfirmStop() {
    CPPUNIT_ASSERT(!m_fixture.worker_port.stops.empty());
    m_fixture.scheduler.HandleStopReply(m_fixture.MakeReply(
        m_fixture.worker_port.stops.back(), WorkerCallOutcome::kDone));
  }

  /** @brief Replies that nothing runs to the poll that is in flight and to the
   * next one, which is sent after the stop was confirmed. */
  void PollUntilSettled() {
    for (int poll = 0; poll < 2; ++poll) {
      ReplyToPollOf("w-1", {});
      m_fixture.clock.Advance(scheduling::kLateStartPollDelay);
      m_fixture.RunCycles();
    }
  }

  /** @brief Checks that the task starts again only after the later incarnation
   * has confirmed that it does not run. */
  void ExpectStopBeforeNextStart(const execution::StartCommand& start,
                                 std::uint64_t incarnation) {
    const std::size_t starts = m_fixture.worker_port.starts.size();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(starts, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(!m_fixture.worker_port.stops.empty());
    const execution::StopCommand stop = m_fixture.worker_port.stops.back();
    CPPUNIT_ASSERT(start.task == stop.task);
    CPPUNIT_ASSERT(start.attempt == stop.attempt);
    CPPUNIT_ASSERT_EQUAL(incarnation, stop.to.incarnation.Count());
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(starts, m_fixture.worker_port.starts.size());
    ConfirmStop();
    PollUntilSettled();
    CPPUNIT_ASSERT_EQUAL(starts + 1, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(start.attempt < m_fixture.worker_port.starts.back().attempt);
  }

  Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LaterIncarnationTest, "scheduling");

}  // namespace
