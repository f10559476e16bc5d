#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <string>

#include "test/scheduling/start_load.h"

namespace {

using namespace crocusmast;
using std::chrono::nanoseconds;

constexpr std::uint32_t kSmallFleet = 300;
constexpr std::uint32_t kLargeFleet = 4500;
constexpr std::chrono::milliseconds kWarmUp{900};
constexpr std::chrono::milliseconds kMeasured{300};
/** @brief Intervals that are measured; the cheapest counts, as others may be
 * interrupted. */
constexpr int kIntervals = 12;
/** @brief A fleet fifteen times as large may make a start dearer by lookups and
 * cache misses, but not by a scan of its workers. */
constexpr int kMaxGrowth = 4;

/** @brief Returns the processor time of a start under a steady load. */
nanoseconds CostOfStart(std::uint32_t workers) {
  test::StartLoad::Settings settings;
  settings.workers = workers;
  test::StartLoad load(settings);
  load.Run(kWarmUp);
  nanoseconds cheapest = nanoseconds::max();
  for (int interval = 0; interval < kIntervals; ++interval) {
    const std::uint64_t starts = load.Starts();
    const nanoseconds spent = load.Spent();
    load.Run(kMeasured);
    cheapest = std::min<nanoseconds>(
        cheapest, (load.Spent() - spent) /
                      static_cast<std::int64_t>(load.Starts() - starts));
  }
  return cheapest;
}

/** @brief Processor time of the leader at thousands of starts a second. */
class StartCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartCostTest);
  CPPUNIT_TEST(CostOfAStartDoesNotGrowWithTheFleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 28: each event was followed by a pass over all workers, so that a
  // leader of some hundred machines was short of processor time in a burst.
  void CostOfAStartDoesNotGrowWithTheFleet() {
    const nanoseconds small = CostOfStart(kSmallFleet);
    const nanoseconds large = CostOfStart(kLargeFleet);
    const std::string costs = "a start costs " + std::to_string(small.count()) +
                              " ns at " + std::to_string(kSmallFleet) +
                              " workers, " + std::to_string(large.count()) +
                              " ns at " + std::to_string(kLargeFleet);
    std::cout << '\n' << costs << '\n';
    CPPUNIT_ASSERT_MESSAGE(costs, large < small * kMaxGrowth);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StartCostTest, "scheduling");

}  // namespace
