#include <cppunit/extensions/HelperMacros.h>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using job::RunOutcome;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";
constexpr char kOtherJob[] = "fedcba9876543210";

/** @brief Workers whose capacity changes while they have runs. */
class ShrunkCapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShrunkCapacityTest);
  CPPUNIT_TEST(SubtractionSaturatesInEachComponent);
  CPPUNIT_TEST(PlacementFollowsCapacity);
  CPPUNIT_TEST(StoppingRunCountsAgainstShrunkCapacity);
  CPPUNIT_TEST(GangWaitsWhileCapacityIsShrunk);
  CPPUNIT_TEST(BestEffortTaskIsNotPlacedOnWorkerOverItsCapacity);
  CPPUNIT_TEST(TaskWithoutMemoryIsNotPlacedOnWorkerOverItsMemory);
  CPPUNIT_TEST(RunOfUnknownJobOccupiesGrownWorker);
  CPPUNIT_TEST(EntryOfEarlierIncarnationDoesNotChangeCapacity);
  CPPUNIT_TEST(OlderEntryDoesNotChangeCapacity);
  CPPUNIT_TEST(PoolLoadFollowsCapacity);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SubtractionSaturatesInEachComponent() {
    const job::Resources capacity{core::MilliCores(1000), core::Megabytes(500),
                                  core::Accelerators(1)};
    const job::Resources used{core::MilliCores(2000), core::Megabytes(200),
                              core::Accelerators(2)};
    const job::Resources expected{core::MilliCores(0), core::Megabytes(300),
                                  core::Accelerators(0)};
    CPPUNIT_ASSERT(capacity - used == expected);
  }

  void PlacementFollowsCapacity() {
    Fixture fixture;
    BeginWithRuns(fixture, MakeStep(2));
    SetCapacity(fixture, 2000);
    fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(2)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    SetCapacity(fixture, 3000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
    SetCapacity(fixture, 4000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
  }

  void StoppingRunCountsAgainstShrunkCapacity() {
    Fixture fixture;
    BeginWithRuns(fixture, MakeStep(1, 2000));
    const execution::StartCommand start = fixture.worker_port.starts.at(0);
    fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    fixture.scheduler.HandleStopReply(fixture.MakeReply(
        fixture.worker_port.stops.at(0), WorkerCallOutcome::kDone));
    SetCapacity(fixture, 3000);
    fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1, 2000)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    fixture.ReplyToPoll({},
                        {Fixture::EndedRun(start, 1, RunOutcome::kStopped)});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  void GangWaitsWhileCapacityIsShrunk() {
    Fixture fixture;
    Begin(fixture);
    SetCapacity(fixture, 3000);
    job::Step gang = MakeStep(2, 2000);
    gang.is_gang = true;
    fixture.scheduler.AddJob(MakeJob(kJob, {gang}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    SetCapacity(fixture, 4000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  // A worker whose runs exceed its processor capacity must not get a task that
  // reserves no processor; it is over its capacity with any further start.
  void BestEffortTaskIsNotPlacedOnWorkerOverItsCapacity() {
    Fixture fixture;
    BeginWithRuns(fixture, MakeStep(2));
    SetCapacity(fixture, 1000);
    job::Step best_effort = MakeStep(1);
    best_effort.is_best_effort = true;
    fixture.scheduler.AddJob(MakeJob(kOtherJob, {best_effort}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    SetCapacity(fixture, 2000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
  }

  // The same for memory and a task that reserves none.
  void TaskWithoutMemoryIsNotPlacedOnWorkerOverItsMemory() {
    Fixture fixture;
    BeginWithRuns(fixture, MakeStep(2));
    execution::WorkerRecord worker = MakeWorker("w-1");
    worker.capacity.memory = core::Megabytes(150);
    fixture.scheduler.Handle(scheduling::WorkerUpdated{worker});
    job::Step step = MakeStep(1);
    step.resources.memory = {};
    fixture.scheduler.AddJob(MakeJob(kOtherJob, {step}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  // A run of a job that this leader doesn't know must count as the whole worker
  // also after the worker has grown.
  void RunOfUnknownJobOccupiesGrownWorker() {
    Fixture fixture;
    fixture.BeginTerm(10, HandoverWithWorker());
    execution::WorkerRecord shrunk = MakeWorker("w-1", 1, 2000);
    shrunk.capacity.memory = core::Megabytes(5000);
    fixture.SetWorkers({shrunk});
    execution::RunReport unknown;
    unknown.task.job = MakeId<core::JobId>(kOtherJob);
    unknown.attempt = core::Attempt(3);
    fixture.ReplyToPoll({unknown}, {});
    SetCapacity(fixture, 4000);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.ReplyToPoll({}, {{core::RunEndNumber(1), unknown.task,
                              unknown.attempt, RunOutcome::kStopped, ""}});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  void EntryOfEarlierIncarnationDoesNotChangeCapacity() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1", 2, 1000)});
    SetCapacity(fixture, 4000);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1, 2000)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  // A list of several pages is followed by the changes since its first page,
  // which may hold entries that are older than the listed ones.
  void OlderEntryDoesNotChangeCapacity() {
    Fixture fixture;
    Begin(fixture);
    execution::WorkerRecord shrunk = MakeWorker("w-1", 1, 1000);
    shrunk.clock += std::chrono::seconds(2);
    fixture.scheduler.Handle(scheduling::WorkerUpdated{shrunk});
    execution::WorkerRecord older = MakeWorker("w-1");
    older.clock += std::chrono::seconds(1);
    fixture.scheduler.Handle(scheduling::WorkerUpdated{older});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1, 2000)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  void PoolLoadFollowsCapacity() {
    Fixture fixture;
    BeginWithRuns(fixture, MakeStep(1));
    for (const std::uint64_t cores : {2, 4}) {
      SetCapacity(fixture, cores * 1000);
      const std::vector<capacity::PoolLoad> loads =
          fixture.scheduler.PoolLoads();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(cores),
                                   loads[0].capacity_cores, 0.001);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1, loads[0].running_cores, 0.001);
    }
  }

 private:
  static void Begin(Fixture& fixture) {
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
  }

  /** @brief Starts the tasks of one step; the worker confirms them. */
  static void BeginWithRuns(Fixture& fixture, const job::Step& step) {
    Begin(fixture);
    fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{step.count},
                         fixture.worker_port.starts.size());
    for (const execution::StartCommand& start : fixture.worker_port.starts) {
      fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    }
  }

  static void SetCapacity(Fixture& fixture, std::uint64_t processor) {
    fixture.scheduler.Handle(
        scheduling::WorkerUpdated{MakeWorker("w-1", 1, processor)});
  }

  static job::HandoverState HandoverWithWorker() {
    const execution::WorkerRecord worker = MakeWorker("w-1");
    job::HandoverState handover;
    handover.workers.push_back(
        {worker.id, worker.incarnation, worker.pool, std::chrono::seconds(10)});
    return handover;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ShrunkCapacityTest, "scheduling");

}  // namespace
