#include "test/scheduling/successor_fixture.h"

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
/** @brief Starts that outlive their run or their leader. */
class RepeatedStartTest : public test::SuccessorFixture {
  CPPUNIT_TEST_SUITE(RepeatedStartTest);
  CPPUNIT_TEST(FailedTaskStartsOnlyOnTheWorkerOfItsOpenStart);
  CPPUNIT_TEST(FailedTaskWaitsForTheOpenStartOnASilentWorker);
  CPPUNIT_TEST(FailedTaskDoesNotWaitForAWorkerThatLeaves);
  CPPUNIT_TEST(FailedTaskWaitsNoLongerThanTheLeaseOfAGoneWorker);
  CPPUNIT_TEST(TaskDoesNotWaitWhereAnotherWorkerReplies);
  CPPUNIT_TEST(OtherTasksOfTheStepDoNotWait);
  CPPUNIT_TEST(SuccessorStartsAFailedTaskOnTheWorkerOfItsOpenStart);
  CPPUNIT_TEST(SuccessorWaitsOnlyForTheTimeThatIsLeft);
  CPPUNIT_TEST(TimeThatIsLeftShrinksIfLeadersAreLost);
  CPPUNIT_TEST(SuccessorDoesNotWaitIfAllOpenStartsAreKnown);
  CPPUNIT_TEST(SuccessorInheritsThatTheWorkerWasGone);
  CPPUNIT_TEST(GoneWorkerIsNotWaitedForWhileItIsStillListed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 61, TWICE: the next attempt ran elsewhere beside the first copy of
  // the start, which a later incarnation of the worker executed.
  void FailedTaskStartsOnlyOnTheWorkerOfItsOpenStart() {
    const execution::StartCommand start = FailAfterRepeat();
    // It has the least room that is enough, and would be taken otherwise.
    m_fixture.scheduler.Handle(
        scheduling::WorkerUpdated{MakeWorker("w-2", 1, 1000)});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_fixture.worker_port.starts.size());
    const execution::StartCommand& next = m_fixture.worker_port.starts[2];
    CPPUNIT_ASSERT(start.attempt < next.attempt);
    CPPUNIT_ASSERT(start.to.worker == next.to.worker);
  }

  void FailedTaskWaitsForTheOpenStartOnASilentWorker() {
    FailBesideOtherRun();
    ExpectStartOnOtherWorkerAfter(execution::kMaxCommandDelay + kLongestLease);
  }

