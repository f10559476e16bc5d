#include "crocusmast/scheduling/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using job::RunOutcome;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";
constexpr char kOtherJob[] = "fedcba9876543210";

class SchedulerRecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerRecoveryTest);
  CPPUNIT_TEST(RunEndsAreAcknowledgedAfterTheyAreStored);
  CPPUNIT_TEST(EndedJobIsNotRunAgain);
  CPPUNIT_TEST(UnansweredStartIsRetriedOnTheSameWorker);
  CPPUNIT_TEST(RejectedRetryIsStoppedBeforeNewAttempt);
  CPPUNIT_TEST(TasksOfUnresponsiveWorkerWaitForLeaseExpiry);
  CPPUNIT_TEST(NewIncarnationRestartsTasksAtOnce);
  CPPUNIT_TEST(SuccessorAdoptsActiveRuns);
  CPPUNIT_TEST(LateReplyKeepsLeaseOfEarlierLeader);
  CPPUNIT_TEST(SuccessorWaitsForLeaseOfUnreachableWorker);
  CPPUNIT_TEST(HandoverCarriesRemainingLeases);
  CPPUNIT_TEST(UnconfirmedLeaderIgnoresExpiredLeases);
  CPPUNIT_TEST(NewJobsDoNotWaitForUnreachableWorkers);
  CPPUNIT_TEST(StartCommandsWaitUntilJobStartIsStored);
  CPPUNIT_TEST(UnstartedJobDoesNotWaitForUnreachableWorkers);
  CPPUNIT_TEST(IdleDrainedWorkerIsNotHandedOver);
  CPPUNIT_TEST(SuccessorProcessesUnrecordedRunEnds);
  CPPUNIT_TEST(FencedLeaderStartsNoTasksAfterItsTerm);
  CPPUNIT_TEST_SUITE_END();

 public:
  static job::HandoverState PreviousHandover() {
    return {{{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
              MakeId<core::PoolId>("pool"), std::chrono::seconds(10)}},
            {}};
  }

  /** @brief Stores a job of which the previous leader has started a task. */
  static void StoreStartedJob(Fixture& fixture, std::vector<job::Step> steps) {
    job::Job job = job::Job::Create(MakeJob(kJob, std::move(steps)), nullptr,
                                    core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.attempt = core::Attempt(1);
    job.BeginRun({0, 0, 0}, run);
    fixture.catalog.Apply(job::JobStored{job.Accepted()}, {});
    fixture.catalog.Apply(
        job::ProgressStored{job.Id(), job.Progress(), core::Revision(50)}, {});
  }

  void RunEndsAreAcknowledgedAfterTheyAreStored() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts[0];
    fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    fixture.ReplyToPoll({}, {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    fixture.scheduler.RunCycle(fixture.clock.Now());
    fixture.ReplyToCommit(job::StoreOutcome::kUnknown);
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.scheduler.RunCycle(fixture.clock.Now());
    // The end is not stored, so that the worker must continue to report it.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         fixture.worker_port.polls.back().recorded.Count());
    fixture.ReplyToPoll({}, {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    fixture.RunCycles();
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         fixture.worker_port.polls.back().recorded.Count());
  }

  // A stale listing of the store, read before the end, must not start the job
  // again.
  void EndedJobIsNotRunAgain() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts[0];
    fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    fixture.ReplyToPoll({}, {Fixture::EndedRun(start, 1, RunOutcome::kDone)});
    fixture.RunCycles();
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  void UnansweredStartIsRetriedOnTheSameWorker() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    fixture.RunCycles();
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kUnknown);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].to.worker ==
                   fixture.worker_port.starts[1].to.worker);
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].attempt ==
                   fixture.worker_port.starts[1].attempt);
  }

  void RejectedRetryIsStoppedBeforeNewAttempt() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts[0];
    fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    fixture.RunCycles();
    fixture.ReplyToStart(fixture.worker_port.starts[1],
                         WorkerCallOutcome::kInsufficientResources);
    fixture.RunCycles();
    // The first start command may still be executed, so that the attempt is
    // stopped before a new one starts.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    fixture.scheduler.HandleStopReply(fixture.MakeReply(
        fixture.worker_port.stops[0], WorkerCallOutcome::kDone));
    fixture.ReplyToPoll({}, {});
    fixture.RunCycles();
    fixture.ReplyToPoll({}, {});
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(start.attempt < fixture.worker_port.starts[2].attempt);
  }

  void TasksOfUnresponsiveWorkerWaitForLeaseExpiry() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts[0];
    fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    const core::TimePoint started_at = fixture.clock.Now();
    fixture.scheduler.Handle(scheduling::WorkerRemoved{start.to.worker});
    while (fixture.worker_port.starts.size() == 1) {
      const execution::PollCommand poll = fixture.worker_port.polls.back();
      execution::PollReply reply;
      reply.worker = poll.to.worker;
      reply.incarnation = poll.to.incarnation;
      reply.sequence = poll.sequence;
      fixture.scheduler.Handle(reply);
      fixture.clock.Advance(std::chrono::milliseconds(200));
      fixture.RunCycles();
      CPPUNIT_ASSERT(fixture.clock.Now() <
                     started_at + std::chrono::seconds(8));
    }
    CPPUNIT_ASSERT(started_at + scheduling::kWorkerLeaseLength <=
                   fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.worker_port.starts[1].to.worker != start.to.worker);
  }

  void NewIncarnationRestartsTasksAtOnce() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kDone);
    fixture.ReplyToPoll({Fixture::ActiveRun(fixture.worker_port.starts[0])},
                        {});
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1", 2)});
    fixture.RunCycles();
    fixture.ReplyToPoll({}, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         fixture.worker_port.starts[1].to.incarnation.Count());
  }

  void SuccessorAdoptsActiveRuns() {
    Fixture fixture;
    StoreStartedJob(fixture, {MakeStep(2)});
    fixture.BeginTerm(20, PreviousHandover());
    fixture.SetWorkers({MakeWorker("w-1")});
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.polls.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                         fixture.worker_port.polls[0].to.token.Count());
    fixture.ReplyToPoll({{{MakeId<core::JobId>(kJob), {0, 0, 1}},
                          core::Attempt(3),
                          "",
                          20,
                          {}}},
                        {});
    fixture.RunCycles();
    // One task was found running; only the other one is started.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, fixture.worker_port.starts[0].task.key.index);
    CPPUNIT_ASSERT(core::Attempt(20) < fixture.worker_port.starts[0].attempt);
  }

  // The worker was partitioned together with the previous leader, which
  // extended its lease in the meantime.
  void LateReplyKeepsLeaseOfEarlierLeader() {
    Fixture fixture;
    StoreStartedJob(fixture, {MakeStep(1)});
    fixture.BeginTerm(20, PreviousHandover());
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    const auto fail_poll = [&fixture] {
      execution::PollReply reply;
      reply.worker = MakeId<core::InstanceId>("w-1");
      reply.incarnation = core::Incarnation(1);
      reply.sequence = fixture.worker_port.polls.back().sequence;
      fixture.scheduler.Handle(reply);
    };
    fail_poll();
    // Longer than the lease that this leader requested.
    fixture.clock.Advance(scheduling::kWorkerLeaseLength +
                          std::chrono::milliseconds(300));
    fixture.RunCycles();
    fixture.ReplyToPoll({{{MakeId<core::JobId>(kJob), {0, 0, 0}},
                          core::Attempt(1),
                          "",
                          20,
                          {}}},
                        {});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  void SuccessorWaitsForLeaseOfUnreachableWorker() {
    Fixture fixture;
    StoreStartedJob(fixture, {MakeStep(1)});
    fixture.BeginTerm(20, PreviousHandover());
    const core::TimePoint started_at = fixture.clock.Now();
    fixture.SetWorkers({MakeWorker("w-2")});
    while (fixture.worker_port.starts.empty()) {
      fixture.clock.Advance(std::chrono::milliseconds(100));
      fixture.RunCycles();
      CPPUNIT_ASSERT(fixture.clock.Now() <
                     started_at + std::chrono::seconds(13));
    }
    CPPUNIT_ASSERT(started_at + std::chrono::seconds(10) <=
                   fixture.clock.Now());
  }

  // In a rolling restart the wait for a lease continues with each leader; it
  // does not begin again.
  void HandoverCarriesRemainingLeases() {
    Fixture fixture;
    fixture.BeginTerm(20, PreviousHandover());
    fixture.SetWorkers({MakeWorker("w-2")});
    fixture.clock.Advance(std::chrono::seconds(7));
    const job::HandoverState last = fixture.scheduler.FinalHandoverState();
    std::chrono::milliseconds longest_lease{};
    for (const job::LeasedWorker& worker : last.workers) {
      longest_lease = std::max(longest_lease, worker.lease_remaining);
    }
    CPPUNIT_ASSERT(longest_lease <= std::chrono::milliseconds(3000));
    CPPUNIT_ASSERT(longest_lease > std::chrono::milliseconds(2000));
  }

  // A deposed leader that is partitioned with the workers of its zone must not
  // treat leases as expired that its successor has extended.
  void UnconfirmedLeaderIgnoresExpiredLeases() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kDone);
    const core::TimePoint confirmed_at = fixture.clock.Now();
    for (int count = 0; count < 100; ++count) {
      fixture.clock.Advance(std::chrono::milliseconds(100));
      fixture.scheduler.RunCycle(confirmed_at);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  void NewJobsDoNotWaitForUnreachableWorkers() {
    Fixture fixture;
    fixture.BeginTerm(20, PreviousHandover());
    fixture.SetWorkers({MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  void StartCommandsWaitUntilJobStartIsStored() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(2)}));
    fixture.scheduler.RunCycle(fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.ReplyToCommit(job::StoreOutcome::kUnknown);
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.clock.Advance(scheduling::kCommitRetryDelay);
    fixture.scheduler.RunCycle(fixture.clock.Now());
    fixture.ReplyToCommit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    // A successor must know each start that may be on its way.
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kInsufficientResources);
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.scheduler.RunCycle(fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    fixture.ReplyToCommit(job::StoreOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
  }

  // Under high load most pending jobs have not started when the leader fails
  // together with some workers.
  void UnstartedJobDoesNotWaitForUnreachableWorkers() {
    Fixture fixture;
    fixture.catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    fixture.BeginTerm(20, PreviousHandover());
    fixture.SetWorkers({MakeWorker("w-2")});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  // A drained worker may leave the list to move to another pool; a new leader
  // must not wait for its lease.
  void IdleDrainedWorkerIsNotHandedOver() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.DrainWorker(MakeId<core::InstanceId>("w-1"));
    fixture.RunCycles();
    const auto& commits = fixture.store.commits;
    const auto with_handover = std::find_if(
        commits.rbegin(), commits.rend(),
        [](const job::Commit& commit) { return commit.handover.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         with_handover->handover->workers.size());
    CPPUNIT_ASSERT(with_handover->handover->workers[0].worker ==
                   MakeId<core::InstanceId>("w-2"));
  }

  void SuccessorProcessesUnrecordedRunEnds() {
    Fixture fixture;
    StoreStartedJob(fixture, {MakeStep(1)});
    fixture.BeginTerm(20, PreviousHandover());
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.ReplyToPoll({}, {{core::RunEndNumber(7),
                              {MakeId<core::JobId>(kJob), {0, 0, 0}},
                              core::Attempt(1),
                              RunOutcome::kDone,
                              ""}});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT(
        fixture.store.commits.back().progress.back().progress.state ==
        job::JobState::kSucceeded);
  }

  void FencedLeaderStartsNoTasksAfterItsTerm() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kFenced);
    CPPUNIT_ASSERT(fixture.scheduler.WasFenced());
    fixture.scheduler.EndTerm();
    fixture.scheduler.AddJob(MakeJob(kOtherJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SchedulerRecoveryTest, "scheduling");

}  // namespace
