#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "test/capacity/fleet_model.h"

namespace {

using test::FleetModel;
using test::FleetResult;
using test::PoolTraffic;

constexpr unsigned kSeeds = 5;
/** @brief Share of each kind of request that the users want served on a day
 * without disturbances. */
constexpr double kMinServed = 0.48;
constexpr std::size_t kStandbyMachines = 35;

/** @brief A fifth of a fleet of 1,100 machines, whose pools are asked in turns
 * for more than their own machines can do. */
class TurnServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TurnServiceTest);
  CPPUNIT_TEST(EachPoolIsServedInItsTurn);
  CPPUNIT_TEST(WrongEstimatesLeaveEachPoolServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachPoolIsServedInItsTurn() { CheckServed(0, 0); }

  void WrongEstimatesLeaveEachPoolServed() { CheckServed(0.9, 0.2); }

 private:
  /**
   * @brief Checks the share of the jobs of each pool that end in time.
   * @param short_error Error of the estimates of the many short jobs.
   * @param long_error That of the few long ones.
   */
  static void CheckServed(double short_error, double long_error) {
    const std::vector<PoolTraffic> traffic{
        {39, 10.4, 1.6, 2.2, 0.8, short_error},
        {44, 2.0, 2, 4.8, 1.7, long_error},
        {49, 12.9, 1.6, 2.2, 0.8, short_error},
        {53, 2.46, 2, 4.8, 1.7, long_error}};
    const FleetResult result =
        FleetModel::Mean(kSeeds, traffic, kStandbyMachines);
    std::ostringstream text;
    text << result;
    std::cout << '\n' << text.str() << '\n';
    CPPUNIT_ASSERT_MESSAGE(text.str(), result.LeastServed() > kMinServed);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TurnServiceTest, "capacity");

}  // namespace
