#include <cppunit/extensions/HelperMacros.h>

#include "crocusmast/scheduling/free_capacity.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using execution::Worker;
using scheduling::FreeCapacity;
using test::MakeWorker;

constexpr core::TimePoint kNow{std::chrono::seconds(1)};

execution::RunKey Key(std::uint32_t index) {
  return {{test::MakeId<core::JobId>("0123456789abcdef"), {0, 0, index}},
          core::Attempt(1)};
}

execution::AssignedRun RunOf(std::uint64_t processor, bool is_long_running) {
  execution::AssignedRun run;
  run.resources.processor = core::MilliCores(processor);
  run.is_long_running = is_long_running;
  return run;
}

/** @brief The order in which placements look at the workers of a pool. */
class FreeCapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreeCapacityTest);
  CPPUNIT_TEST(FirstWithIsTheBestFit);
  CPPUNIT_TEST(WorkerThatAcceptsNothingOnlyCountsInTotals);
  CPPUNIT_TEST(RemovedWorkerLeavesNothing);
  CPPUNIT_TEST(TotalsLeaveOutLongRunningRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstWithIsTheBestFit() {
    Worker full(MakeWorker("w-1", 1, 4000), kNow);
    Worker half(MakeWorker("w-2", 1, 4000), kNow);
    Worker empty(MakeWorker("w-3", 1, 4000), kNow);
    full.Add(Key(0), RunOf(3500, false));
    half.Add(Key(1), RunOf(2000, false));
    FreeCapacity capacity;
    for (Worker* worker : {&empty, &full, &half}) {
      capacity.Update(*worker, true);
    }
    CPPUNIT_ASSERT(capacity.FirstWith(core::MilliCores(1000))->worker == &half);
    half.Add(Key(2), RunOf(1500, false));
    capacity.Update(half, true);
    CPPUNIT_ASSERT(capacity.FirstWith(core::MilliCores(1000))->worker ==
                   &empty);
    CPPUNIT_ASSERT(capacity.MaxFree().processor == core::MilliCores(4000));
    CPPUNIT_ASSERT(capacity.FiniteInUse() == core::MilliCores(7000));
  }

  void WorkerThatAcceptsNothingOnlyCountsInTotals() {
    Worker worker(MakeWorker("w-1", 1, 4000), kNow);
    FreeCapacity capacity;
    capacity.Update(worker, true);
    capacity.Update(worker, false);
    CPPUNIT_ASSERT(capacity.Accepting().empty());
    CPPUNIT_ASSERT(capacity.MaxFree() == job::Resources());
    CPPUNIT_ASSERT(capacity.FiniteCapacity() == core::MilliCores(4000));
  }

  void RemovedWorkerLeavesNothing() {
    Worker worker(MakeWorker("w-1", 1, 4000), kNow);
    worker.Add(Key(0), RunOf(1000, false));
    FreeCapacity capacity;
    capacity.Update(worker, true);
    capacity.Remove(worker);
    capacity.Remove(worker);
    CPPUNIT_ASSERT(capacity.Accepting().empty());
    CPPUNIT_ASSERT(capacity.FiniteCapacity() == core::MilliCores(0));
    CPPUNIT_ASSERT(capacity.FiniteInUse() == core::MilliCores(0));
  }

  void TotalsLeaveOutLongRunningRuns() {
    Worker worker(MakeWorker("w-1", 1, 4000), kNow);
    worker.Add(Key(0), RunOf(1000, true));
    worker.Add(Key(1), RunOf(500, false));
    FreeCapacity capacity;
    capacity.Update(worker, true);
    CPPUNIT_ASSERT(capacity.FiniteCapacity() == core::MilliCores(3000));
    CPPUNIT_ASSERT(capacity.FiniteInUse() == core::MilliCores(500));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FreeCapacityTest, "scheduling");

}  // namespace