  // LOST: the worker has replied, and takes no task any more.
  void FailedTaskDoesNotWaitForAWorkerThatLeaves() {
    execution::WorkerRecord leaving = MakeWorker("w-1");
    leaving.is_draining = true;
    FailAfterRepeat();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{leaving});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[2].to.worker);
  }

  // LOST: its machine runs nothing.
  void FailedTaskWaitsNoLongerThanTheLeaseOfAGoneWorker() {
    FailAfterRepeat();
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-1")});
    m_fixture.clock.Advance(kStep);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    ExpectStartOnOtherWorkerAfter(kLongestLease);
  }

  // It rejects the start, which names the worker that was there.
  void TaskDoesNotWaitWhereAnotherWorkerReplies() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kIncarnationMismatch);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[1].to.worker);
  }

  void OtherTasksOfTheStepDoNotWait() {
    const job::TaskId task = FailBesideOtherRun();
    const std::size_t starts = m_fixture.worker_port.starts.size();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(starts + 1, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(!(m_fixture.worker_port.starts.back().task == task));
  }

  // Issue 61: what is known of the start ended with the term.
  void SuccessorStartsAFailedTaskOnTheWorkerOfItsOpenStart() {
    const execution::StartCommand start = FailAfterRepeat();
    BeginNextTerm(m_fixture.scheduler.FinalHandoverState());
    ReplyToPollOf("w-1", {});
    ReplyToPollOf("w-2", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NewStarts().size());
    CPPUNIT_ASSERT(start.to.worker == NewStarts()[0].to.worker);
  }

  // Issue 61, LOST: each leader counted the time anew from the beginning of its
  // own term.
  void SuccessorWaitsOnlyForTheTimeThatIsLeft() {
    m_sent_at = BeginLongRunningWithOpenStart();
    for (int term = 0; term < 3; ++term) {
      KeepSilentFor(milliseconds(2500));
      BeginNextTerm(m_fixture.scheduler.FinalHandoverState());
      ReplyToPollOf("w-2", {});
    }
    ExpectStartOnOtherWorkerAfter(execution::kMaxCommandDelay + kLongestLease);
  }

  // What a successor stores at the beginning of its term counts for the next.
  void TimeThatIsLeftShrinksIfLeadersAreLost() {
    m_sent_at = BeginLongRunningWithOpenStart();
    KeepSilentFor(milliseconds(9000));
    BeginNextTerm(m_fixture.scheduler.FinalHandoverState());
    ReplyToPollOf("w-2", {});
    const core::TimePoint stored_at = m_fixture.clock.Now();
    KeepSilentFor(milliseconds(3000));
    const core::Duration lost = m_fixture.clock.Now() - stored_at;
    BeginNextTerm(StoredHandover());
    ReplyToPollOf("w-2", {});
    ExpectStartOnOtherWorkerAfter(execution::kMaxCommandDelay + kLongestLease,
                                  lost);
  }

  // The leader has resigned, and each start of it was answered.
  void SuccessorDoesNotWaitIfAllOpenStartsAreKnown() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    BeginNextTerm(m_fixture.scheduler.FinalHandoverState());
    ReplyToPollOf("w-1", {});
    ReplyToPollOf("w-2", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NewStarts().size());
    CPPUNIT_ASSERT(start.attempt < NewStarts()[0].attempt);
  }

  // Issue 61, LOST: only the leader that saw it did not wait for the time in
  // which the start might be executed.
  void SuccessorInheritsThatTheWorkerWasGone() {
    m_sent_at = BeginLongRunningWithOpenStart();
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-1")});
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    m_fixture.RunCycles();
    BeginNextTerm(m_fixture.scheduler.FinalHandoverState(), {"w-2"});
    ReplyToPollOf("w-2", {});
    ExpectStartOnOtherWorkerAfter(kLongestLease);
  }

  // LOST: its membership entry outlived it.
  void GoneWorkerIsNotWaitedForWhileItIsStillListed() {
    m_sent_at = BeginLongRunningWithOpenStart();
    BeginNextTerm(StoredHandover());
    ReplyToPollOf("w-2", {});
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    ExpectStartOnOtherWorkerAfter(kLongestLease, milliseconds(1000));
  }

 private:
  static job::Step MakeLongRunningStep(std::uint32_t count,
                                       std::uint64_t cpu = 1000) {
    job::Step step = MakeStep(count, cpu);
    step.is_long_running = true;
    return step;
  }

  // The first copy of the start got no reply; the second one was executed, and
  // the run has failed.
  execution::StartCommand FailAfterRepeat() {
    m_accepted = MakeJob(kJob, {MakeLongRunningStep(1)});
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[1],
                           WorkerCallOutcome::kDone);
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kFailed)});
    return start;
  }

  // The same beside a run that keeps the worker polled; the worker falls silent
  // then, and another one joins, where a third task has room.
  job::TaskId FailBesideOtherRun() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeLongRunningStep(3, 1500)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    const execution::StartCommand other = m_fixture.worker_port.starts[1];
    m_sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(other, WorkerCallOutcome::kDone);
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    m_fixture.scheduler.SetStoreView({});
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 1, RunOutcome::kFailed)},
                  WorkerCallOutcome::kDone, {Fixture::ActiveRun(other)});
    const std::size_t polls = m_fixture.worker_port.polls.size();
    for (int cycle = 0;
         cycle < 40 && m_fixture.worker_port.polls.size() == polls; ++cycle) {
      m_fixture.clock.Advance(scheduling::kSweepInterval);
      m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    }
    CPPUNIT_ASSERT(polls < m_fixture.worker_port.polls.size());
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(
        scheduling::WorkerUpdated{MakeWorker("w-2", 1, 8000)});
    return start.task;
  }

  // All that was sent to w-2 runs there.
  void ReplyFromOtherWorker() {
    const auto other = MakeId<core::InstanceId>("w-2");
    std::vector<execution::RunReport> running;
    for (const execution::StartCommand& start : m_fixture.worker_port.starts) {
      if (start.to.worker == other) {
        running.push_back(Fixture::ActiveRun(start));
      }
    }
    if (running.empty()) {
      return;
    }
    execution::PollReply reply = ReplyToLastPollOf("w-2");
    reply.outcome = WorkerCallOutcome::kDone;
    reply.running = std::move(running);
    reply.clock = execution::WorkerTime(
        std::chrono::seconds(10) + std::chrono::duration_cast<milliseconds>(
                                       m_fixture.clock.Now() - m_sent_at));
    m_fixture.scheduler.Handle(reply);
  }

  core::TimePoint BeginLongRunningWithOpenStart() {
    m_accepted = MakeJob(kJob, {MakeLongRunningStep(1)});
    const execution::StartCommand start = BeginWithLongRunningTask();
    const core::TimePoint sent_at = m_fixture.clock.Now();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.RunCycles();
    return sent_at;
  }

  /** @brief Checks that the task starts on w-2 this long after the start that
   * got no reply, or up to another time longer, while w-1 is silent. */
  void ExpectStartOnOtherWorkerAfter(core::Duration time,
                                     core::Duration longer = {}) {
    const job::TaskId task{MakeId<core::JobId>(kJob), {0, 0, 0}};
    const auto starts_elsewhere = [&] {
      const auto& starts = m_fixture.worker_port.starts;
      return std::any_of(starts.begin(), starts.end(), [&](const auto& start) {
        return start.task == task &&
               start.to.worker == MakeId<core::InstanceId>("w-2");
      });
    };
    while (!starts_elsewhere()) {
      ReplyFromOtherWorker();
      KeepSilentFor(kStep);
      CPPUNIT_ASSERT(m_fixture.clock.Now() <
                     m_sent_at + time + longer + 2 * kSlack);
    }
    CPPUNIT_ASSERT(m_sent_at + time - 2 * kReplyDelay <= m_fixture.clock.Now());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RepeatedStartTest, "scheduling");

}  // namespace
