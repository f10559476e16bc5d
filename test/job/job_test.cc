#include "crocusmast/job/job.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

#include "crocusmast/job/job_catalog.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using job::Job;
using job::JobState;
using job::RunOutcome;
using job::TaskKey;
using test::MakeJob;
using test::MakeStep;

constexpr std::uint32_t kMaxAttempts = 3;
const core::TimePoint kNow{std::chrono::seconds(100)};
const core::WallTime kWallTime{std::chrono::seconds(100)};

Job MakeOpenJob(std::vector<job::Step> steps,
                const job::JobProgress* stored = nullptr,
                core::Attempt last = {}) {
  Job job =
      Job::Create(MakeJob("0123456789abcdef", std::move(steps)), stored, last);
  job.OpenDueOccurrences(kWallTime);
  return job;
}

std::vector<TaskKey> ReadyTasks(const Job& job) {
  std::vector<TaskKey> ready;
  job.ForEachReady(
      [&ready](const TaskKey& key, const job::Step&) { ready.push_back(key); });
  return ready;
}

core::Attempt StartRun(Job& job, const TaskKey& key) {
  job::Run run;
  run.worker = test::MakeId<core::InstanceId>("worker");
  run.attempt = job.NextAttempt(key);
  const core::Attempt attempt = run.attempt;
  job.BeginRun(key, std::move(run));
  return attempt;
}

void FinishTask(Job& job, const TaskKey& key) {
  job.EndRun(key, StartRun(job, key), RunOutcome::kDone, "", kMaxAttempts);
}

class JobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobTest);
  CPPUNIT_TEST(StepsWaitForTheirDependencies);
  CPPUNIT_TEST(AttemptNumbersIncrease);
  CPPUNIT_TEST(JobFailsAtTheAttemptLimit);
  CPPUNIT_TEST(DuplicateFailureReportsCountOnce);
  CPPUNIT_TEST(OnlyFailedRunsCountAsFailures);
  CPPUNIT_TEST(GangSharesFailuresCheckpointsAndSuccess);
  CPPUNIT_TEST(LongRunningTasksRestartUntilCancelled);
  CPPUNIT_TEST(ProgressTellsWhereLongRunningTasksMayRun);
  CPPUNIT_TEST(RunAfterCaptureIsNotStoredWithIt);
  CPPUNIT_TEST(UnknownPlacementsStayUnknownUntilSettled);
  CPPUNIT_TEST(OccurrencesOpenWhenDue);
  CPPUNIT_TEST(FinalStateDoesNotChange);
  CPPUNIT_TEST(ProgressIsRestored);
  CPPUNIT_TEST(FullSpeedIsTrackedPerRun);
  CPPUNIT_TEST(InvalidSpecsAreRejected);
  CPPUNIT_TEST(ReadyTasksMatchReferenceModel);
  CPPUNIT_TEST(CatalogKeepsLatestProgress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StepsWaitForTheirDependencies() {
    Job job = MakeOpenJob({MakeStep(2), MakeStep(1, 1000, {0})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ReadyTasks(job).size());
    FinishTask(job, {0, 0, 0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadyTasks(job).size());
    CPPUNIT_ASSERT(job.State() == JobState::kRunning);
    FinishTask(job, {0, 0, 1});
    CPPUNIT_ASSERT(ReadyTasks(job).front() == (TaskKey{0, 1, 0}));
    FinishTask(job, {0, 1, 0});
    CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
    CPPUNIT_ASSERT(ReadyTasks(job).empty());
  }

  void AttemptNumbersIncrease() {
    Job job = MakeOpenJob({MakeStep(1)}, nullptr, core::Attempt(40));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, StartRun(job, {0, 0, 0}).Count());
    job.EndRun({0, 0, 0}, core::Attempt(41), RunOutcome::kStopped, "",
               kMaxAttempts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, StartRun(job, {0, 0, 0}).Count());
  }

  void JobFailsAtTheAttemptLimit() {
    Job job = MakeOpenJob({MakeStep(2)});
    for (std::uint32_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
      CPPUNIT_ASSERT(!job::IsFinal(job.State()));
      job.EndRun({0, 0, 0}, StartRun(job, {0, 0, 0}), RunOutcome::kFailed, "",
                 kMaxAttempts);
    }
    CPPUNIT_ASSERT(job.State() == JobState::kFailed);
    CPPUNIT_ASSERT(ReadyTasks(job).empty());
  }

  // A worker reports an ended run until it is acknowledged, so that each new
  // leader may receive the same failure again.
  void DuplicateFailureReportsCountOnce() {
    Job job = MakeOpenJob({MakeStep(1)});
    const core::Attempt attempt = StartRun(job, {0, 0, 0});
    job.EndRun({0, 0, 0}, attempt, RunOutcome::kFailed, "", kMaxAttempts);
    job::JobProgress stored = job.Progress();
    for (int term = 0; term < 5; ++term) {
      Job successor = MakeOpenJob({MakeStep(1)}, &stored, core::Attempt(50));
      successor.EndRun({0, 0, 0}, attempt, RunOutcome::kFailed, "",
                       kMaxAttempts);
      CPPUNIT_ASSERT(successor.State() == JobState::kRunning);
      stored = successor.Progress();
    }
  }

  void OnlyFailedRunsCountAsFailures() {
    Job job = MakeOpenJob({MakeStep(1)});
    for (const RunOutcome end :
         {RunOutcome::kStopped, RunOutcome::kLeaseExpired, RunOutcome::kLost,
          RunOutcome::kGangIncomplete, RunOutcome::kGangBroken,
          RunOutcome::kRejected}) {
      job.EndRun({0, 0, 0}, StartRun(job, {0, 0, 0}), end, "", 1);
      CPPUNIT_ASSERT(job.State() == JobState::kRunning);
    }
  }

  void GangSharesFailuresCheckpointsAndSuccess() {
    job::Step gang = MakeStep(3);
    gang.is_gang = true;
    Job job = MakeOpenJob({gang});
    const core::Attempt attempt = job.NextAttempt({0, 0, 0});
    for (std::uint32_t index = 0; index < 3; ++index) {
      job::Run run;
      run.attempt = attempt;
      job.BeginRun({0, 0, index}, std::move(run));
    }
    job.EndRun({0, 0, 1}, attempt, RunOutcome::kFailed, "save", kMaxAttempts);
    job.EndRun({0, 0, 2}, attempt, RunOutcome::kFailed, "", kMaxAttempts);
    job.EndRun({0, 0, 0}, attempt, RunOutcome::kGangBroken, "", kMaxAttempts);
    // Two members failed in one attempt of the gang; it counts as one failure.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         job.Find({0, 0, 0})->failed_attempts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("save"), job.CheckpointOf({0, 0, 0}));
    StartRun(job, {0, 0, 2});
    job.EndRun({0, 0, 2}, job.Find({0, 0, 2})->attempt, RunOutcome::kDone, "",
               kMaxAttempts);
    CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
  }

  void LongRunningTasksRestartUntilCancelled() {
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    Job job = MakeOpenJob({step});
    for (int count = 0; count < 10; ++count) {
      job.EndRun({0, 0, 0}, StartRun(job, {0, 0, 0}),
                 count % 2 == 0 ? RunOutcome::kFailed : RunOutcome::kDone, "",
                 kMaxAttempts);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadyTasks(job).size());
    }
    job.Cancel();
    CPPUNIT_ASSERT(ReadyTasks(job).empty());
  }

  static std::vector<job::Step> LongRunningSteps(std::uint32_t count) {
    job::Step step = MakeStep(count);
    step.is_long_running = true;
    return {step};
  }

  void ProgressTellsWhereLongRunningTasksMayRun() {
    CPPUNIT_ASSERT(!MakeOpenJob({MakeStep(1)}).Progress().placements);
    Job job = MakeOpenJob(LongRunningSteps(3));
    CPPUNIT_ASSERT(job.Progress().placements->empty());
    const core::Attempt attempt = StartRun(job, {0, 0, 1});
    StartRun(job, {0, 0, 2});
    CPPUNIT_ASSERT(job.EndRun({0, 0, 1}, attempt, RunOutcome::kLost, "", 0));
    const job::JobProgress progress = job.Progress();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, progress.placements->size());
    CPPUNIT_ASSERT(progress.placements->front().task == TaskKey({0, 0, 2}));
    // The second successor gets what the first one has not settled.
    Job successor = MakeOpenJob(LongRunningSteps(3), &progress);
    StartRun(successor, {0, 0, 0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         successor.Progress().placements->size());
    CPPUNIT_ASSERT(successor.Earlier().MayBeRunning({0, 0, 2}));
    CPPUNIT_ASSERT(!successor.Earlier().MayBeRunning({0, 0, 1}));
  }

  void RunAfterCaptureIsNotStoredWithIt() {
    Job job = MakeOpenJob(LongRunningSteps(2));
    StartRun(job, {0, 0, 0});
    job.CaptureProgress();
    StartRun(job, {0, 0, 1});
    CPPUNIT_ASSERT(!job.Find({0, 0, 0})->runs[0].is_placement_stored);
    job.MarkCapturedProgressStored();
    CPPUNIT_ASSERT(job.Find({0, 0, 0})->runs[0].is_placement_stored);
    CPPUNIT_ASSERT(!job.Find({0, 0, 1})->runs[0].is_placement_stored);
    job.CaptureProgress();
    job.MarkCapturedProgressStored();
    CPPUNIT_ASSERT(job.Find({0, 0, 1})->runs[0].is_placement_stored);
  }

  // The record of a leader of an earlier version has no placements.
  void UnknownPlacementsStayUnknownUntilSettled() {
    Job first = MakeOpenJob(LongRunningSteps(2));
    StartRun(first, {0, 0, 0});
    job::JobProgress progress = first.Progress();
    progress.placements.reset();
    Job job = MakeOpenJob(LongRunningSteps(2), &progress);
    StartRun(job, {0, 0, 1});
    CPPUNIT_ASSERT(job.Earlier().MayBeRunning({0, 0, 0}));
    CPPUNIT_ASSERT(!job.Progress().placements);
    CPPUNIT_ASSERT(job.Earlier().SettleUnknown());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.Progress().placements->size());
  }

  void OccurrencesOpenWhenDue() {
    job::AcceptedJob accepted = MakeJob("0123456789abcdef", {MakeStep(1)});
    accepted.spec.schedule = {3, kWallTime, std::chrono::milliseconds(1000)};
    Job job = Job::Create(accepted, nullptr, {});
    CPPUNIT_ASSERT(
        !job.OpenDueOccurrences(kWallTime - std::chrono::milliseconds(1)));
    CPPUNIT_ASSERT(job.OpenDueOccurrences(kWallTime));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadyTasks(job).size());
    FinishTask(job, {0, 0, 0});
    CPPUNIT_ASSERT(job.State() == JobState::kRunning);
    CPPUNIT_ASSERT(job.OpenDueOccurrences(kWallTime + std::chrono::seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ReadyTasks(job).size());
    FinishTask(job, {2, 0, 0});
    FinishTask(job, {1, 0, 0});
    CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
  }

  void FinalStateDoesNotChange() {
    Job job = MakeOpenJob({MakeStep(1)});
    const core::Attempt attempt = StartRun(job, {0, 0, 0});
    job.Cancel();
    CPPUNIT_ASSERT(
        !job.EndRun({0, 0, 0}, attempt, RunOutcome::kDone, "", kMaxAttempts));
    CPPUNIT_ASSERT(job.State() == JobState::kCancelled);
    CPPUNIT_ASSERT(!job.HasRuns());
  }

  void ProgressIsRestored() {
    Job job = MakeOpenJob({MakeStep(2), MakeStep(1, 1000, {0})});
    FinishTask(job, {0, 0, 1});
    job.EndRun({0, 0, 0}, StartRun(job, {0, 0, 0}), RunOutcome::kFailed,
               "saved", kMaxAttempts);
    const job::JobProgress stored = job.Progress();
    Job successor = MakeOpenJob({MakeStep(2), MakeStep(1, 1000, {0})}, &stored,
                                core::Attempt(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadyTasks(successor).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         successor.Find({0, 0, 0})->failed_attempts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("saved"),
                         successor.CheckpointOf({0, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{501},
                         successor.NextAttempt({0, 0, 0}).Count());
  }

  // A restarted task counts as unavailable until its new run reports full
  // speed.
  void FullSpeedIsTrackedPerRun() {
    Job job = MakeOpenJob({MakeStep(1)});
    const core::Attempt first = StartRun(job, {0, 0, 0});
    job.UpdateRun({0, 0, 0}, first, 100, "", kNow);
    CPPUNIT_ASSERT(job.Find({0, 0, 0})->runs.front().last_at_full_speed ==
                   kNow);
    job.EndRun({0, 0, 0}, first, RunOutcome::kStopped, "", kMaxAttempts);
    StartRun(job, {0, 0, 0});
    CPPUNIT_ASSERT(job.Find({0, 0, 0})->runs.front().last_at_full_speed ==
                   core::TimePoint());
  }

  void InvalidSpecsAreRejected() {
    const auto is_valid = [](const job::JobSpec& spec) {
      return core::Handle(
          [&spec]() -> core::Result<bool> {
            BOOST_LEAF_CHECK(job::Validate(spec));
            return true;
          },
          [](const core::Error&) { return false; });
    };
    job::JobSpec spec;
    CPPUNIT_ASSERT(!is_valid(spec));
    spec.steps = {MakeStep(1)};
    CPPUNIT_ASSERT(is_valid(spec));
    spec.steps = {MakeStep(0)};
    CPPUNIT_ASSERT(!is_valid(spec));
    spec.steps = {MakeStep(1, 1000, {0})};
    CPPUNIT_ASSERT(!is_valid(spec));
    spec.steps = {MakeStep(20001)};
    CPPUNIT_ASSERT(!is_valid(spec));
    spec.steps = {MakeStep(1)};
    spec.payload = std::string(4001, 'x');
    CPPUNIT_ASSERT(!is_valid(spec));
  }

  // Compares with a reference model that only keeps the set of finished tasks.
  void ReadyTasksMatchReferenceModel() {
    // Each seed is one random sequence; 2000 of them take less than a second.
    for (std::uint32_t seed = 0; seed < 2000; ++seed) {
      std::mt19937 random(seed);
      const auto random_below = [&random](std::size_t bound) {
        return static_cast<std::uint32_t>(random() % bound);
      };
      std::vector<job::Step> steps;
      const std::uint32_t count = 1 + random_below(3);
      for (std::uint32_t step = 0; step < count; ++step) {
        std::vector<std::uint32_t> dependencies;
        for (std::uint32_t earlier = 0; earlier < step; ++earlier) {
          if (random_below(2) == 0) {
            dependencies.push_back(earlier);
          }
        }
        steps.push_back(MakeStep(1 + random_below(3), 1000, dependencies));
      }
      Job job = MakeOpenJob(steps);
      std::set<TaskKey> done;
      std::size_t total = 0;
      for (const job::Step& step : steps) {
        total += step.count;
      }
      const auto is_step_done = [&](std::uint32_t step) {
        for (std::uint32_t index = 0; index < steps[step].count; ++index) {
          if (done.count({0, step, index}) == 0) {
            return false;
          }
        }
        return true;
      };
      while (done.size() < total) {
        std::vector<TaskKey> expected;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
          bool is_ready = true;
          for (const std::uint32_t earlier : steps[step].depends_on) {
            is_ready = is_ready && is_step_done(earlier);
          }
          for (std::uint32_t index = 0; is_ready && index < steps[step].count;
               ++index) {
            if (done.count({0, step, index}) == 0) {
              expected.push_back({0, step, index});
            }
          }
        }
        CPPUNIT_ASSERT(ReadyTasks(job) == expected);
        const TaskKey key = expected[random_below(expected.size())];
        if (random_below(4) == 0) {
          job.EndRun(key, StartRun(job, key), RunOutcome::kLost, "",
                     kMaxAttempts);
        } else {
          FinishTask(job, key);
          done.insert(key);
        }
        if (random_below(5) == 0 && !job::IsFinal(job.State())) {
          const job::JobProgress stored = job.Progress();
          job = MakeOpenJob(steps, &stored,
                            core::Attempt(job.Progress().opened_count));
        }
      }
      CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
    }
  }

  void CatalogKeepsLatestProgress() {
    job::JobCatalog catalog;
    const job::AcceptedJob accepted =
        MakeJob("0123456789abcdef", {MakeStep(1)});
    job::JobProgress running;
    running.state = JobState::kRunning;
    job::JobProgress ended;
    ended.state = JobState::kSucceeded;
    catalog.Apply(job::ProgressStored{accepted.id, ended, core::Revision(9)},
                  kNow);
    CPPUNIT_ASSERT(catalog.Find(accepted.id) == nullptr);
    catalog.Apply(job::JobStored{accepted}, kNow);
    // A stale listing must not replace the final state.
    catalog.Apply(job::ProgressStored{accepted.id, running, core::Revision(5)},
                  kNow);
    catalog.Apply(job::CancellationStored{accepted.id}, kNow);
    CPPUNIT_ASSERT(catalog.Find(accepted.id)->State() == JobState::kSucceeded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, catalog.CountQueued(accepted.queue));
    catalog.RetainOnly({}, {});
    CPPUNIT_ASSERT(catalog.Find(accepted.id) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobTest, "job");

}  // namespace
