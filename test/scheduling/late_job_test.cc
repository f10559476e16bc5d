#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

#include "test/scheduling/waiting_jobs_support.h"

namespace {

using namespace crocusmast;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::NumberedJobId;

constexpr std::uint32_t kWorkers = 10;
constexpr std::uint64_t kWorkerProcessor = 4000;
constexpr std::uint32_t kLateJobs = 100;
/** @brief Above the objective of a job, 2.6 s, and below three times that. */
constexpr std::chrono::seconds kLate{4};

/** @brief Jobs that can't end within their objective any more. */
class LateJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateJobTest);
  CPPUNIT_TEST(LateJobsNeedNoMachines);
  CPPUNIT_TEST(LateJobsFillAPoolThatNobodyElseNeeds);
  CPPUNIT_TEST(LateJobsStayWithinTheirLimit);
  CPPUNIT_TEST(JobsInTimeHaveNoLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { test::LetJobsWait(m_fixture, kLateJobs, kLate); }

  // Issue 42: late jobs, worth 7% of one in time, kept the machines that a pool
  // had borrowed for its turn, while another pool had its own.
  void LateJobsNeedNoMachines() {
    ListWorkers();
    const std::vector<capacity::PoolLoad> loads =
        m_fixture.scheduler.PoolLoads();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
    CPPUNIT_ASSERT_EQUAL(0.0, loads[0].waiting_core_seconds);
    CPPUNIT_ASSERT_EQUAL(0.0, loads[0].waiting_cores);
    CPPUNIT_ASSERT(loads[0].waiting_late > 0);
  }

  void LateJobsFillAPoolThatNobodyElseNeeds() {
    ListWorkers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkers * kWorkerProcessor / 1000},
                         m_fixture.worker_port.starts.size());
  }

  void LateJobsStayWithinTheirLimit() {
    m_fixture.scheduler.SetLateLimits(Limit(kWorkerProcessor * 3));
    ListWorkers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkerProcessor * 3 / 1000},
                         m_fixture.worker_port.starts.size());
    m_fixture.scheduler.SetLateLimits({});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkers * kWorkerProcessor / 1000},
                         m_fixture.worker_port.starts.size());
  }

  void JobsInTimeHaveNoLimit() {
    m_fixture.scheduler.SetLateLimits(Limit(kWorkerProcessor));
    m_fixture.scheduler.AddJob(
        MakeJob(NumberedJobId(kLateJobs), {MakeStep(20)}));
    ListWorkers();
    std::size_t starts_in_time = 0;
    for (const execution::StartCommand& start : m_fixture.worker_port.starts) {
      starts_in_time +=
          start.task.job.Text() == NumberedJobId(kLateJobs) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, starts_in_time);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, m_fixture.worker_port.starts.size());
  }

 private:
  static capacity::LateLimits Limit(std::uint64_t milli_cores) {
    return {{MakeId<core::PoolId>("pool"), core::MilliCores(milli_cores)}};
  }

  void ListWorkers() {
    test::ListEqualWorkers(m_fixture, kWorkers, kWorkerProcessor);
  }

  test::SchedulerFixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LateJobTest, "scheduling");

}  // namespace
