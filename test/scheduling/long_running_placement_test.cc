#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "test/scheduling/long_running_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using Fixture = test::SchedulerFixture;
using test::LongRunningStep;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;
using test::ReplyToPollOf;
using test::StoredProgress;

constexpr char kJob[] = "0123456789abcdef";

/** @brief What a successor reads of a leader and its job. */
struct Predecessor {
  job::AcceptedJob job;
  job::JobProgress progress;
  job::HandoverState handover;
  /** @brief The first task's worker and the start commands. */
  core::InstanceId first_worker;
  std::vector<execution::StartCommand> starts;
};

/** @brief Runs a leader that has started two tasks, on w-1 and on w-2. */
Predecessor RunPredecessor(std::vector<job::Step> steps) {
  Fixture fixture;
  fixture.BeginTerm();
  fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
  Predecessor predecessor;
  predecessor.job = MakeJob(kJob, std::move(steps));
  fixture.scheduler.AddJob(predecessor.job);
  fixture.RunCycles();
  predecessor.starts = fixture.worker_port.starts;
  for (const execution::StartCommand& start : predecessor.starts) {
    fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
  }
  fixture.RunCycles();
  predecessor.first_worker = predecessor.starts.at(0).to.worker;
  predecessor.progress = StoredProgress(fixture);
  predecessor.handover = fixture.scheduler.FinalHandoverState();
  return predecessor;
}

void BeginSuccessor(Fixture& fixture,
                    const Predecessor& predecessor,
                    std::uint64_t token = 5000) {
  fixture.catalog.Apply(job::JobStored{predecessor.job}, {});
  fixture.catalog.Apply(
      job::ProgressStored{predecessor.job.id, predecessor.progress,
                          core::Revision(50)},
      {});
  fixture.BeginTerm(token, predecessor.handover);
}

class LongRunningPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongRunningPlacementTest);
  CPPUNIT_TEST(GoneWorkerDoesNotHoldUpTasksOfOtherWorkers);
  CPPUNIT_TEST(TaskWaitsForTheLeaseOfItsWorker);
  CPPUNIT_TEST(TaskRestartsOnceItsWorkerHasRestarted);
  CPPUNIT_TEST(UnknownPlacementsWaitForTheWholePool);
  CPPUNIT_TEST(PlacementsBeforeALeaderOfAnEarlierVersionAreUnknown);
  CPPUNIT_TEST(FiniteTasksWaitForTheWholePool);
  CPPUNIT_TEST(GangWaitsForTheWorkersOfAllItsMembers);
  CPPUNIT_TEST(SecondSuccessorWaitsForTheSameWorker);
  CPPUNIT_TEST(FoundRunIsStoredAndNotStartedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_first = MakeId<core::InstanceId>("w-1");
    m_second = MakeId<core::InstanceId>("w-2");
  }

  // Issue 21: one worker that was gone held up the long-running tasks of its
  // pool's other workers, until its lease had expired.
  void GoneWorkerDoesNotHoldUpTasksOfOtherWorkers() {
    const Predecessor predecessor = RunPredecessor({LongRunningStep(2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, predecessor.starts.size());
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    const bool is_first_gone = predecessor.first_worker == m_first;
    const core::InstanceId& left = is_first_gone ? m_second : m_first;
    fixture.SetWorkers({MakeWorker(left.Text()), MakeWorker("w-3")});
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    // The run on the worker that is left has ended.
    ReplyToPollOf(fixture, left, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].task ==
                   predecessor.starts[1].task);
  }

  void TaskWaitsForTheLeaseOfItsWorker() {
    const Predecessor predecessor = RunPredecessor({LongRunningStep(2)});
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    const core::TimePoint began_at = fixture.clock.Now();
    const core::InstanceId gone = predecessor.starts[0].to.worker;
    const core::InstanceId left = predecessor.starts[1].to.worker;
    fixture.SetWorkers({MakeWorker(left.Text()), MakeWorker("w-3")});
    ReplyToPollOf(fixture, left,
                  {Fixture::ActiveRun(predecessor.starts[1], 100)});
    std::chrono::milliseconds lease{};
    for (const job::LeasedWorker& worker : predecessor.handover.workers) {
      lease = worker.worker == gone ? worker.lease_remaining : lease;
    }
    CPPUNIT_ASSERT(std::chrono::seconds(4) < lease);
    while (fixture.worker_port.starts.empty()) {
      fixture.clock.Advance(std::chrono::milliseconds(50));
      fixture.RunCycles();
      ReplyToPollOf(fixture, left,
                    {Fixture::ActiveRun(predecessor.starts[1], 100)});
      CPPUNIT_ASSERT(fixture.clock.Now() <
                     began_at + lease + std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT(began_at + lease <= fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].task ==
                   predecessor.starts[0].task);
  }

  void TaskRestartsOnceItsWorkerHasRestarted() {
    const Predecessor predecessor = RunPredecessor({LongRunningStep(2)});
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    const core::InstanceId restarted = predecessor.starts[0].to.worker;
    const core::InstanceId gone = predecessor.starts[1].to.worker;
    fixture.SetWorkers({MakeWorker(restarted.Text(), 2)});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.ReplyToPoll({}, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].task ==
                   predecessor.starts[0].task);
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].to.worker != gone);
  }

  // A leader of an earlier version stores no placements.
  void UnknownPlacementsWaitForTheWholePool() {
    Predecessor predecessor = RunPredecessor({LongRunningStep(2)});
    predecessor.progress.placements.reset();
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    ReplyToPollOf(fixture, m_second, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    ReplyToPollOf(fixture, m_first, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         StoredProgress(fixture).placements->size());
  }

  // A leader of an earlier version, after a rollback, moves tasks without
  // storing it.
  void PlacementsBeforeALeaderOfAnEarlierVersionAreUnknown() {
    Predecessor predecessor = RunPredecessor({LongRunningStep(2)});
    CPPUNIT_ASSERT(predecessor.handover.has_current_placements);
    predecessor.handover.has_current_placements = false;
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    ReplyToPollOf(fixture, m_second, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT(!StoredProgress(fixture).placements);
    // The placements count as current only after the record has changed.
    const auto& commits = fixture.store.commits;
    const auto changed = std::find_if(
        commits.begin(), commits.end(),
        [](const auto& commit) { return !commit.progress.empty(); });
    const auto current =
        std::find_if(commits.begin(), commits.end(), [](const auto& commit) {
          return commit.handover && commit.handover->has_current_placements;
        });
    CPPUNIT_ASSERT(current != commits.end());
    CPPUNIT_ASSERT(changed < current);
    ReplyToPollOf(fixture, m_first, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  // Finite tasks start without a commit, so that any worker may run them.
  void FiniteTasksWaitForTheWholePool() {
    const Predecessor predecessor =
        RunPredecessor({LongRunningStep(1), MakeStep(1, 4000)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, predecessor.starts.size());
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    const core::InstanceId left = predecessor.starts[0].to.worker;
    fixture.SetWorkers({MakeWorker(left.Text()), MakeWorker("w-3")});
    ReplyToPollOf(fixture, left, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, fixture.worker_port.starts[0].task.key.step);
    fixture.clock.Advance(std::chrono::seconds(20));
    fixture.RunCycles();
    const auto& starts = fixture.worker_port.starts;
    CPPUNIT_ASSERT(std::any_of(starts.begin(), starts.end(), [](const auto& s) {
      return s.task.key.step == 1;
    }));
  }

  void GangWaitsForTheWorkersOfAllItsMembers() {
    job::Step gang = LongRunningStep(2);
    gang.is_gang = true;
    const Predecessor predecessor = RunPredecessor({gang});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, predecessor.starts.size());
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    fixture.SetWorkers(
        {MakeWorker("w-1"), MakeWorker("w-2"), MakeWorker("w-3")});
    ReplyToPollOf(fixture, m_second, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    ReplyToPollOf(fixture, m_first, {});
    fixture.RunCycles();
    const auto& starts = fixture.worker_port.starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    CPPUNIT_ASSERT(starts[0].attempt == starts[1].attempt);
  }

  void SecondSuccessorWaitsForTheSameWorker() {
    Predecessor predecessor = RunPredecessor({LongRunningStep(2)});
    const core::InstanceId gone = predecessor.starts[0].to.worker;
    const core::InstanceId left = predecessor.starts[1].to.worker;
    Fixture first;
    BeginSuccessor(first, predecessor);
    first.SetWorkers({MakeWorker(left.Text()), MakeWorker("w-3")});
    ReplyToPollOf(first, left, {});
    first.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.worker_port.starts.size());
    predecessor.progress = StoredProgress(first);
    predecessor.handover = first.scheduler.FinalHandoverState();
    const execution::StartCommand restart = first.worker_port.starts[0];
    Fixture second;
    BeginSuccessor(second, predecessor, 9000);
    second.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2"), MakeWorker("w-3"),
                       MakeWorker("w-4")});
    ReplyToPollOf(second, restart.to.worker,
                  {Fixture::ActiveRun(restart, 100)});
    second.RunCycles();
    CPPUNIT_ASSERT(second.worker_port.starts.empty());
    ReplyToPollOf(second, gone, {});
    second.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.worker_port.starts.size());
    CPPUNIT_ASSERT(second.worker_port.starts[0].task ==
                   predecessor.starts[0].task);
  }

  void FoundRunIsStoredAndNotStartedAgain() {
    Predecessor predecessor = RunPredecessor({LongRunningStep(1)});
    predecessor.progress.placements.reset();
    Fixture fixture;
    BeginSuccessor(fixture, predecessor);
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    const core::InstanceId worker = predecessor.starts[0].to.worker;
    ReplyToPollOf(fixture, worker,
                  {Fixture::ActiveRun(predecessor.starts[0], 100)});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    const job::JobProgress stored = StoredProgress(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.placements->size());
    CPPUNIT_ASSERT(stored.placements->front().worker == worker);
    CPPUNIT_ASSERT(stored.placements->front().incarnation ==
                   core::Incarnation(1));
  }

 private:
  core::InstanceId m_first;
  core::InstanceId m_second;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LongRunningPlacementTest, "scheduling");

}  // namespace
