#include "crocusmast/scheduling/job_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using scheduling::ActiveJob;
using std::chrono::milliseconds;
using test::MakeJob;
using test::MakeStep;

constexpr char kJob[] = "0123456789abcdef";

class JobMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobMonitorTest);
  CPPUNIT_TEST(PhasesAddUpToTheTimeOfTheJob);
  CPPUNIT_TEST(JobsOfAnEarlierTermAreNotMeasured);
  CPPUNIT_TEST(ReportsAreLimitedToOneInAnInterval);
  CPPUNIT_TEST(SchedulerLogsThePhasesOfAJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PhasesAddUpToTheTimeOfTheJob() {
    m_monitor.HandleEndStored(MakeEndedJob(), m_now + milliseconds(1500));
    const auto reports = m_monitor.NextReports(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    const std::map<std::string, std::string> expected{
        {"queue", "queue"},         {"jobs", "1"},
        {"in_time", "1"},           {"seen_ms", "100"},
        {"first_placed_ms", "200"}, {"all_placed_ms", "300"},
        {"ended_ms", "400"},        {"stored_ms", "500"}};
    std::map<std::string, std::string> fields;
    for (const core::LogField& field : reports.front()) {
      fields.emplace(field.name, field.value);
    }
    CPPUNIT_ASSERT(fields == expected);
  }

  void JobsOfAnEarlierTermAreNotMeasured() {
    ActiveJob active = MakeEndedJob();
    active.times.seen_at = {};
    m_monitor.HandleEndStored(active, m_now);
    CPPUNIT_ASSERT(m_monitor.NextReports(m_now).empty());
  }

  void ReportsAreLimitedToOneInAnInterval() {
    m_monitor.HandleEndStored(MakeEndedJob(), m_now);
    CPPUNIT_ASSERT(!m_monitor.NextReports(m_now).empty());
    m_monitor.HandleEndStored(MakeEndedJob(), m_now);
    CPPUNIT_ASSERT(m_monitor.NextReports(m_now).empty());
    m_now += scheduling::kJobReportInterval;
    CPPUNIT_ASSERT(!m_monitor.NextReports(m_now).empty());
  }

  void SchedulerLogsThePhasesOfAJob() {
    test::SchedulerFixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({test::MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts.back();
    fixture.ReplyToStart(start, execution::WorkerCallOutcome::kDone);
    fixture.ReplyToPoll({}, {test::SchedulerFixture::EndedRun(
                                start, 1, job::RunOutcome::kDone)});
    fixture.RunCycles();
    fixture.clock.Advance(scheduling::kJobReportInterval);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.logger.Count("job_phases"));
  }

 private:
  ActiveJob MakeEndedJob() const {
    ActiveJob active(job::Job::Create(MakeJob(kJob, {MakeStep(1)}), nullptr,
                                      core::Attempt(0)));
    active.accepted_at = m_now;
    active.deadline = m_now + milliseconds(1500);
    active.times.seen_at = m_now + milliseconds(100);
    active.times.first_placed_at = m_now + milliseconds(300);
    active.times.last_placed_at = m_now + milliseconds(600);
    active.times.ended_at = m_now + milliseconds(1000);
    return active;
  }

  core::TimePoint m_now{std::chrono::hours(1)};
  scheduling::JobMonitor m_monitor;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobMonitorTest, "scheduling");

}  // namespace
