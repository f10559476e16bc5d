#include "crocusmast/job/job.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

#include "crocusmast/job/job_book.h"
#include "test/support/job_fakes.h"

namespace {

using namespace crocusmast;
using job::Job;
using job::JobState;
using job::RunEnd;
using job::TaskKey;
using test::MakeJob;
using test::MakeStep;

constexpr std::uint32_t kAttempts = 3;
const core::TimePoint kNow{std::chrono::seconds(100)};
const core::WallTime kWall{std::chrono::seconds(100)};

Job Open(std::vector<job::Step> steps,
         const job::JobProgress* stored = nullptr,
         core::Attempt last = {}) {
  Job job =
      Job::Create(MakeJob("0123456789abcdef", std::move(steps)), stored, last);
  job.OpenDueOccurrences(kWall);
  return job;
}

std::vector<TaskKey> Ready(const Job& job) {
  std::vector<TaskKey> ready;
  job.ForEachReady(
      [&ready](const TaskKey& key, const job::Step&) { ready.push_back(key); });
  return ready;
}

core::Attempt Begin(Job& job, const TaskKey& key) {
  job::Run run;
  run.worker = test::MakeId<core::InstanceId>("worker");
  run.attempt = job.NextAttempt(key);
  const core::Attempt attempt = run.attempt;
  job.BeginRun(key, std::move(run));
  return attempt;
}

void Done(Job& job, const TaskKey& key) {
  job.EndRun(key, Begin(job, key), RunEnd::kDone, "", kAttempts);
}

class JobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobTest);
  CPPUNIT_TEST(StepsComeInOrder);
  CPPUNIT_TEST(AttemptsRise);
  CPPUNIT_TEST(FailuresEndAJob);
  CPPUNIT_TEST(AFailureSeenTwiceCountsOnce);
  CPPUNIT_TEST(OnlyFailuresCount);
  CPPUNIT_TEST(AGangEndsTogether);
  CPPUNIT_TEST(LongRunningTasksNeverEnd);
  CPPUNIT_TEST(OccurrencesOpenInTime);
  CPPUNIT_TEST(AFinalStateStays);
  CPPUNIT_TEST(ProgressSurvives);
  CPPUNIT_TEST(WorkIsSeenPerRun);
  CPPUNIT_TEST(BadSpecsAreRefused);
  CPPUNIT_TEST(SameAsANaiveJob);
  CPPUNIT_TEST(TheBookKeepsTheNewest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StepsComeInOrder() {
    Job job = Open({MakeStep(2), MakeStep(1, 1000, {0})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Ready(job).size());
    Done(job, {0, 0, 0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ready(job).size());
    CPPUNIT_ASSERT(job.State() == JobState::kRunning);
    Done(job, {0, 0, 1});
    CPPUNIT_ASSERT(Ready(job).front() == (TaskKey{0, 1, 0}));
    Done(job, {0, 1, 0});
    CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
    CPPUNIT_ASSERT(Ready(job).empty());
  }

  void AttemptsRise() {
    Job job = Open({MakeStep(1)}, nullptr, core::Attempt(40));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, Begin(job, {0, 0, 0}).Count());
    job.EndRun({0, 0, 0}, core::Attempt(41), RunEnd::kStopped, "", kAttempts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, Begin(job, {0, 0, 0}).Count());
  }

  void FailuresEndAJob() {
    Job job = Open({MakeStep(2)});
    for (std::uint32_t attempt = 0; attempt < kAttempts; ++attempt) {
      CPPUNIT_ASSERT(!job::IsFinal(job.State()));
      job.EndRun({0, 0, 0}, Begin(job, {0, 0, 0}), RunEnd::kFailed, "",
                 kAttempts);
    }
    CPPUNIT_ASSERT(job.State() == JobState::kFailed);
    CPPUNIT_ASSERT(Ready(job).empty());
  }

  // A worker goes on listing an end until it is told that it is recorded, so
  // each successor sees the same failure again.
  void AFailureSeenTwiceCountsOnce() {
    Job job = Open({MakeStep(1)});
    const core::Attempt attempt = Begin(job, {0, 0, 0});
    job.EndRun({0, 0, 0}, attempt, RunEnd::kFailed, "", kAttempts);
    job::JobProgress stored = job.Progress();
    for (int holders = 0; holders < 5; ++holders) {
      Job successor = Open({MakeStep(1)}, &stored, core::Attempt(50));
      successor.EndRun({0, 0, 0}, attempt, RunEnd::kFailed, "", kAttempts);
      CPPUNIT_ASSERT(successor.State() == JobState::kRunning);
      stored = successor.Progress();
    }
  }

  void OnlyFailuresCount() {
    Job job = Open({MakeStep(1)});
    for (const RunEnd end :
         {RunEnd::kStopped, RunEnd::kLapsed, RunEnd::kLost, RunEnd::kAlone,
          RunEnd::kBroken, RunEnd::kRejected}) {
      job.EndRun({0, 0, 0}, Begin(job, {0, 0, 0}), end, "", 1);
      CPPUNIT_ASSERT(job.State() == JobState::kRunning);
    }
  }

  void AGangEndsTogether() {
    job::Step gang = MakeStep(3);
    gang.gang = true;
    Job job = Open({gang});
    const core::Attempt attempt = job.NextAttempt({0, 0, 0});
    for (std::uint32_t index = 0; index < 3; ++index) {
      job::Run run;
      run.attempt = attempt;
      job.BeginRun({0, 0, index}, std::move(run));
    }
    job.EndRun({0, 0, 1}, attempt, RunEnd::kFailed, "save", kAttempts);
    job.EndRun({0, 0, 2}, attempt, RunEnd::kFailed, "", kAttempts);
    job.EndRun({0, 0, 0}, attempt, RunEnd::kBroken, "", kAttempts);
    // Two members failed in one attempt of the gang: that counts once.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.Find({0, 0, 0})->failed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("save"), job.CheckpointOf({0, 0, 0}));
    Begin(job, {0, 0, 2});
    job.EndRun({0, 0, 2}, job.Find({0, 0, 2})->attempt, RunEnd::kDone, "",
               kAttempts);
    CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
  }

  void LongRunningTasksNeverEnd() {
    job::Step step = MakeStep(1);
    step.long_running = true;
    Job job = Open({step});
    for (int count = 0; count < 10; ++count) {
      job.EndRun({0, 0, 0}, Begin(job, {0, 0, 0}),
                 count % 2 == 0 ? RunEnd::kFailed : RunEnd::kDone, "",
                 kAttempts);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ready(job).size());
    }
    job.Cancel();
    CPPUNIT_ASSERT(Ready(job).empty());
  }

  void OccurrencesOpenInTime() {
    job::AcceptedJob accepted = MakeJob("0123456789abcdef", {MakeStep(1)});
    accepted.spec.schedule = {3, kWall, std::chrono::milliseconds(1000)};
    Job job = Job::Create(accepted, nullptr, {});
    CPPUNIT_ASSERT(
        !job.OpenDueOccurrences(kWall - std::chrono::milliseconds(1)));
    CPPUNIT_ASSERT(job.OpenDueOccurrences(kWall));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ready(job).size());
    Done(job, {0, 0, 0});
    CPPUNIT_ASSERT(job.State() == JobState::kRunning);
    CPPUNIT_ASSERT(job.OpenDueOccurrences(kWall + std::chrono::seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Ready(job).size());
    Done(job, {2, 0, 0});
    Done(job, {1, 0, 0});
    CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
  }

  void AFinalStateStays() {
    Job job = Open({MakeStep(1)});
    const core::Attempt attempt = Begin(job, {0, 0, 0});
    job.Cancel();
    CPPUNIT_ASSERT(
        !job.EndRun({0, 0, 0}, attempt, RunEnd::kDone, "", kAttempts));
    CPPUNIT_ASSERT(job.State() == JobState::kCancelled);
    CPPUNIT_ASSERT(!job.HasRuns());
  }

  void ProgressSurvives() {
    Job job = Open({MakeStep(2), MakeStep(1, 1000, {0})});
    Done(job, {0, 0, 1});
    job.EndRun({0, 0, 0}, Begin(job, {0, 0, 0}), RunEnd::kFailed, "saved",
               kAttempts);
    const job::JobProgress stored = job.Progress();
    Job successor = Open({MakeStep(2), MakeStep(1, 1000, {0})}, &stored,
                         core::Attempt(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ready(successor).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         successor.Find({0, 0, 0})->failed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("saved"),
                         successor.CheckpointOf({0, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{501},
                         successor.NextAttempt({0, 0, 0}).Count());
  }

  // A task that was just restarted is away until it is seen at work again.
  void WorkIsSeenPerRun() {
    Job job = Open({MakeStep(1)});
    const core::Attempt first = Begin(job, {0, 0, 0});
    job.UpdateRun({0, 0, 0}, first, 100, "", kNow);
    CPPUNIT_ASSERT(job.Find({0, 0, 0})->runs.front().last_at_full_speed ==
                   kNow);
    job.EndRun({0, 0, 0}, first, RunEnd::kStopped, "", kAttempts);
    Begin(job, {0, 0, 0});
    CPPUNIT_ASSERT(job.Find({0, 0, 0})->runs.front().last_at_full_speed ==
                   core::TimePoint());
  }

  void BadSpecsAreRefused() {
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

  // A naive job: the set of tasks that are done, and nothing else.
  void SameAsANaiveJob() {
    // Each seed is one sequence; the count keeps the suite within a second.
    for (std::uint32_t seed = 0; seed < 2000; ++seed) {
      std::mt19937 random(seed);
      const auto below = [&random](std::size_t bound) {
        return static_cast<std::uint32_t>(random() % bound);
      };
      std::vector<job::Step> steps;
      const std::uint32_t count = 1 + below(3);
      for (std::uint32_t step = 0; step < count; ++step) {
        std::vector<std::uint32_t> after;
        for (std::uint32_t earlier = 0; earlier < step; ++earlier) {
          if (below(2) == 0) {
            after.push_back(earlier);
          }
        }
        steps.push_back(MakeStep(1 + below(3), 1000, after));
      }
      Job job = Open(steps);
      std::set<TaskKey> done;
      std::size_t all = 0;
      for (const job::Step& step : steps) {
        all += step.count;
      }
      const auto step_is_done = [&](std::uint32_t step) {
        for (std::uint32_t index = 0; index < steps[step].count; ++index) {
          if (done.count({0, step, index}) == 0) {
            return false;
          }
        }
        return true;
      };
      while (done.size() < all) {
        std::vector<TaskKey> expected;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
          bool may_begin = true;
          for (const std::uint32_t earlier : steps[step].after) {
            may_begin = may_begin && step_is_done(earlier);
          }
          for (std::uint32_t index = 0; may_begin && index < steps[step].count;
               ++index) {
            if (done.count({0, step, index}) == 0) {
              expected.push_back({0, step, index});
            }
          }
        }
        CPPUNIT_ASSERT(Ready(job) == expected);
        const TaskKey key = expected[below(expected.size())];
        if (below(4) == 0) {
          job.EndRun(key, Begin(job, key), RunEnd::kLost, "", kAttempts);
        } else {
          Done(job, key);
          done.insert(key);
        }
        if (below(5) == 0 && !job::IsFinal(job.State())) {
          const job::JobProgress stored = job.Progress();
          job = Open(steps, &stored, core::Attempt(job.Progress().opened));
        }
      }
      CPPUNIT_ASSERT(job.State() == JobState::kSucceeded);
    }
  }

  void TheBookKeepsTheNewest() {
    job::JobBook book;
    const job::AcceptedJob accepted =
        MakeJob("0123456789abcdef", {MakeStep(1)});
    job::JobProgress running;
    running.state = JobState::kRunning;
    job::JobProgress ended;
    ended.state = JobState::kSucceeded;
    book.Apply(job::ProgressStored{accepted.id, ended, core::Revision(9)},
               kNow);
    CPPUNIT_ASSERT(book.Find(accepted.id) == nullptr);
    book.Apply(job::JobStored{accepted}, kNow);
    // A list that was read earlier must not take the end back.
    book.Apply(job::ProgressStored{accepted.id, running, core::Revision(5)},
               kNow);
    book.Apply(job::CancelStored{accepted.id}, kNow);
    CPPUNIT_ASSERT(book.Find(accepted.id)->State() == JobState::kSucceeded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book.CountQueued(accepted.queue));
    book.Retain({});
    CPPUNIT_ASSERT(book.Find(accepted.id) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobTest, "job");

}  // namespace
