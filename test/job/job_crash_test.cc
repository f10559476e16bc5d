#include <cppunit/extensions/HelperMacros.h>

#include "crocusmast/job/job.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using job::CrashEvidence;
using job::Job;
using job::JobState;
using job::RunOutcome;
using job::TaskKey;
using test::MakeJob;
using test::MakeStep;

constexpr TaskKey kTask{0, 0, 0};
constexpr TaskKey kSibling{0, 0, 1};

Job MakeOpenJob(const job::Step& step,
                const job::JobProgress* stored = nullptr) {
  Job job =
      Job::Create(MakeJob("0123456789abcdef", {step}), stored, core::Attempt());
  job.OpenDueOccurrences({});
  return job;
}

core::Attempt StartRun(Job& job, const TaskKey& key) {
  job::Run run;
  run.worker = test::MakeId<core::InstanceId>("worker");
  run.attempt = job.NextAttempt(key);
  const core::Attempt attempt = run.attempt;
  job.BeginRun(key, std::move(run));
  return attempt;
}

core::Attempt Crash(Job& job, const TaskKey& key, CrashEvidence evidence) {
  const core::Attempt attempt = StartRun(job, key);
  job.EndRun(key, attempt, RunOutcome::kWorkerCrashed, "", 3);
  job.CountCrash(key, attempt, evidence);
  return attempt;
}

class JobCrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobCrashTest);
  CPPUNIT_TEST(LimitDependsOnTheEvidence);
  CPPUNIT_TEST(DuplicateCrashCountsOnce);
  CPPUNIT_TEST(SurvivedStartClearsTheTask);
  CPPUNIT_TEST(CrashesSurviveALeaderChange);
  CPPUNIT_TEST(OneMemberDoesNotClearItsGang);
  CPPUNIT_TEST(SiblingsAreSuspectsUntilOneSurvives);
  CPPUNIT_TEST(UnknownTaskIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A sound job that shared workers with a deadly task was given up.
  void LimitDependsOnTheEvidence() {
    Job alone = MakeOpenJob(MakeStep(1));
    Crash(alone, kTask, CrashEvidence::kAlone);
    CPPUNIT_ASSERT(alone.State() == JobState::kRunning);
    Crash(alone, kTask, CrashEvidence::kAlone);
    CPPUNIT_ASSERT(alone.State() == JobState::kFailed);
    Job shared = MakeOpenJob(MakeStep(1));
    Crash(shared, kTask, CrashEvidence::kShared);
    Crash(shared, kTask, CrashEvidence::kShared);
    CPPUNIT_ASSERT(shared.State() == JobState::kRunning);
    Crash(shared, kTask, CrashEvidence::kShared);
    CPPUNIT_ASSERT(shared.State() == JobState::kFailed);
    Job correlated = MakeOpenJob(MakeStep(1));
    for (std::size_t crash = 1; crash < job::kMaxCrashesWeak; ++crash) {
      Crash(correlated, kTask, CrashEvidence::kWeak);
    }
    CPPUNIT_ASSERT(correlated.State() == JobState::kRunning);
    Crash(correlated, kTask, CrashEvidence::kWeak);
    CPPUNIT_ASSERT(correlated.State() == JobState::kFailed);
  }

  // The same crash, learned of twice, gave up a task.
  void DuplicateCrashCountsOnce() {
    Job job = MakeOpenJob(MakeStep(1));
    const core::Attempt attempt = Crash(job, kTask, CrashEvidence::kAlone);
    CPPUNIT_ASSERT(!job.CountCrash(kTask, attempt, CrashEvidence::kAlone));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.CrashCount(kTask));
    CPPUNIT_ASSERT(job.State() == JobState::kRunning);
  }

  // A sound task stayed suspect after it had started without a crash.
  void SurvivedStartClearsTheTask() {
    Job job = MakeOpenJob(MakeStep(1));
    Crash(job, kTask, CrashEvidence::kShared);
    CPPUNIT_ASSERT(job.IsSuspect(kTask));
    CPPUNIT_ASSERT(job.MarkStartSurvived(kTask, StartRun(job, kTask)));
    CPPUNIT_ASSERT(!job.IsSuspect(kTask));
    CPPUNIT_ASSERT(job.HasSurvivedStart(kTask));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, job.CrashCount(kTask));
  }

  // A successor counted the crashes under a task from zero.
  void CrashesSurviveALeaderChange() {
    Job job = MakeOpenJob(MakeStep(1));
    const core::Attempt attempt = Crash(job, kTask, CrashEvidence::kAlone);
    const job::JobProgress progress = job.Progress();
    Job successor = MakeOpenJob(MakeStep(1), &progress);
    CPPUNIT_ASSERT(successor.IsSuspect(kTask));
    CPPUNIT_ASSERT(
        !successor.CountCrash(kTask, attempt, CrashEvidence::kAlone));
    Crash(successor, kTask, CrashEvidence::kAlone);
    CPPUNIT_ASSERT(successor.State() == JobState::kFailed);
  }

  // A sound member of a deadly gang cleared it.
  void OneMemberDoesNotClearItsGang() {
    job::Step gang = MakeStep(2);
    gang.is_gang = true;
    Job job = MakeOpenJob(gang);
    Crash(job, kSibling, CrashEvidence::kShared);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.CrashCount(kTask));
    const core::Attempt attempt = job.NextAttempt(kTask);
    for (const TaskKey& key : {kTask, kSibling}) {
      job::Run run;
      run.attempt = attempt;
      job.BeginRun(key, std::move(run));
    }
    CPPUNIT_ASSERT(!job.MarkStartSurvived(kTask, attempt));
    CPPUNIT_ASSERT(job.IsSuspect(kTask));
    CPPUNIT_ASSERT(job.MarkStartSurvived(kSibling, attempt));
    CPPUNIT_ASSERT(!job.IsSuspect(kTask));
  }

  // Each task of a job crashed a worker of its own.
  void SiblingsAreSuspectsUntilOneSurvives() {
    Job job = MakeOpenJob(MakeStep(3));
    Crash(job, kTask, CrashEvidence::kShared);
    CPPUNIT_ASSERT(job.IsSuspect(kSibling));
    job.MarkStartSurvived(kSibling, StartRun(job, kSibling));
    CPPUNIT_ASSERT(job.HasSurvivor(kTask));
    CPPUNIT_ASSERT(job.IsSuspect(kTask));
    CPPUNIT_ASSERT(!job.IsSuspect({0, 0, 2}));
  }

  // A worker's report may name a step that the job does not have.
  void UnknownTaskIsIgnored() {
    Job job = MakeOpenJob(MakeStep(1));
    const TaskKey unknown{0, 7, 0};
    CPPUNIT_ASSERT(
        !job.CountCrash(unknown, core::Attempt(1), CrashEvidence::kAlone));
    CPPUNIT_ASSERT(!job.MarkStartSurvived(unknown, core::Attempt(1)));
    CPPUNIT_ASSERT(!job.IsSuspect(unknown));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, job.CrashCount(unknown));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobCrashTest, "job");

}  // namespace
