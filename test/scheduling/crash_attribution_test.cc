#include "crocusmast/scheduling/crash_attribution.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using execution::AssignedRun;
using execution::RunKey;
using execution::Worker;
using execution::WorkerTime;
using job::CrashEvidence;
using scheduling::Blame;
using scheduling::CrashAttribution;
using scheduling::kStartProbation;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

const core::TimePoint kNow{std::chrono::seconds(100)};
constexpr WorkerTime kWorkerNow{std::chrono::seconds(10)};

/** @brief Jobs of one step with two tasks, and workers without a network. */
class Evidence {
 public:
  Evidence()
      : attribution([this](const core::JobId& id) -> const job::Job* {
          const auto found = jobs.find(id);
          return found == jobs.end() ? nullptr : &found->second;
        }) {}

  job::TaskId AddJob(const std::string& digit, bool is_gang = false) {
    job::Step step = MakeStep(2);
    step.is_gang = is_gang;
    job::Job job = job::Job::Create(MakeJob("000000000000000" + digit, {step}),
                                    nullptr, core::Attempt());
    job.OpenDueOccurrences({});
    const core::JobId id = job.Id();
    jobs.emplace(id, std::move(job));
    return {id, {0, 0, 0}};
  }

  /** @brief Starts a task; the worker confirms it at a time of its clock. */
  RunKey Start(Worker& worker,
               const job::TaskId& task,
               std::optional<WorkerTime> active_since = kWorkerNow) {
    job::Job& job = jobs.at(task.job);
    job::Run run;
    run.worker = worker.Record().id;
    run.attempt = job.NextAttempt(task.key);
    const RunKey key{task, run.attempt};
    job.BeginRun(task.key, std::move(run));
    AssignedRun assigned;
    assigned.command_sent_at = kNow;
    assigned.active_since = active_since;
    worker.Add(key, assigned);
    attribution.BeginRun(worker.Record().id, key);
    return key;
  }

  /** @brief Makes a task a suspect, as after an earlier crash. */
  void Suspect(const job::TaskId& task) {
    job::Job& job = jobs.at(task.job);
    job.CountCrash(task.key, job.NextAttempt(task.key), CrashEvidence::kShared);
  }

  std::map<core::JobId, job::Job> jobs;
  CrashAttribution attribution;
};

Worker MakeKnownWorker(const std::string& id,
                       const std::string& rack = "rack-1") {
  execution::WorkerRecord record = MakeWorker(id);
  record.labels = {"kind", rack};
  return Worker(std::move(record), kNow);
}

class CrashAttributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashAttributionTest);
  CPPUNIT_TEST(SurvivedRunsAreNotBlamed);
  CPPUNIT_TEST(UnsentAndStoppingRunsAreNotBlamed);
  CPPUNIT_TEST(UnconfirmedStartIsNoCertainCrash);
  CPPUNIT_TEST(UnprovenTaskBesideASuspectIsBlamedToo);
  CPPUNIT_TEST(LoneStartIsCertain);
  CPPUNIT_TEST(MembersOfOneGangAreOneCause);
  CPPUNIT_TEST(PlannedEndBlamesNobody);
  CPPUNIT_TEST(DarkRackIsNotCertain);
  CPPUNIT_TEST(CutOffWorkerBlamesNobody);
  CPPUNIT_TEST(LaterIncarnationConfirmsTheCrash);
  CPPUNIT_TEST(SurvivorElsewhereDropsAnUncertainCrash);
  CPPUNIT_TEST(SuspectReservesItsWorker);
  CPPUNIT_TEST(SuspectsOfOneStepStartOneByOne);
  CPPUNIT_TEST(SuspectPrefersAWorkerWithoutStartingRuns);
  CPPUNIT_TEST(UncertainCrashesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Sound runs of a crashed worker were blamed.
  void SurvivedRunsAreNotBlamed() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    evidence.Start(worker, evidence.AddJob("1"));
    worker.UpdateClock(kWorkerNow + kStartProbation, kNow);
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(worker, kNow).runs.empty());
    evidence.Start(worker, evidence.AddJob("2"), WorkerTime(worker.AliveAt()));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        evidence.attribution.FindBlame(worker, kNow).runs.size());
  }

  // A task was blamed although its worker had not been told to start it.
  void UnsentAndStoppingRunsAreNotBlamed() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const RunKey unsent = evidence.Start(worker, evidence.AddJob("1"));
    worker.Find(unsent)->command_sent_at = {};
    const RunKey stopping = evidence.Start(worker, evidence.AddJob("2"));
    worker.Find(stopping)->is_stopping = true;
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(worker, kNow).runs.empty());
  }

  // A task was given up that was sent to workers which had crashed before.
  void UnconfirmedStartIsNoCertainCrash() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    evidence.Start(worker, evidence.AddJob("1"), std::nullopt);
    Blame blame = evidence.attribution.FindBlame(worker, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, blame.runs.size());
    CPPUNIT_ASSERT(blame.evidence == CrashEvidence::kUnconfirmed);
    const RunKey confirmed = evidence.Start(worker, evidence.AddJob("2"));
    blame = evidence.attribution.FindBlame(worker, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, blame.runs.size());
    CPPUNIT_ASSERT(blame.runs[0].task == confirmed.task);
    CPPUNIT_ASSERT(blame.evidence == CrashEvidence::kAlone);
  }

  // Issue 21: a deadly task that started beside a suspect each time was never
  // blamed, and crashed six workers.
  void UnprovenTaskBesideASuspectIsBlamedToo() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const job::TaskId suspect = evidence.AddJob("1");
    evidence.Suspect(suspect);
    evidence.Start(worker, suspect);
    evidence.Start(worker, evidence.AddJob("2"));
    const Blame blame = evidence.attribution.FindBlame(worker, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, blame.runs.size());
    CPPUNIT_ASSERT(blame.runs[0].task == suspect);
    CPPUNIT_ASSERT(blame.evidence == CrashEvidence::kWeak);
  }

  // A deadly task crashed a third worker although the second was certain.
  void LoneStartIsCertain() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const job::TaskId proven = evidence.AddJob("1");
    const RunKey first = evidence.Start(worker, proven);
    evidence.jobs.at(proven.job).MarkStartSurvived(proven.key, first.attempt);
    const job::TaskId suspect = evidence.AddJob("2");
    evidence.Suspect(suspect);
    evidence.Start(worker, suspect);
    const Blame blame = evidence.attribution.FindBlame(worker, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, blame.runs.size());
    CPPUNIT_ASSERT(blame.evidence == CrashEvidence::kAlone);
  }

  // Two members of a gang on one worker were taken for two causes.
  void MembersOfOneGangAreOneCause() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const job::TaskId gang = evidence.AddJob("1", true);
    evidence.Start(worker, gang);
    evidence.Start(worker, {gang.job, {0, 0, 1}});
    const Blame blame = evidence.attribution.FindBlame(worker, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, blame.runs.size());
    CPPUNIT_ASSERT(blame.evidence == CrashEvidence::kAlone);
  }

  // A drain or an upkeep counted against the tasks on the worker.
  void PlannedEndBlamesNobody() {
    Evidence evidence;
    Worker cordoned = MakeKnownWorker("w-1");
    evidence.Start(cordoned, evidence.AddJob("1"));
    cordoned.is_cordoned = true;
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(cordoned, kNow).runs.empty());
    execution::WorkerRecord record = MakeWorker("w-2");
    record.is_draining = true;
    Worker draining(record, kNow);
    evidence.Start(draining, evidence.AddJob("2"));
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(draining, kNow).runs.empty());
  }

  // A rack that went dark was taken for certain evidence against a task.
  void DarkRackIsNotCertain() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    evidence.Start(worker, evidence.AddJob("1"));
    evidence.attribution.HandleSilence(worker, kNow);
    evidence.attribution.HandleSilence(MakeKnownWorker("w-2"), kNow);
    evidence.attribution.HandleSilence(MakeKnownWorker("w-3", "rack-2"), kNow);
    const auto now = kNow + std::chrono::seconds(3);
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(worker, now).evidence ==
                   CrashEvidence::kAlone);
    evidence.attribution.HandleSilence(MakeKnownWorker("w-4"), kNow);
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(worker, now).evidence ==
                   CrashEvidence::kWeak);
    // It was only cut off for a moment.
    evidence.attribution.HandleReply(MakeKnownWorker("w-4"));
    CPPUNIT_ASSERT(evidence.attribution.FindBlame(worker, now).evidence ==
                   CrashEvidence::kAlone);
  }

  // A worker whose lease expired behind a cut counted as crashed.
  void CutOffWorkerBlamesNobody() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const job::TaskId task = evidence.AddJob("1");
    evidence.Start(worker, task);
    evidence.attribution.HandleLeaseExpiry(worker, kNow);
    CPPUNIT_ASSERT(evidence.attribution.IsSuspect(task));
    CPPUNIT_ASSERT(evidence.attribution.IsUncertain(worker.Record().id));
    evidence.attribution.HandleReply(worker);
    CPPUNIT_ASSERT(!evidence.attribution.IsSuspect(task));
    CPPUNIT_ASSERT(
        !evidence.attribution.Settle(worker.Record().id, core::Incarnation(2)));
  }

  // A crash was forgotten once the lease of the worker had expired.
  void LaterIncarnationConfirmsTheCrash() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const RunKey run = evidence.Start(worker, evidence.AddJob("1"));
    evidence.attribution.HandleLeaseExpiry(worker, kNow);
    const auto blame =
        evidence.attribution.Settle(worker.Record().id, core::Incarnation(2));
    CPPUNIT_ASSERT(blame.has_value());
    CPPUNIT_ASSERT(blame->runs[0].task == run.task);
    CPPUNIT_ASSERT(blame->runs[0].attempt == run.attempt);
    CPPUNIT_ASSERT(
        !evidence.attribution.Settle(worker.Record().id, core::Incarnation(2)));
    evidence.attribution.HandleLeaseExpiry(worker, kNow);
    CPPUNIT_ASSERT(
        !evidence.attribution.Settle(worker.Record().id, core::Incarnation(1)));
  }

  // A task that ran soundly elsewhere was blamed for an earlier silence.
  void SurvivorElsewhereDropsAnUncertainCrash() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const job::TaskId task = evidence.AddJob("1");
    evidence.Start(worker, task);
    evidence.attribution.HandleLeaseExpiry(worker, kNow);
    evidence.attribution.ClearTask(task);
    CPPUNIT_ASSERT(!evidence.attribution.IsSuspect(task));
    CPPUNIT_ASSERT(
        !evidence.attribution.Settle(worker.Record().id, core::Incarnation(2)));
  }

  // Tasks were placed on the worker on which a suspect was starting.
  void SuspectReservesItsWorker() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    evidence.Start(worker, evidence.AddJob("1"));
    CPPUNIT_ASSERT(!evidence.attribution.IsReserved(worker.Record().id));
    const job::TaskId suspect = evidence.AddJob("2");
    evidence.Suspect(suspect);
    const RunKey run = evidence.Start(worker, suspect);
    CPPUNIT_ASSERT(evidence.attribution.IsReserved(worker.Record().id));
    CPPUNIT_ASSERT(evidence.attribution.EndProbation(worker.Record().id, run));
    CPPUNIT_ASSERT(!evidence.attribution.IsReserved(worker.Record().id));
  }

  // Each task of a job crashed a worker of its own.
  void SuspectsOfOneStepStartOneByOne() {
    Evidence evidence;
    Worker worker = MakeKnownWorker("w-1");
    const job::TaskId suspect = evidence.AddJob("1");
    const job::TaskId sibling{suspect.job, {0, 0, 1}};
    evidence.Suspect(suspect);
    CPPUNIT_ASSERT(!evidence.attribution.MustWait(sibling));
    const RunKey run = evidence.Start(worker, suspect);
    CPPUNIT_ASSERT(evidence.attribution.IsSuspect(sibling));
    CPPUNIT_ASSERT(evidence.attribution.MustWait(sibling));
    evidence.jobs.at(suspect.job).MarkStartSurvived(suspect.key, run.attempt);
    CPPUNIT_ASSERT(!evidence.attribution.MustWait(sibling));
  }

  // A suspect was started beside other starting tasks, so that its crash was
  // not certain.
  void SuspectPrefersAWorkerWithoutStartingRuns() {
    Evidence evidence;
    Worker empty = MakeKnownWorker("w-1");
    Worker settled = MakeKnownWorker("w-2");
    evidence.Start(settled, evidence.AddJob("1"));
    evidence.Start(settled, evidence.AddJob("2"));
    settled.UpdateClock(kWorkerNow + kStartProbation, kNow);
    Worker starting = MakeKnownWorker("w-3");
    evidence.Start(starting, evidence.AddJob("3"));
    CPPUNIT_ASSERT(CrashAttribution::IsBetterForSuspect(empty, settled));
    CPPUNIT_ASSERT(CrashAttribution::IsBetterForSuspect(settled, starting));
    CPPUNIT_ASSERT(!CrashAttribution::IsBetterForSuspect(starting, empty));
  }

  // Memory of cut-off workers must not grow without limit.
  void UncertainCrashesAreBounded() {
    Evidence evidence;
    const job::TaskId task = evidence.AddJob("1");
    std::size_t remembered = 0;
    constexpr std::size_t kWorkers = scheduling::kMaxRememberedWorkers + 50;
    for (std::size_t index = 0; index < kWorkers; ++index) {
      Worker worker = MakeKnownWorker("w-" + std::to_string(index));
      evidence.Start(worker, task);
      evidence.attribution.HandleLeaseExpiry(
          worker, kNow + std::chrono::milliseconds(index));
    }
    for (std::size_t index = 0; index < kWorkers; ++index) {
      const auto id = MakeId<core::InstanceId>("w-" + std::to_string(index));
      remembered += evidence.attribution.IsUncertain(id) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(scheduling::kMaxRememberedWorkers, remembered);
    CPPUNIT_ASSERT(
        !evidence.attribution.IsUncertain(MakeId<core::InstanceId>("w-0")));
    const auto last = MakeId<core::InstanceId>("w-500");
    CPPUNIT_ASSERT(evidence.attribution.IsUncertain(last));
    evidence.attribution.Forget(kNow + std::chrono::minutes(1));
    CPPUNIT_ASSERT(!evidence.attribution.IsUncertain(last));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CrashAttributionTest, "scheduling");

}  // namespace
