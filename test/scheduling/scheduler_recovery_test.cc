#include "crocusmast/scheduling/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "test/scheduling/scheduler_bench.h"

namespace {

using namespace crocusmast;
using execution::CallOutcome;
using job::RunEnd;
using Bench = test::SchedulerBench;
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
  static void Inherit(Bench& bench, std::vector<job::Step> steps) {
    job::Job job = job::Job::Create(MakeJob(kJob, std::move(steps)), nullptr,
                                    core::Attempt(0));
    job.OpenDue({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.attempt = core::Attempt(1);
    job.BeginRun({0, 0, 0}, run);
    bench.book.Apply(job::JobStored{job.Accepted()}, {});
    bench.book.Apply(
        job::ProgressStored{job.Id(), job.Progress(), core::Revision(50)}, {});
  }

  void EndsAreAcknowledgedOnceStored() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    const execution::StartOrder start = bench.orders.starts[0];
    bench.Reply(start, CallOutcome::kDone);
    bench.Look({}, {Bench::End(start, 1, RunEnd::kDone)});
    bench.scheduler.Round(bench.clock.Now());
    bench.Commit(job::StoreOutcome::kUnknown);
    bench.clock.Advance(std::chrono::seconds(1));
    bench.scheduler.Round(bench.clock.Now());
    // The end is not stored, so the worker must go on listing it.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         bench.orders.looks.back().recorded.Count());
    bench.Look({}, {Bench::End(start, 1, RunEnd::kDone)});
    bench.Round();
    bench.clock.Advance(std::chrono::seconds(1));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         bench.orders.looks.back().recorded.Count());
  }

