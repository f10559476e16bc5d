#include "crocusmast/job/earlier_placements.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/factories.h"

namespace {

using namespace crocusmast;
using job::EarlierPlacements;
using job::TaskPlacement;
using test::MakeId;

class EarlierPlacementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlierPlacementsTest);
  CPPUNIT_TEST(JobThatWasNotStartedHasNone);
  CPPUNIT_TEST(UnknownPlacementsHoldUpEveryTaskUntilSettled);
  CPPUNIT_TEST(TaskWaitsForEachOfItsPlacements);
  CPPUNIT_TEST(SettlingReportsWhetherPlacementsWereRemoved);
  CPPUNIT_TEST_SUITE_END();

 public:
  static TaskPlacement Placement(std::uint32_t index, const char* worker) {
    return {
        {0, 0, index}, MakeId<core::InstanceId>(worker), core::Incarnation(1)};
  }

  static EarlierPlacements::ActivityCheck OnlyOn(const char* worker) {
    return
        [id = MakeId<core::InstanceId>(worker)](
            const TaskPlacement& placement) { return placement.worker == id; };
  }

  void JobThatWasNotStartedHasNone() {
    const EarlierPlacements placements;
    CPPUNIT_ASSERT(placements.AreKnown());
    CPPUNIT_ASSERT(!placements.MayBeRunning({0, 0, 0}));
  }

  void UnknownPlacementsHoldUpEveryTaskUntilSettled() {
    EarlierPlacements placements = EarlierPlacements::Restore(std::nullopt);
    CPPUNIT_ASSERT(!placements.Settle(OnlyOn("w-1")));
    CPPUNIT_ASSERT(!placements.AreKnown());
    CPPUNIT_ASSERT(placements.MayBeRunning({3, 0, 7}));
    CPPUNIT_ASSERT(placements.SettleUnknown());
    CPPUNIT_ASSERT(!placements.MayBeRunning({3, 0, 7}));
    CPPUNIT_ASSERT(!placements.SettleUnknown());
  }

  // Copies of a speculative task may run on several workers.
  void TaskWaitsForEachOfItsPlacements() {
    EarlierPlacements placements = EarlierPlacements::Restore(std::vector{
        Placement(0, "w-1"), Placement(0, "w-2"), Placement(1, "w-1")});
    CPPUNIT_ASSERT(!placements.MayBeRunning({0, 0, 2}));
    placements.Settle(OnlyOn("w-2"));
    CPPUNIT_ASSERT(placements.MayBeRunning({0, 0, 0}));
    CPPUNIT_ASSERT(!placements.MayBeRunning({0, 0, 1}));
    std::vector<TaskPlacement> left;
    placements.AppendTo(left);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, left.size());
    CPPUNIT_ASSERT(left[0].worker == MakeId<core::InstanceId>("w-2"));
  }

  void SettlingReportsWhetherPlacementsWereRemoved() {
    EarlierPlacements placements =
        EarlierPlacements::Restore(std::vector{Placement(0, "w-1")});
    CPPUNIT_ASSERT(!placements.Settle(OnlyOn("w-1")));
    CPPUNIT_ASSERT(placements.Settle(OnlyOn("w-2")));
    CPPUNIT_ASSERT(!placements.Settle(OnlyOn("w-2")));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EarlierPlacementsTest, "job");

}  // namespace
