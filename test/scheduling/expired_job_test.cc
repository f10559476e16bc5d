#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

#include "test/scheduling/waiting_jobs_support.h"

namespace {

using namespace crocusmast;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;
using test::NumberedJobId;

constexpr std::uint32_t kWorkers = 10;
constexpr std::uint64_t kCoresPerWorker = 4;
constexpr std::uint32_t kExpiredJobs = 100;
/** @brief Well above three times the objective of a job, 2.6 s. */
constexpr std::chrono::seconds kLongAgo{30};

/** @brief Jobs that have waited for so long that their results are worth
 * nothing. */
class ExpiredJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExpiredJobTest);
  CPPUNIT_TEST(ExpiredJobsLeaveCapacityToOthers);
  CPPUNIT_TEST(ExpiredJobsRunInAnIdlePool);
  CPPUNIT_TEST(ExpiredJobsNeedNoMachines);
  CPPUNIT_TEST(OccurrenceIsInTimeWhenItIsDue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    test::LetJobsWait(m_fixture, kExpiredJobs, kLongAgo);
  }

  // Issue 24: a backlog that nobody waited for any more kept a pool full, so
  // that jobs that arrived after a burst were late too.
  void ExpiredJobsLeaveCapacityToOthers() {
    ListWorkers();
    const std::size_t expired = m_fixture.worker_port.starts.size();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkers * kCoresPerWorker *
                                     scheduling::kExpiredSharePercent / 100},
                         expired);
    m_fixture.scheduler.AddJob(
        MakeJob(NumberedJobId(kExpiredJobs), {MakeStep(10)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(expired + 10, m_fixture.worker_port.starts.size());
  }

  // A job must not wait for ever while less than half of its pool is in use.
  void ExpiredJobsRunInAnIdlePool() {
    m_fixture.SetWorkers({MakeWorker("w-1", 1, 1000)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
  }

  // Issue 24: machines stayed with a pool that worked off what was worth
  // nothing, while another pool lacked them.
  void ExpiredJobsNeedNoMachines() {
    ListWorkers();
    const std::vector<capacity::PoolLoad> loads =
        m_fixture.scheduler.PoolLoads();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
    CPPUNIT_ASSERT_EQUAL(0.0, loads[0].waiting_core_seconds);
    CPPUNIT_ASSERT_EQUAL(0.0, loads[0].waiting_cores);
    CPPUNIT_ASSERT_EQUAL(kExpiredJobs - m_fixture.worker_port.starts.size(),
                         loads[0].waiting_expired);
  }

  // Issue 24: an occurrence counted as expired because its job had been
  // accepted long before it was due.
  void OccurrenceIsInTimeWhenItIsDue() {
    job::AcceptedJob job = MakeJob(NumberedJobId(kExpiredJobs), {MakeStep(1)});
    job.accepted_at = m_fixture.clock.WallNow();
    job.spec.schedule.occurrence_count = 2;
    job.spec.schedule.first = m_fixture.clock.WallNow() + kLongAgo;
    job.spec.schedule.interval = kLongAgo;
    m_fixture.scheduler.AddJob(job);
    m_fixture.clock.Advance(kLongAgo);
    m_fixture.RunCycles();
    const std::vector<capacity::PoolLoad> loads =
        m_fixture.scheduler.PoolLoads();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads[0].waiting_in_time);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kExpiredJobs}, loads[0].waiting_expired);
  }

 private:
  void ListWorkers() {
    test::ListEqualWorkers(m_fixture, kWorkers, kCoresPerWorker * 1000);
  }

  test::SchedulerFixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ExpiredJobTest, "scheduling");

}  // namespace
