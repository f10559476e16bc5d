#include "crocusmast/scheduling/run_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using Fixture = test::SchedulerFixture;
using std::chrono::milliseconds;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";

class RunMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunMonitorTest);
  CPPUNIT_TEST(PhasesAddUpToTheTimeOfTheReservation);
  CPPUNIT_TEST(ReportsAreLimitedToOneInAnInterval);
  CPPUNIT_TEST(SchedulerLogsTheRatioOfAQueue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PhasesAddUpToTheTimeOfTheReservation() {
    execution::AssignedRun run;
    run.placed_at = m_now;
    m_now += milliseconds(300);
    m_monitor.HandleStart(run, m_now);
    run.command_sent_at = m_now;
    m_now += milliseconds(50);
    m_monitor.HandleConfirmation(run, m_now);
    m_now += milliseconds(1200);
    m_monitor.HandleEnd(run, milliseconds(700), m_now);
    CheckTiming(core::Timing::kRunStartWait, milliseconds(300));
    CheckTiming(core::Timing::kRunStartReply, milliseconds(50));
    CheckTiming(core::Timing::kRunTime, milliseconds(700));
    CheckTiming(core::Timing::kRunEndReport, milliseconds(500));
  }

  void ReportsAreLimitedToOneInAnInterval() {
    CPPUNIT_ASSERT(m_monitor.NextReport(m_now).empty());
    m_monitor.HandleArrival(true);
    CPPUNIT_ASSERT(!m_monitor.NextReport(m_now).empty());
    m_monitor.HandleArrival(true);
    m_monitor.HandleArrival(false);
    CPPUNIT_ASSERT(m_monitor.NextReport(m_now).empty());
    m_now += scheduling::kRunReportInterval;
    const std::vector<core::LogField> fields = m_monitor.NextReport(m_now);
    CPPUNIT_ASSERT_EQUAL(std::string("arrived_late"), fields.back().name);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), fields.back().value);
  }

  void SchedulerLogsTheRatioOfAQueue() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts.back();
    execution::WorkerCommandReply started =
        fixture.MakeReply(start, execution::WorkerCallOutcome::kDone);
    started.clock = execution::WorkerTime(std::chrono::seconds(20));
    fixture.scheduler.HandleStartReply(started);
    const execution::PollCommand& poll = fixture.worker_port.polls.back();
    execution::PollReply ended;
    ended.worker = poll.to.worker;
    ended.incarnation = poll.to.incarnation;
    ended.sequence = poll.sequence;
    ended.outcome = execution::WorkerCallOutcome::kDone;
    ended.clock = execution::WorkerTime(std::chrono::seconds(21));
    ended.ended = {Fixture::EndedRun(start, 1, job::RunOutcome::kDone)};
    fixture.scheduler.Handle(ended);
    fixture.clock.Advance(scheduling::kRunReportInterval);
    fixture.RunCycles();
    const std::string event = "run_time_ratios";
    CPPUNIT_ASSERT(fixture.logger.Count(event) > 0);
    CPPUNIT_ASSERT_EQUAL(std::string("queue="),
                         fixture.logger.Field(event, "ratios").substr(0, 6));
  }

 private:
  void CheckTiming(core::Timing timing, core::Duration expected) {
    const std::vector<core::Duration> values = m_meter.Values(timing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, values.size());
    CPPUNIT_ASSERT(values[0] == expected);
  }

  core::TimePoint m_now{std::chrono::seconds(1000)};
  test::RecordingMeter m_meter;
  scheduling::RunMonitor m_monitor{m_meter};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RunMonitorTest, "scheduling");

}  // namespace
