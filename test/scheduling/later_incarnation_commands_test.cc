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

/** @brief Commands to a worker that starts again under its id. */
class LaterIncarnationCommandsTest : public LaterIncarnationFixture {
  CPPUNIT_TEST_SUITE(LaterIncarnationCommandsTest);
  CPPUNIT_TEST(AnotherRestartNeedsAReplyOfItsOwn);
  CPPUNIT_TEST(NothingIsSentBeforeTheIncarnationIsStored);
  CPPUNIT_TEST(FirstPollForgetsNoEndsAndGrantsNoLease);
  CPPUNIT_TEST(FirstPollIsRepeatedUntilItIsAnswered);
  CPPUNIT_TEST(StartOnWorkerWithoutMachineIsHeld);
  CPPUNIT_TEST(WorkerThatLeftTheListIsPolledFirst);
  CPPUNIT_TEST(SuccessorPollsLaterIncarnationBeforeItStartsTasks);
  CPPUNIT_TEST(SuccessorPollsUnknownWorkerFirst);
  CPPUNIT_TEST(ClockOfLaterIncarnationDoesNotProlongTheLease);
  CPPUNIT_TEST(StartIsNotRepeatedWhileTheWorkerIsSilent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnotherRestartNeedsAReplyOfItsOwn() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    const execution::PollReply late = ReplyToLastPollOf("w-1");
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 3)});
    m_fixture.RunCycles();
    execution::PollReply reply = late;
    reply.outcome = WorkerCallOutcome::kDone;
    m_fixture.scheduler.Handle(reply);
    ExpectReplyBeforeRepeat(start, 3);
  }

  // A call without a token of its own would not make the later incarnation
  // reject those to the earlier one.
  void NothingIsSentBeforeTheIncarnationIsStored() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    for (int attempt = 0; attempt < 5; ++attempt) {
      m_fixture.clock.Advance(scheduling::kCommandRetryDelay);
      m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
      if (m_fixture.replied_commits < m_fixture.store.commits.size()) {
        m_fixture.ReplyToCommit(job::StoreOutcome::kRefused);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         ReplyToLastPollOf("w-1").incarnation.Count());
    CPPUNIT_ASSERT(m_fixture.worker_port.stops.empty());
    m_fixture.clock.Advance(scheduling::kCommandRetryDelay);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         ReplyToLastPollOf("w-1").incarnation.Count());
  }

  // Review case 10, TWICE: a poll of the earlier incarnation acknowledged ends
  // of the later one that nobody had seen.
  void FirstPollForgetsNoEndsAndGrantsNoLease() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ReplyToPollOf("w-1", {Fixture::EndedRun(start, 7, RunOutcome::kDone)});
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-2")});
    m_fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    const execution::PollCommand first = LastPollOf("w-1");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, first.to.incarnation.Count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, first.recorded.Count());
    CPPUNIT_ASSERT(!first.lease_until);
    ExpectHighestToken(first.to);
    // The late poll would make it forget the end of what starts now.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(first.to.token == m_fixture.worker_port.starts[1].to.token);
  }

  void FirstPollIsRepeatedUntilItIsAnswered() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    const std::uint64_t sequence = ReplyToLastPollOf("w-1").sequence;
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    m_fixture.clock.Advance(scheduling::kPollRetryDelay);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(sequence < ReplyToLastPollOf("w-1").sequence);
    ExpectReplyBeforeRepeat(start, 2);
  }

  // TWICE in the soak (seed 105 of same_ids): the machine was listed without
  // its worker while a start command was on its way to the next incarnation.
  void StartOnWorkerWithoutMachineIsHeld() {
    const execution::StartCommand start = BeginWithLongRunningTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
    ListMachineWithoutWorker();
    ListMachineWithoutWorker();
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    ExpectReplyBeforeRepeat(start, 2);
  }

  // Review case 6, TWICE: a worker that had left the list was taken for a new
  // one when it was back, and a late start reached it.
  void WorkerThatLeftTheListIsPolledFirst() {
    const execution::StartCommand start = BeginWithOneTask();
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    m_fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-1")});
    while (m_fixture.worker_port.starts.size() == 1) {
      ReplyToPollOf("w-1", {}, WorkerCallOutcome::kUnknown);
      m_fixture.clock.Advance(milliseconds(200));
      m_fixture.RunCycles();
    }
    const execution::StartCommand second = m_fixture.worker_port.starts[1];
    CPPUNIT_ASSERT(second.to.worker == MakeId<core::InstanceId>("w-2"));
    m_fixture.ReplyToStart(second, WorkerCallOutcome::kDone);
    m_fixture.clock.Advance(milliseconds(2000));
    m_fixture.RunCycles();
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    m_fixture.RunCycles();
    const execution::PollCommand first = LastPollOf("w-1");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, first.to.incarnation.Count());
    ExpectHighestToken(first.to);
    // A start that came before that poll is stopped.
    ReplyToPollOf("w-1", {}, WorkerCallOutcome::kDone,
                  {Fixture::ActiveRun(start)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.stops.size());
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

  // The handover state lists no worker that has left, though a command to it
  // may be on its way.
  void SuccessorPollsUnknownWorkerFirst() {
    m_fixture.ReceiveStoreState();
    m_fixture.scheduler.BeginTerm(
        {core::FencingToken(20), std::chrono::seconds(5)}, m_fixture.catalog,
        {{}, core::Revision(15), core::Revision(15)});
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    ReplyToPollOf("w-1", {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    m_fixture.clock.Advance(execution::kMaxCommandDelay);
    m_fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    m_fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(9)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(core::FencingToken(20) < StartOn("w-2").to.token);
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
    const execution::StartCommand start = BeginWithLongRunningTask();
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LaterIncarnationCommandsTest,
                                      "scheduling");

}  // namespace
