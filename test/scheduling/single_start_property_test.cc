#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "test/scheduling/cluster_events.h"

namespace {

using test::SimulatedCluster;

/** @brief Tasks that must not run twice, whatever fails. */
class SingleStartPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SingleStartPropertyTest);
  CPPUNIT_TEST(NoTwoStartsOfATaskAreOnTheirWay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 64, TWICE: a task that was done started again, as its start had been
  // repeated while the first copy of it was on its way.
  void NoTwoStartsOfATaskAreOnTheirWay() {
    CPPUNIT_ASSERT(rc::check("each finite task runs once", [] {
      test::SimulatedLoad load;
      load.is_finite = true;
      load.executes_all_late_starts = true;
      SimulatedCluster cluster(load);
      const int steps = *rc::gen::inRange(20, 120);
      for (int step = 0; step < steps && cluster.Violation().empty(); ++step) {
        test::Act(cluster, test::kEvents);
      }
      if (cluster.Violation().empty()) {
        test::Settle(cluster);
      }
      RC_ASSERT(cluster.Violation() == "");
      RC_ASSERT(cluster.HasEnded());
    }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SingleStartPropertyTest, "scheduling");

}  // namespace