  // A list of the store that was read before the end must not start it anew.
  void AnEndedJobIsNotRunAgain() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    const execution::StartOrder start = bench.orders.starts[0];
    bench.Reply(start, CallOutcome::kDone);
    bench.Look({}, {Bench::End(start, 1, RunEnd::kDone)});
    bench.Round();
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
  }

  void ALostAnswerIsRepeatedAtTheSameWorker() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    bench.Reply(bench.orders.starts[0], CallOutcome::kUnknown);
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    CPPUNIT_ASSERT(bench.orders.starts[0].to.worker ==
                   bench.orders.starts[1].to.worker);
    CPPUNIT_ASSERT(bench.orders.starts[0].attempt ==
                   bench.orders.starts[1].attempt);
  }

  void ARejectedRepeatIsStoppedFirst() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    const execution::StartOrder start = bench.orders.starts[0];
    bench.Reply(start, CallOutcome::kUnknown);
    bench.Round();
    bench.Reply(bench.orders.starts[1], CallOutcome::kNoRoom);
    bench.Round();
    // The first order may still be carried out: stop it before a new start.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.stops.size());
    bench.scheduler.HandleStop(
        bench.Answer(bench.orders.stops[0], CallOutcome::kDone));
    bench.Look({}, {});
    bench.Round();
    bench.Look({}, {});
    bench.clock.Advance(std::chrono::seconds(1));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.orders.starts.size());
    CPPUNIT_ASSERT(start.attempt < bench.orders.starts[2].attempt);
  }

  void ADarkWorkersTasksWaitForItsLease() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    const execution::StartOrder start = bench.orders.starts[0];
    bench.Reply(start, CallOutcome::kDone);
    const core::TimePoint begun = bench.clock.Now();
    bench.scheduler.Handle(scheduling::WorkerUnlisted{start.to.worker});
    while (bench.orders.starts.size() == 1) {
      const execution::LookOrder look = bench.orders.looks.back();
      execution::LookReply reply;
      reply.worker = look.to.worker;
      reply.incarnation = look.to.incarnation;
      reply.sequence = look.sequence;
      bench.scheduler.Handle(reply);
      bench.clock.Advance(std::chrono::milliseconds(200));
      bench.Round();
      CPPUNIT_ASSERT(bench.clock.Now() < begun + std::chrono::seconds(8));
    }
    CPPUNIT_ASSERT(begun + scheduling::kHold <= bench.clock.Now());
    CPPUNIT_ASSERT(bench.orders.starts[1].to.worker != start.to.worker);
  }

  void ANewLifeFreesTasksAtOnce() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    bench.Reply(bench.orders.starts[0], CallOutcome::kDone);
    bench.scheduler.Handle(scheduling::WorkerSeen{MakeWorker("w-1", 2)});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         bench.orders.starts[1].to.incarnation.Count());
  }

  void ASuccessorAdoptsWhatRuns() {
    Bench bench;
    Inherit(bench, {MakeStep(2)});
    bench.Begin(20, Notes());
    bench.List({MakeWorker("w-1")});
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.looks.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                         bench.orders.looks[0].to.token.Count());
    bench.Look({{{MakeId<core::JobId>(kJob), {0, 0, 1}},
                 core::Attempt(3),
                 "",
                 20,
                 {}}},
               {});
    bench.Round();
    // One task was found running; only the other is started.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, bench.orders.starts[0].task.key.index);
    CPPUNIT_ASSERT(core::Attempt(20) < bench.orders.starts[0].attempt);
  }

  // It was cut off with the earlier holder, which extended its lease meanwhile.
  void AWorkerThatAnswersLateStillHasItsEarlierLease() {
    Bench bench;
    Inherit(bench, {MakeStep(1)});
    bench.Begin(20, Notes());
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    const auto silent = [&bench] {
      execution::LookReply reply;
      reply.worker = MakeId<core::InstanceId>("w-1");
      reply.incarnation = core::Incarnation(1);
      reply.sequence = bench.orders.looks.back().sequence;
      bench.scheduler.Handle(reply);
    };
    silent();
    // Longer than the lease that this holder asked for.
    bench.clock.Advance(scheduling::kHold + std::chrono::milliseconds(300));
    bench.Round();
    bench.Look({{{MakeId<core::JobId>(kJob), {0, 0, 0}},
                 core::Attempt(1),
                 "",
                 20,
                 {}}},
               {});
    bench.Round();
    CPPUNIT_ASSERT(bench.orders.starts.empty());
  }

  void ASuccessorWaitsForAWorkerItCantReach() {
    Bench bench;
    Inherit(bench, {MakeStep(1)});
    bench.Begin(20, Notes());
    const core::TimePoint begun = bench.clock.Now();
    bench.List({MakeWorker("w-2")});
    while (bench.orders.starts.empty()) {
      bench.clock.Advance(std::chrono::milliseconds(100));
      bench.Round();
      CPPUNIT_ASSERT(bench.clock.Now() < begun + std::chrono::seconds(13));
    }
    CPPUNIT_ASSERT(begun + std::chrono::seconds(10) <= bench.clock.Now());
  }

  // Instances are stopped in turn: the wait goes on, it does not begin anew.
  void AHandOverCarriesWhatIsLeftOfLeases() {
    Bench bench;
    bench.Begin(20, Notes());
    bench.List({MakeWorker("w-2")});
    bench.clock.Advance(std::chrono::seconds(7));
    const job::HolderNotes last = bench.scheduler.LastNotes();
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
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    bench.Reply(bench.orders.starts[0], CallOutcome::kDone);
    const core::TimePoint confirmed = bench.clock.Now();
    for (int count = 0; count < 100; ++count) {
      bench.clock.Advance(std::chrono::milliseconds(100));
      bench.scheduler.Round(confirmed);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
  }

  void NewJobsDoNotWaitForUnreachedWorkers() {
    Bench bench;
    bench.Begin(20, Notes());
    bench.List({MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kOther, {MakeStep(1)}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
  }

  void AJobStartsOnceItsStartIsRecorded() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(2)}));
    bench.scheduler.Round(bench.clock.Now());
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    bench.Commit(job::StoreOutcome::kUnknown);
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    bench.clock.Advance(scheduling::kCommitRetry);
    bench.scheduler.Round(bench.clock.Now());
    bench.Commit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    // What comes later in the job waits for no commit.
    bench.Reply(bench.orders.starts[0], CallOutcome::kNoRoom);
    bench.clock.Advance(std::chrono::seconds(1));
    bench.scheduler.Round(bench.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.orders.starts.size());
  }

  // A rush: most of what waits has not started when the holder dies together
  // with some workers.
  void AJobThatHadNotStartedDoesNotWaitForUnreachedWorkers() {
    Bench bench;
    bench.book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    bench.Begin(20, Notes());
    bench.List({MakeWorker("w-2")});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
  }

  // It went to another pool, so it is no longer listed.
  void AnEmptiedWorkerIsNotWaitedFor() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.SetAside(MakeId<core::InstanceId>("w-1"));
    bench.Round();
    const auto& commits = bench.store.commits;
    const auto noted = std::find_if(
        commits.rbegin(), commits.rend(),
        [](const job::Commit& commit) { return commit.notes.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, noted->notes->workers.size());
    CPPUNIT_ASSERT(noted->notes->workers[0].worker ==
                   MakeId<core::InstanceId>("w-2"));
  }

  void ASuccessorTakesUnrecordedEnds() {
    Bench bench;
    Inherit(bench, {MakeStep(1)});
    bench.Begin(20, Notes());
    bench.List({MakeWorker("w-1")});
    bench.Look({}, {{core::EndNumber(7),
                     {MakeId<core::JobId>(kJob), {0, 0, 0}},
                     core::Attempt(1),
                     RunEnd::kDone,
                     ""}});
    bench.Round();
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    CPPUNIT_ASSERT(bench.store.commits.back().progress.back().progress.state ==
                   job::JobState::kSucceeded);
  }

  void ADeposedHolderStops() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    bench.Reply(bench.orders.starts[0], CallOutcome::kFenced);
    CPPUNIT_ASSERT(bench.scheduler.WasFenced());
    bench.scheduler.End();
    bench.scheduler.AddJob(MakeJob(kOther, {MakeStep(1)}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SchedulerRecoveryTest, "scheduling");

}  // namespace
