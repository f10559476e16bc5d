#include <cppunit/extensions/HelperMacros.h>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

/** @brief Workers that were drained for an order which was withdrawn. */
class ReleasedWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleasedWorkerTest);
  CPPUNIT_TEST(WorkerIsUsedAgainOnceNoOrderNeedsIt);
  CPPUNIT_TEST(WorkerIsUsedAgainOnceASuccessorKnowsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Review case 7, LOST: the worker of a move that was rejected stayed out of
  // use.
  void WorkerIsUsedAgainOnceNoOrderNeedsIt() {
    Fixture fixture;
    DrainOnlyWorker(fixture);
    fixture.scheduler.ReleaseDrainedWorkers({kWorker});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.scheduler.ReleaseDrainedWorkers({});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  // An empty worker that is drained is left out of the handover state.
  void WorkerIsUsedAgainOnceASuccessorKnowsIt() {
    Fixture fixture;
    DrainOnlyWorker(fixture);
    fixture.scheduler.ReleaseDrainedWorkers({});
    fixture.clock.Advance(scheduling::kSweepInterval);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT(fixture.replied_commits < fixture.store.commits.size());
    const auto& handover = fixture.store.commits.back().handover;
    CPPUNIT_ASSERT(handover && handover->workers.size() == 1);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

 private:
  static void DrainOnlyWorker(Fixture& fixture) {
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.DrainWorker(kWorker);
    fixture.scheduler.AddJob(MakeJob("0123456789abcdef", {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  static inline const core::InstanceId kWorker =
      MakeId<core::InstanceId>("w-1");
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReleasedWorkerTest, "scheduling");

}  // namespace
