#include "crocusmast/scheduling/run_time_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::AssignedRun;
using execution::WorkerTime;
using Fixture = test::SchedulerFixture;
using scheduling::EstimateRunTime;
using std::chrono::milliseconds;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr int kRuns = 40;

class RunTimeEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTimeEstimatorTest);
  CPPUNIT_TEST(EndThatAPollWaitedForIsExact);
  CPPUNIT_TEST(EndBetweenPollsLiesInTheMiddle);
  CPPUNIT_TEST(RunWithoutTwoReadingsIsNotMeasured);
  CPPUNIT_TEST(LateLeaderDoesNotLengthenRunTimes);
  CPPUNIT_TEST(ErrorsInBothDirectionsDoNotLengthenRunTimes);
  CPPUNIT_TEST(CommonErrorIsCorrected);
  CPPUNIT_TEST(EqualEstimatesAreScaled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EndThatAPollWaitedForIsExact() {
    const AssignedRun run = Run(milliseconds(100), milliseconds(500));
    CPPUNIT_ASSERT(EstimateRunTime(run, WorkerTime(milliseconds(900)), true) ==
                   milliseconds(800));
  }

  void EndBetweenPollsLiesInTheMiddle() {
    const AssignedRun listed = Run(milliseconds(100), milliseconds(500));
    CPPUNIT_ASSERT(EstimateRunTime(listed, WorkerTime(milliseconds(900)),
                                   false) == milliseconds(600));
    const AssignedRun unlisted = Run(milliseconds(100), std::nullopt);
    CPPUNIT_ASSERT(EstimateRunTime(unlisted, WorkerTime(milliseconds(900)),
                                   false) == milliseconds(400));
  }

  void RunWithoutTwoReadingsIsNotMeasured() {
    const AssignedRun run = Run(milliseconds(100), milliseconds(100));
    CPPUNIT_ASSERT(!EstimateRunTime(run, WorkerTime(milliseconds(100)), true));
    CPPUNIT_ASSERT(!EstimateRunTime(run, WorkerTime(milliseconds(90)), true));
    CPPUNIT_ASSERT(!EstimateRunTime(run, std::nullopt, true));
    AssignedRun adopted = run;
    adopted.placed_at = {};
    CPPUNIT_ASSERT(
        !EstimateRunTime(adopted, WorkerTime(milliseconds(900)), true));
    CPPUNIT_ASSERT(
        !EstimateRunTime(AssignedRun(), WorkerTime(milliseconds(900)), true));
  }

  // A leader that handles replies late must not take its delays for run time,
  // or each new job counts as late when it arrives.
  void LateLeaderDoesNotLengthenRunTimes() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    WorkerTime clock(std::chrono::seconds(20));
    for (int run = 1; run <= kRuns; ++run) {
      fixture.scheduler.AddJob(MakeJob(JobIdOf(run), {MakeStep(1)}));
      fixture.RunCycles();
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(run),
                           fixture.worker_port.starts.size());
      const execution::StartCommand start = fixture.worker_port.starts.back();
      fixture.clock.Advance(milliseconds(1500));
      execution::WorkerCommandReply reply =
          fixture.MakeReply(start, execution::WorkerCallOutcome::kDone);
      reply.clock = clock;
      fixture.scheduler.HandleStartReply(reply);
      ReplyToPoll(fixture, clock, {Fixture::ActiveRun(start)}, {});
      fixture.RunCycles();
      clock += std::chrono::seconds(1);
      fixture.clock.Advance(milliseconds(2500));
      ReplyToPoll(fixture, clock, {},
                  {Fixture::EndedRun(start, static_cast<std::uint64_t>(run),
                                     job::RunOutcome::kDone)});
      fixture.RunCycles();
      fixture.clock.Advance(scheduling::kAcknowledgeDelay);
      fixture.RunCycles();
      ReplyToPoll(fixture, clock, {}, {});
    }
    fixture.clock.Advance(scheduling::kRunReportInterval);
    fixture.RunCycles();
    fixture.scheduler.AddJob(MakeJob(JobIdOf(kRuns + 1), {MakeStep(1)}));
    fixture.clock.Advance(scheduling::kRunReportInterval);
    fixture.RunCycles();
    const std::string event = "run_time_ratios";
    CPPUNIT_ASSERT_EQUAL(std::string("queue=1.00"),
                         fixture.logger.Field(event, "ratios"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         fixture.logger.Field(event, "arrived"));
    CPPUNIT_ASSERT_EQUAL(std::string("0"),
                         fixture.logger.Field(event, "arrived_late"));
  }

  // Issue 42: the mean of ratios was 1.7 to 5.1 where estimates were too long
  // and too short alike, and most jobs counted as late when they arrived.
  void ErrorsInBothDirectionsDoNotLengthenRunTimes() {
    scheduling::RunTimeEstimator estimator;
    std::mt19937 random(1);
    std::lognormal_distribution<double> run_time(0, 0.5);
    std::lognormal_distribution<double> error(0, 0.9);
    constexpr int kJobs = 2000;
    double predicted = 0;
    double actual = 0;
    for (int job = 0; job < kJobs; ++job) {
      const double seconds = run_time(random);
      const core::Duration estimate = Seconds(seconds * error(random));
      predicted +=
          std::chrono::duration<double>(estimator.Correct(m_queue, estimate))
              .count();
      actual += seconds;
      estimator.Observe(m_queue, estimate, Seconds(seconds));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, predicted / actual, 0.2);
  }

  void CommonErrorIsCorrected() {
    scheduling::RunTimeEstimator estimator;
    std::mt19937 random(1);
    std::lognormal_distribution<double> run_time(0, 0.5);
    for (int job = 0; job < 500; ++job) {
      const double seconds = run_time(random);
      estimator.Observe(m_queue, Seconds(seconds), Seconds(2 * seconds));
    }
    for (const double seconds : {0.3, 1.0, 4.0}) {
      const double corrected = std::chrono::duration<double>(
                                   estimator.Correct(m_queue, Seconds(seconds)))
                                   .count();
      CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * seconds, corrected, 0.2 * seconds);
    }
    CPPUNIT_ASSERT(estimator.Correct(MakeId<core::QueueId>("other"),
                                     Seconds(1)) == Seconds(1));
  }

  void EqualEstimatesAreScaled() {
    scheduling::RunTimeEstimator estimator;
    for (int job = 0; job < 200000; ++job) {
      estimator.Observe(m_queue, Seconds(1), Seconds(2));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        4.0,
        std::chrono::duration<double>(estimator.Correct(m_queue, Seconds(2)))
            .count(),
        0.1);
  }

 private:
  static core::Duration Seconds(double seconds) {
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(seconds));
  }

  static AssignedRun Run(milliseconds active_since,
                         std::optional<milliseconds> listed_at) {
    AssignedRun run;
    run.placed_at = core::TimePoint(std::chrono::seconds(1));
    run.active_since = WorkerTime(active_since);
    if (listed_at) {
      run.listed_at = WorkerTime(*listed_at);
    }
    return run;
  }

  static std::string JobIdOf(int number) {
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
  }

  static void ReplyToPoll(Fixture& fixture,
                          WorkerTime clock,
                          std::vector<execution::RunReport> running,
                          std::vector<execution::EndedRunReport> ended) {
    const execution::PollCommand& command = fixture.worker_port.polls.back();
    execution::PollReply reply;
    reply.worker = command.to.worker;
    reply.incarnation = command.to.incarnation;
    reply.sequence = command.sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    reply.clock = clock;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    fixture.scheduler.Handle(reply);
  }

  const core::QueueId m_queue = MakeId<core::QueueId>("queue");
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RunTimeEstimatorTest, "scheduling");

}  // namespace
