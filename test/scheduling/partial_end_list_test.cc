#include <cppunit/extensions/HelperMacros.h>

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

/** @brief Workers that have more ended runs than one reply lists. */
class PartialEndListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartialEndListTest);
  CPPUNIT_TEST(SuccessorWaitsForAllEndsOfAWorker);
  CPPUNIT_TEST(SuccessorWaitsForEndsBeyondTheInheritedLease);
  CPPUNIT_TEST(SuccessorDoesNotWaitForWorkerThatFallsSilent);
  CPPUNIT_TEST(SuccessorExtendsLeaseWhileEndsAreListed);
  CPPUNIT_TEST(RunThatWasLeftOutIsNotLost);
  CPPUNIT_TEST(RunThatCompleteListLacksIsLost);
  CPPUNIT_TEST(NextEndsAreRequestedAsSoonAsTheFirstAreStored);
  CPPUNIT_TEST(WorkerWithUnlistedEndsIsNotIdle);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 36, TWICE: over 500 runs had ended on a worker while no leader was
  // active. The new one took the first 500 ends for all and started the tasks
  // of the others again.
  void SuccessorWaitsForAllEndsOfAWorker() {
    BeginTermAfterPredecessor(2);
    ReplyToPoll({}, {End(0, 1)}, false);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    ReplyToPoll({}, {End(1, 2)}, true);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT(job::JobState::kSucceeded == LastStoredState());
  }

  void SuccessorWaitsForEndsBeyondTheInheritedLease() {
    BeginTermAfterPredecessor(2);
    ReplyToPoll({}, {End(0, 1)}, false);
    m_fixture.RunCycles();
    m_fixture.clock.Advance(std::chrono::seconds(20));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
    ReplyToPoll({}, {End(1, 2)}, true);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.starts.empty());
  }

  void SuccessorDoesNotWaitForWorkerThatFallsSilent() {
    BeginTermAfterPredecessor(2);
    ReplyToPoll({}, {End(0, 1)}, false);
    m_fixture.RunCycles();
    for (int cycle = 0; cycle < 60 && m_fixture.worker_port.starts.empty();
         ++cycle) {
      ReplyToPoll({}, {}, true, WorkerCallOutcome::kUnknown);
      m_fixture.clock.Advance(milliseconds(300));
      m_fixture.RunCycles();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   m_fixture.worker_port.starts[0].to.worker);
  }

  // Active runs of the worker must not lapse meanwhile.
  void SuccessorExtendsLeaseWhileEndsAreListed() {
    BeginTermAfterPredecessor(3);
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls.back().lease_until);
    ReplyToPoll({Run(2)}, {End(0, 1)}, false);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.polls.back().lease_until);
  }

  // The same conclusion was drawn of runs that the leader had started itself.
  void RunThatWasLeftOutIsNotLost() {
    const execution::StartCommand start = BeginWithConfirmedStart();
    ReplyToPoll({}, {}, false);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    ReplyToPoll({}, {Fixture::EndedRun(start, 1, RunOutcome::kDone)}, true);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(job::JobState::kSucceeded == LastStoredState());
  }

  void RunThatCompleteListLacksIsLost() {
    BeginWithConfirmedStart();
    ReplyToPoll({}, {}, true);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }

  void NextEndsAreRequestedAsSoonAsTheFirstAreStored() {
    BeginTermAfterPredecessor(2);
    ReplyToPoll({}, {End(0, 1)}, false);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_fixture.worker_port.polls.back().recorded.Count());
  }

  // Moving its machine would lose them.
  void WorkerWithUnlistedEndsIsNotIdle() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    const auto id = MakeId<core::InstanceId>("w-1");
    CPPUNIT_ASSERT(m_fixture.scheduler.IsConfirmedIdle(id));
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ReplyToPoll({}, {Fixture::EndedRun(start, 1, RunOutcome::kDone)}, false);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(!m_fixture.scheduler.IsConfirmedIdle(id));
    ReplyToPoll({}, {}, true);
    CPPUNIT_ASSERT(m_fixture.scheduler.IsConfirmedIdle(id));
  }

 private:
  static job::TaskId Task(std::uint32_t index) {
    return {MakeId<core::JobId>(kJob), {0, 0, index}};
  }
  static execution::EndedRunReport End(std::uint32_t index,
                                       std::uint64_t number) {
    return {core::RunEndNumber(number), Task(index), core::Attempt(1),
            RunOutcome::kDone, ""};
  }
  static execution::RunReport Run(std::uint32_t index) {
    return {Task(index), core::Attempt(1), "", 50, {}};
  }

  /** @brief Begins the term of a leader whose predecessor had started a job on
   * the worker w-1. */
  void BeginTermAfterPredecessor(std::uint32_t tasks) {
    job::Job job = job::Job::Create(MakeJob(kJob, {MakeStep(tasks)}), nullptr,
                                    core::Attempt(0));
    job.OpenDueOccurrences({});
    const auto worker = MakeId<core::InstanceId>("w-1");
    for (std::uint32_t index = 0; index < tasks; ++index) {
      job::Run run;
      run.worker = worker;
      run.attempt = core::Attempt(1);
      job.BeginRun({0, 0, index}, run);
    }
    m_fixture.catalog.Apply(job::JobStored{job.Accepted()}, {});
    m_fixture.catalog.Apply(
        job::ProgressStored{job.Id(), job.Progress(), core::Revision(50)}, {});
    m_fixture.BeginTerm(
        20, {{{worker, core::Incarnation(1), MakeId<core::PoolId>("pool"),
               std::chrono::seconds(10)}},
             {}});
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
  }

  execution::StartCommand BeginWithConfirmedStart() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    ReplyToPoll({Fixture::ActiveRun(start)}, {}, true);
    m_fixture.RunCycles();
    return start;
  }

  void ReplyToPoll(std::vector<execution::RunReport> running,
                   std::vector<execution::EndedRunReport> ended,
                   bool lists_all_ends,
                   WorkerCallOutcome outcome = WorkerCallOutcome::kDone) {
    const execution::PollCommand& command = m_fixture.worker_port.polls.back();
    execution::PollReply reply;
    reply.worker = command.to.worker;
    reply.incarnation = command.to.incarnation;
    reply.sequence = command.sequence;
    reply.outcome = outcome;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    reply.lists_all_ends = lists_all_ends;
    m_fixture.scheduler.Handle(reply);
  }

  job::JobState LastStoredState() const {
    job::JobState state = job::JobState::kQueued;
    for (const job::Commit& commit : m_fixture.store.commits) {
      for (const job::ProgressWrite& write : commit.progress) {
        state = write.progress.state;
      }
    }
    return state;
  }

  Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PartialEndListTest, "scheduling");

}  // namespace
