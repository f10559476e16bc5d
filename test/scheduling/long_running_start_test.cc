#include <cppunit/extensions/HelperMacros.h>

#include "test/scheduling/long_running_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using Fixture = test::SchedulerFixture;
using test::LongRunningStep;
using test::MakeId;
using test::MakeJob;
using test::MakeWorker;
using test::ReplyToPollOf;
using test::StoredProgress;

constexpr char kJob[] = "0123456789abcdef";

class LongRunningStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongRunningStartTest);
  CPPUNIT_TEST(StartWaitsUntilItsPlacementIsStored);
  CPPUNIT_TEST(RunPlacedDuringACommitWaitsForTheNextOne);
  CPPUNIT_TEST(StoppedRunIsNotStarted);
  CPPUNIT_TEST(WorkerThatDrainsDuringTheCommitGetsNoStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartWaitsUntilItsPlacementIsStored() {
    Fixture fixture;
    const std::vector<execution::StartCommand> starts = StartTasks(fixture, 1);
    EndRun(fixture, starts[0], 1);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    for (const job::StoreOutcome outcome :
         {job::StoreOutcome::kRefused, job::StoreOutcome::kUnknown}) {
      CPPUNIT_ASSERT(fixture.replied_commits < fixture.store.commits.size());
      fixture.ReplyToCommit(outcome);
      fixture.clock.Advance(scheduling::kCommitRetryDelay);
      fixture.scheduler.RunCycle(fixture.clock.Now());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    }
    fixture.ReplyToCommit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    const job::TaskPlacement stored =
        StoredProgress(fixture).placements->front();
    CPPUNIT_ASSERT(stored.worker == fixture.worker_port.starts[1].to.worker);
  }

  void RunPlacedDuringACommitWaitsForTheNextOne() {
    Fixture fixture;
    const std::vector<execution::StartCommand> starts = StartTasks(fixture, 2);
    EndRun(fixture, starts[0], 1);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    EndRun(fixture, starts[1], 1);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    fixture.ReplyToCommit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[2].task == starts[0].task);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
    fixture.ReplyToCommit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[3].task == starts[1].task);
  }

  void StoppedRunIsNotStarted() {
    Fixture fixture;
    const std::vector<execution::StartCommand> starts = StartTasks(fixture, 1);
    EndRun(fixture, starts[0], 1);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    fixture.ReplyToCommit(job::StoreOutcome::kDone);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  void WorkerThatDrainsDuringTheCommitGetsNoStart() {
    Fixture fixture;
    const std::vector<execution::StartCommand> starts = StartTasks(fixture, 1);
    EndRun(fixture, starts[0], 1);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    const core::InstanceId draining = fixture.store.commits.back()
                                          .progress.at(0)
                                          .progress.placements->at(0)
                                          .worker;
    execution::WorkerRecord record = MakeWorker(draining.Text());
    record.is_draining = true;
    fixture.scheduler.Handle(scheduling::WorkerUpdated{record});
    fixture.RunCycles();
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[1].to.worker != draining);
  }

 private:
  /** @brief Starts the tasks of a job, one on each worker. */
  static std::vector<execution::StartCommand> StartTasks(Fixture& fixture,
                                                         std::uint32_t count) {
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {LongRunningStep(count)}));
    fixture.RunCycles();
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{count}, starts.size());
    for (const execution::StartCommand& start : starts) {
      fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    }
    fixture.RunCycles();
    return starts;
  }

  static void EndRun(Fixture& fixture,
                     const execution::StartCommand& start,
                     std::uint64_t number) {
    ReplyToPollOf(fixture, start.to.worker, {},
                  {Fixture::EndedRun(start, number, job::RunOutcome::kFailed)});
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LongRunningStartTest, "scheduling");

}  // namespace
