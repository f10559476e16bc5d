#include "crocusmast/scheduling/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::CallOutcome;
using job::RunEnd;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";
constexpr char kOther[] = "fedcba9876543210";

class SchedulerRecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerRecoveryTest);
  CPPUNIT_TEST(EndsAreAcknowledgedOnceStored);
  CPPUNIT_TEST(AnEndedJobIsNotRunAgain);
  CPPUNIT_TEST(ALostAnswerIsRepeatedAtTheSameWorker);
  CPPUNIT_TEST(ARejectedRepeatIsStoppedFirst);
  CPPUNIT_TEST(ADarkWorkersTasksWaitForItsLease);
  CPPUNIT_TEST(ANewLifeFreesTasksAtOnce);
  CPPUNIT_TEST(ASuccessorAdoptsWhatRuns);
  CPPUNIT_TEST(AWorkerThatAnswersLateStillHasItsEarlierLease);
  CPPUNIT_TEST(ASuccessorWaitsForAWorkerItCantReach);
  CPPUNIT_TEST(AHandOverCarriesWhatIsLeftOfLeases);
  CPPUNIT_TEST(AnUnconfirmedHolderConcludesNothingFromLapsedLeases);
  CPPUNIT_TEST(NewJobsDoNotWaitForUnreachedWorkers);
  CPPUNIT_TEST(AJobStartsOnceItsStartIsRecorded);
  CPPUNIT_TEST(AJobThatHadNotStartedDoesNotWaitForUnreachedWorkers);
  CPPUNIT_TEST(AnEmptiedWorkerIsNotWaitedFor);
  CPPUNIT_TEST(ASuccessorTakesUnrecordedEnds);
  CPPUNIT_TEST(ADeposedHolderStops);
  CPPUNIT_TEST_SUITE_END();

 public:
  static job::HolderNotes Notes() {
    return {{{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
              MakeId<core::PoolId>("pool"), std::chrono::seconds(10)}},
            {}};
  }

  /** @brief Stores a job of which the earlier holder has started something. */
  static void Inherit(Fixture& fixture, std::vector<job::Step> steps) {
    job::Job job = job::Job::Create(MakeJob(kJob, std::move(steps)), nullptr,
                                    core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.attempt = core::Attempt(1);
    job.BeginRun({0, 0, 0}, run);
    fixture.book.Apply(job::JobStored{job.Accepted()}, {});
    fixture.book.Apply(
        job::ProgressStored{job.Id(), job.Progress(), core::Revision(50)}, {});
  }

  void EndsAreAcknowledgedOnceStored() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    const execution::StartOrder start = fixture.orders.starts[0];
    fixture.AnswerStart(start, CallOutcome::kDone);
    fixture.AnswerPoll({}, {Fixture::EndedRun(start, 1, RunEnd::kDone)});
    fixture.scheduler.Round(fixture.clock.Now());
    fixture.AnswerCommit(job::StoreOutcome::kUnknown);
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.scheduler.Round(fixture.clock.Now());
    // The end is not stored, so the worker must go on listing it.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         fixture.orders.looks.back().recorded.Count());
    fixture.AnswerPoll({}, {Fixture::EndedRun(start, 1, RunEnd::kDone)});
    fixture.Round();
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         fixture.orders.looks.back().recorded.Count());
  }

  // A list of the store that was read before the end must not start it anew.
  void AnEndedJobIsNotRunAgain() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    const execution::StartOrder start = fixture.orders.starts[0];
    fixture.AnswerStart(start, CallOutcome::kDone);
    fixture.AnswerPoll({}, {Fixture::EndedRun(start, 1, RunEnd::kDone)});
    fixture.Round();
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.starts.size());
  }

  void ALostAnswerIsRepeatedAtTheSameWorker() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    fixture.AnswerStart(fixture.orders.starts[0], CallOutcome::kUnknown);
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.orders.starts.size());
    CPPUNIT_ASSERT(fixture.orders.starts[0].to.worker ==
                   fixture.orders.starts[1].to.worker);
    CPPUNIT_ASSERT(fixture.orders.starts[0].attempt ==
                   fixture.orders.starts[1].attempt);
  }

  void ARejectedRepeatIsStoppedFirst() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    const execution::StartOrder start = fixture.orders.starts[0];
    fixture.AnswerStart(start, CallOutcome::kUnknown);
    fixture.Round();
    fixture.AnswerStart(fixture.orders.starts[1], CallOutcome::kNoRoom);
    fixture.Round();
    // The first order may still be carried out: stop it before a new start.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.stops.size());
    fixture.scheduler.HandleStop(
        fixture.MakeReply(fixture.orders.stops[0], CallOutcome::kDone));
    fixture.AnswerPoll({}, {});
    fixture.Round();
    fixture.AnswerPoll({}, {});
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.orders.starts.size());
    CPPUNIT_ASSERT(start.attempt < fixture.orders.starts[2].attempt);
  }

  void ADarkWorkersTasksWaitForItsLease() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    const execution::StartOrder start = fixture.orders.starts[0];
    fixture.AnswerStart(start, CallOutcome::kDone);
    const core::TimePoint begun = fixture.clock.Now();
    fixture.scheduler.Handle(scheduling::WorkerUnlisted{start.to.worker});
    while (fixture.orders.starts.size() == 1) {
      const execution::LookOrder look = fixture.orders.looks.back();
      execution::LookReply reply;
      reply.worker = look.to.worker;
      reply.incarnation = look.to.incarnation;
      reply.sequence = look.sequence;
      fixture.scheduler.Handle(reply);
      fixture.clock.Advance(std::chrono::milliseconds(200));
      fixture.Round();
      CPPUNIT_ASSERT(fixture.clock.Now() < begun + std::chrono::seconds(8));
    }
    CPPUNIT_ASSERT(begun + scheduling::kWorkerLeaseLength <=
                   fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.orders.starts[1].to.worker != start.to.worker);
  }

  void ANewLifeFreesTasksAtOnce() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    fixture.AnswerStart(fixture.orders.starts[0], CallOutcome::kDone);
    fixture.scheduler.Handle(scheduling::WorkerSeen{MakeWorker("w-1", 2)});
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         fixture.orders.starts[1].to.incarnation.Count());
  }

  void ASuccessorAdoptsWhatRuns() {
    Fixture fixture;
    Inherit(fixture, {MakeStep(2)});
    fixture.Begin(20, Notes());
    fixture.SetWorkers({MakeWorker("w-1")});
    CPPUNIT_ASSERT(fixture.orders.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.looks.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                         fixture.orders.looks[0].to.token.Count());
    fixture.AnswerPoll({{{MakeId<core::JobId>(kJob), {0, 0, 1}},
                         core::Attempt(3),
                         "",
                         20,
                         {}}},
                       {});
    fixture.Round();
    // One task was found running; only the other is started.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, fixture.orders.starts[0].task.key.index);
    CPPUNIT_ASSERT(core::Attempt(20) < fixture.orders.starts[0].attempt);
  }

  // It was cut off with the earlier holder, which extended its lease meanwhile.
  void AWorkerThatAnswersLateStillHasItsEarlierLease() {
    Fixture fixture;
    Inherit(fixture, {MakeStep(1)});
    fixture.Begin(20, Notes());
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    const auto silent = [&fixture] {
      execution::LookReply reply;
      reply.worker = MakeId<core::InstanceId>("w-1");
      reply.incarnation = core::Incarnation(1);
      reply.sequence = fixture.orders.looks.back().sequence;
      fixture.scheduler.Handle(reply);
    };
    silent();
    // Longer than the lease that this holder asked for.
    fixture.clock.Advance(scheduling::kWorkerLeaseLength +
                          std::chrono::milliseconds(300));
    fixture.Round();
    fixture.AnswerPoll({{{MakeId<core::JobId>(kJob), {0, 0, 0}},
                         core::Attempt(1),
                         "",
                         20,
                         {}}},
                       {});
    fixture.Round();
    CPPUNIT_ASSERT(fixture.orders.starts.empty());
  }

  void ASuccessorWaitsForAWorkerItCantReach() {
    Fixture fixture;
    Inherit(fixture, {MakeStep(1)});
    fixture.Begin(20, Notes());
    const core::TimePoint begun = fixture.clock.Now();
    fixture.SetWorkers({MakeWorker("w-2")});
    while (fixture.orders.starts.empty()) {
      fixture.clock.Advance(std::chrono::milliseconds(100));
      fixture.Round();
      CPPUNIT_ASSERT(fixture.clock.Now() < begun + std::chrono::seconds(13));
    }
    CPPUNIT_ASSERT(begun + std::chrono::seconds(10) <= fixture.clock.Now());
  }

  // Instances are stopped in turn: the wait goes on, it does not begin anew.
  void AHandOverCarriesWhatIsLeftOfLeases() {
    Fixture fixture;
    fixture.Begin(20, Notes());
    fixture.SetWorkers({MakeWorker("w-2")});
    fixture.clock.Advance(std::chrono::seconds(7));
    const job::HolderNotes last = fixture.scheduler.LastNotes();
    std::chrono::milliseconds left{};
    for (const job::GrantedWorker& worker : last.workers) {
      left = std::max(left, worker.lease_left);
    }
    CPPUNIT_ASSERT(left <= std::chrono::milliseconds(3000));
    CPPUNIT_ASSERT(left > std::chrono::milliseconds(2000));
  }

  // Cut off with the workers of its zone, an old holder must not take leases
  // as lapsed that its successor has extended.
  void AnUnconfirmedHolderConcludesNothingFromLapsedLeases() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    fixture.AnswerStart(fixture.orders.starts[0], CallOutcome::kDone);
    const core::TimePoint confirmed = fixture.clock.Now();
    for (int count = 0; count < 100; ++count) {
      fixture.clock.Advance(std::chrono::milliseconds(100));
      fixture.scheduler.Round(confirmed);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.starts.size());
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.orders.starts.size());
  }

  void NewJobsDoNotWaitForUnreachedWorkers() {
    Fixture fixture;
    fixture.Begin(20, Notes());
    fixture.SetWorkers({MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kOther, {MakeStep(1)}));
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.starts.size());
  }

  void AJobStartsOnceItsStartIsRecorded() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(2)}));
    fixture.scheduler.Round(fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.orders.starts.empty());
    fixture.AnswerCommit(job::StoreOutcome::kUnknown);
    CPPUNIT_ASSERT(fixture.orders.starts.empty());
    fixture.clock.Advance(scheduling::kCommitRetryDelay);
    fixture.scheduler.Round(fixture.clock.Now());
    fixture.AnswerCommit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.orders.starts.size());
    // What comes later in the job waits for no commit.
    fixture.AnswerStart(fixture.orders.starts[0], CallOutcome::kNoRoom);
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.scheduler.Round(fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.orders.starts.size());
  }

  // A rush: most of what waits has not started when the holder dies together
  // with some workers.
  void AJobThatHadNotStartedDoesNotWaitForUnreachedWorkers() {
    Fixture fixture;
    fixture.book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    fixture.Begin(20, Notes());
    fixture.SetWorkers({MakeWorker("w-2")});
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.starts.size());
  }

  // It went to another pool, so it is no longer listed.
  void AnEmptiedWorkerIsNotWaitedFor() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.SetAside(MakeId<core::InstanceId>("w-1"));
    fixture.Round();
    const auto& commits = fixture.store.commits;
    const auto noted = std::find_if(
        commits.rbegin(), commits.rend(),
        [](const job::Commit& commit) { return commit.notes.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, noted->notes->workers.size());
    CPPUNIT_ASSERT(noted->notes->workers[0].worker ==
                   MakeId<core::InstanceId>("w-2"));
  }

  void ASuccessorTakesUnrecordedEnds() {
    Fixture fixture;
    Inherit(fixture, {MakeStep(1)});
    fixture.Begin(20, Notes());
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.AnswerPoll({}, {{core::EndNumber(7),
                             {MakeId<core::JobId>(kJob), {0, 0, 0}},
                             core::Attempt(1),
                             RunEnd::kDone,
                             ""}});
    fixture.Round();
    CPPUNIT_ASSERT(fixture.orders.starts.empty());
    CPPUNIT_ASSERT(
        fixture.store.commits.back().progress.back().progress.state ==
        job::JobState::kSucceeded);
  }

  void ADeposedHolderStops() {
    Fixture fixture;
    fixture.Begin();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.Round();
    fixture.AnswerStart(fixture.orders.starts[0], CallOutcome::kFenced);
    CPPUNIT_ASSERT(fixture.scheduler.WasFenced());
    fixture.scheduler.End();
    fixture.scheduler.AddJob(MakeJob(kOther, {MakeStep(1)}));
    fixture.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.orders.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SchedulerRecoveryTest, "scheduling");

}  // namespace
