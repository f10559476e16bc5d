#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

#include "test/scheduling/start_load.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;

/** @brief A quarter of the 600 ms that callers allow for a job beside its runs.
 */
constexpr milliseconds kMaxStartWait{150};

/** @brief A burst of jobs whose tasks end one after the other. */
class BurstStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BurstStartTest);
  CPPUNIT_TEST(StartsDoNotWaitForTheProgressOfRunningJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 39: the first start of a job waited until the progress of all running
  // jobs was stored, while its tasks kept their cores.
  void StartsDoNotWaitForTheProgressOfRunningJobs() {
    test::StartLoad::Settings settings;
    settings.workers = 600;
    settings.start_rate = 2600;
    settings.commit_reply_delay = milliseconds(16);
    settings.run_time_spread = milliseconds(600);
    test::StartLoad load(settings);
    load.Run(std::chrono::seconds(4));
    std::vector<core::Duration> waits = load.StartWaits();
    const auto percentile =
        waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 95 / 100);
    std::nth_element(waits.begin(), percentile, waits.end());
    const std::string wait =
        "95 of 100 jobs start within " +
        std::to_string(
            std::chrono::duration_cast<milliseconds>(*percentile).count()) +
        " ms";
    std::cout << '\n' << wait << '\n';
    CPPUNIT_ASSERT_MESSAGE(wait, *percentile < kMaxStartWait);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BurstStartTest, "scheduling");

}  // namespace
