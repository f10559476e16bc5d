#include "crocusmast/scheduling/inherited_workers.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using scheduling::InheritedWorkers;
using test::MakeId;

const core::TimePoint kNow = core::TimePoint(std::chrono::seconds(1000));

class InheritedWorkersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InheritedWorkersTest);
  CPPUNIT_TEST(WorkerThatWasNotHandedOverHasNoRuns);
  CPPUNIT_TEST(LaterIncarnationMayHaveRuns);
  CPPUNIT_TEST(PlacementWaitsForItsWorkerOnly);
  CPPUNIT_TEST(PoolIsReconciledWithItsLastWorker);
  CPPUNIT_TEST(WorkerExpiresWithItsLease);
  CPPUNIT_TEST(WorkerIsRemovedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  static job::LeasedWorker Leased(const char* id,
                                  const char* pool,
                                  std::chrono::milliseconds lease) {
    return {MakeId<core::InstanceId>(id), core::Incarnation(2),
            MakeId<core::PoolId>(pool), lease};
  }

  static InheritedWorkers ThreeWorkers() {
    return InheritedWorkers::Create(
        {Leased("w-1", "batch", std::chrono::seconds(3)),
         Leased("w-2", "batch", std::chrono::seconds(5)),
         Leased("w-3", "other", std::chrono::seconds(5))},
        kNow);
  }

  void WorkerThatWasNotHandedOverHasNoRuns() {
    const InheritedWorkers workers = ThreeWorkers();
    const auto id = MakeId<core::InstanceId>("w-4");
    CPPUNIT_ASSERT(workers.Find(id) == nullptr);
  }

  // Issue 36, TWICE: a later incarnation executes what the earlier one was told
  // to start.
  void LaterIncarnationMayHaveRuns() {
    const InheritedWorkers workers = ThreeWorkers();
    const auto id = MakeId<core::InstanceId>("w-1");
    // The handover state lists incarnation 2.
    CPPUNIT_ASSERT(workers.MayStillRun({{}, id, core::Incarnation(1)}));
    CPPUNIT_ASSERT(workers.MayStillRun({{}, id, core::Incarnation(2)}));
    CPPUNIT_ASSERT(workers.MayStillRun({{}, id, core::Incarnation(3)}));
  }

  void PlacementWaitsForItsWorkerOnly() {
    InheritedWorkers workers = ThreeWorkers();
    const auto id = MakeId<core::InstanceId>("w-1");
    CPPUNIT_ASSERT(workers.MayStillRun({{}, id, core::Incarnation(2)}));
    CPPUNIT_ASSERT(!workers.MayStillRun(
        {{}, MakeId<core::InstanceId>("w-4"), core::Incarnation(2)}));
    workers.Remove(id);
    CPPUNIT_ASSERT(!workers.MayStillRun({{}, id, core::Incarnation(2)}));
    CPPUNIT_ASSERT(workers.MayStillRun(
        {{}, MakeId<core::InstanceId>("w-2"), core::Incarnation(2)}));
  }

  void PoolIsReconciledWithItsLastWorker() {
    InheritedWorkers workers = ThreeWorkers();
    const auto pool = MakeId<core::PoolId>("batch");
    workers.Remove(MakeId<core::InstanceId>("w-1"));
    CPPUNIT_ASSERT(!workers.IsPoolReconciled(pool));
    workers.Remove(MakeId<core::InstanceId>("w-2"));
    CPPUNIT_ASSERT(workers.IsPoolReconciled(pool));
    CPPUNIT_ASSERT(!workers.IsPoolReconciled(MakeId<core::PoolId>("other")));
  }

  void WorkerExpiresWithItsLease() {
    const InheritedWorkers workers = ThreeWorkers();
    const std::chrono::milliseconds lease = std::chrono::seconds(3);
    CPPUNIT_ASSERT(
        workers.Expired(kNow + lease - std::chrono::milliseconds(1)).empty());
    const std::vector<core::InstanceId> expired = workers.Expired(kNow + lease);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
    CPPUNIT_ASSERT(expired[0] == MakeId<core::InstanceId>("w-1"));
  }

  void WorkerIsRemovedOnce() {
    InheritedWorkers workers = ThreeWorkers();
    const auto id = MakeId<core::InstanceId>("w-3");
    const auto removed = workers.Remove(id);
    CPPUNIT_ASSERT(removed);
    CPPUNIT_ASSERT(removed->pool == MakeId<core::PoolId>("other"));
    CPPUNIT_ASSERT(workers.Find(id) == nullptr);
    CPPUNIT_ASSERT(!workers.Remove(id));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, workers.All().size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InheritedWorkersTest, "scheduling");

}  // namespace
