#include <cppunit/extensions/HelperMacros.h>

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

/** @brief Starts that a worker has no room for when they are due. */
class GivenUpStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GivenUpStartTest);
  CPPUNIT_TEST(RejectedGangMemberStopsOtherMembers);
  CPPUNIT_TEST(StoppedRepeatOfGangMemberStopsOtherMembers);
  CPPUNIT_TEST(RejectedGangStartsAgainAsAWhole);
  CPPUNIT_TEST(StartThatWaitsForCommitIsNotSentToDrainingWorker);
  CPPUNIT_TEST(StartThatWaitsForCommitIsNotSentToShrunkWorker);
  CPPUNIT_TEST(StartThatWaitsForStoreStateIsNotSentToShrunkWorker);
  CPPUNIT_TEST(DeferredStartsThatFitAreSent);
  CPPUNIT_TEST(DeferredStartOfHigherPriorityIsKept);
  CPPUNIT_TEST(DeferredGangIsGivenUpAsAWhole);
  CPPUNIT_TEST(DeferredStartIsNotSentBesideRunOfUnknownJob);
  CPPUNIT_TEST(UnansweredStartIsStoppedOnShrunkWorker);
  CPPUNIT_TEST(UnansweredStartIsStoppedWhenItsRepeatWasDeferred);
  CPPUNIT_TEST(UnansweredStartIsRepeatedOnWorkerWithRoom);
  CPPUNIT_TEST(RunIsKeptWhenTheRepeatOfItsStartIsNotSent);
  CPPUNIT_TEST(RepeatThatIsNotSentIsDelayed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 27, AVAIL: workers that could not be reached after a cut of their
  // zone ran what they had been told to start. The repeat of the start could
  // not be sent, which says nothing of the first one, and the runs were
  // stopped.
  void RunIsKeptWhenTheRepeatOfItsStartIsNotSent() {
    Fixture fixture;
    const execution::StartCommand start =
        BeginWithUnansweredLongRunningStart(fixture);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    fixture.ReplyToStart(start, WorkerCallOutcome::kNotSent);
    fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    fixture.clock.Advance(scheduling::kCommandRetryDelay);
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  void RepeatThatIsNotSentIsDelayed() {
    Fixture fixture;
    const execution::StartCommand start =
        BeginWithUnansweredLongRunningStart(fixture);
    fixture.RunCycles();
    fixture.ReplyToStart(start, WorkerCallOutcome::kNotSent);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    fixture.clock.Advance(scheduling::kCommandRetryDelay);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[2].attempt == start.attempt);
    CPPUNIT_ASSERT(fixture.worker_port.stops.empty());
  }

  // The other members of a gang must not wait for one whose start a worker
  // rejected, until they end as incomplete.
  void RejectedGangMemberStopsOtherMembers() {
    Fixture fixture;
    BeginWithGang(fixture);
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    fixture.ReplyToStart(starts.at(0), WorkerCallOutcome::kDone);
    fixture.ReplyToStart(starts.at(1),
                         WorkerCallOutcome::kInsufficientResources);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    const execution::StopCommand& stop = fixture.worker_port.stops[0];
    CPPUNIT_ASSERT(stop.to.worker == starts[0].to.worker);
    CPPUNIT_ASSERT(stop.task == starts[0].task);
  }

  // The same when the start of a member without a reply is not repeated.
  void StoppedRepeatOfGangMemberStopsOtherMembers() {
    Fixture fixture;
    BeginWithGang(fixture);
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    fixture.ReplyToStart(starts.at(0), WorkerCallOutcome::kDone);
    fixture.ReplyToStart(starts.at(1), WorkerCallOutcome::kUnknown);
    execution::WorkerRecord draining =
        MakeWorker(starts[1].to.worker.Text(), 1, 3000);
    draining.is_draining = true;
    fixture.scheduler.Handle(scheduling::WorkerUpdated{draining});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.stops.size());
  }

  void RejectedGangStartsAgainAsAWhole() {
    Fixture fixture;
    BeginWithGang(fixture);
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    fixture.ReplyToStart(starts.at(1),
                         WorkerCallOutcome::kInsufficientResources);
    // The stop arrived before the start.
    fixture.ReplyToStart(starts.at(0), WorkerCallOutcome::kStaleAttempt);
    fixture.clock.Advance(scheduling::kWorkerBackoff);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[2].attempt ==
                   fixture.worker_port.starts[3].attempt);
    CPPUNIT_ASSERT(starts[0].attempt < fixture.worker_port.starts[2].attempt);
  }

  // DRAIN: the worker had begun to drain while the commit waited behind
  // replies.
  void StartThatWaitsForCommitIsNotSentToDrainingWorker() {
    Fixture fixture;
    Begin(fixture);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    PlaceWithoutCommit(fixture);
    execution::WorkerRecord draining = MakeWorker("w-1");
    draining.is_draining = true;
    fixture.scheduler.Handle(scheduling::WorkerUpdated{draining});
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(MakeId<core::InstanceId>("w-2") ==
                   fixture.worker_port.starts[0].to.worker);
  }

  // A worker that has shrunk below what is reserved must not get the start; the
  // task is placed on another worker.
  void StartThatWaitsForCommitIsNotSentToShrunkWorker() {
    Fixture fixture;
    BeginWithDeferredStarts(fixture, {MakeStep(1, 2000)});
    SetCapacity(fixture, 1000);
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    fixture.RunCycles();
    AssertOnlyStartIsOn("w-2", fixture);
  }

  // The same for a start that waits for a recent state of the store.
  void StartThatWaitsForStoreStateIsNotSentToShrunkWorker() {
    Fixture fixture;
    BeginWithDeferredStarts(fixture, {MakeStep(1, 2000)});
    RunCycleOnOldState(fixture);
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    SetCapacity(fixture, 1000);
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    fixture.RunCycles();
    AssertOnlyStartIsOn("w-2", fixture);
  }

  // Of several deferred starts, those that still fit are sent.
  void DeferredStartsThatFitAreSent() {
    Fixture fixture;
    BeginWithDeferredStarts(fixture, {MakeStep(1, 500), MakeStep(1, 3000)});
    SetCapacity(fixture, 1000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, fixture.worker_port.starts[0].task.key.step);
    SetCapacity(fixture, 4000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  // Of two deferred starts, of which one fits, the more urgent one is sent,
  // whatever the ids of their jobs.
  void DeferredStartOfHigherPriorityIsKept() {
    Fixture fixture;
    Begin(fixture);
    job::AcceptedJob urgent = MakeJob(kOtherJob, {MakeStep(1, 2000)});
    job::AcceptedJob other = MakeJob(kJob, {MakeStep(1, 2000)});
    fixture.scheduler.AddJob(urgent);
    fixture.clock.Advance(std::chrono::milliseconds(10));
    fixture.scheduler.AddJob(other);
    PlaceWithoutCommit(fixture);
    SetCapacity(fixture, 2000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].task.job == urgent.id);
  }

  // No member of a gang is started when the worker of another has shrunk.
  void DeferredGangIsGivenUpAsAWhole() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers(
        {MakeWorker("w-1", 1, 3000), MakeWorker("w-2", 1, 3000)});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeGang()}));
    PlaceWithoutCommit(fixture);
    SetCapacity(fixture, 1000);
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    SetCapacity(fixture, 3000);
    fixture.RunCycles();
    const auto& starts = fixture.worker_port.starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    CPPUNIT_ASSERT(starts[0].attempt == starts[1].attempt);
    CPPUNIT_ASSERT(starts[0].to.worker != starts[1].to.worker);
  }

  // A poll that shows a run of an unknown job takes the room of deferred
  // starts.
  void DeferredStartIsNotSentBesideRunOfUnknownJob() {
    Fixture fixture;
    BeginWithDeferredStarts(fixture, {MakeStep(1)});
    execution::RunReport unknown;
    unknown.task.job = MakeId<core::JobId>(kOtherJob);
    unknown.attempt = core::Attempt(3);
    fixture.ReplyToPoll({unknown}, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  // A start without a reply must not be sent again to a worker that has no room
  // for it any more.
  void UnansweredStartIsStoppedOnShrunkWorker() {
    Fixture fixture;
    BeginWithUnansweredStart(fixture);
    SetCapacity(fixture, 1000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    fixture.ReplyToPoll({}, {Fixture::EndedRun(fixture.worker_port.starts[0], 1,
                                               RunOutcome::kStopped)});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w-2"),
                         fixture.worker_port.starts[1].to.worker.Text());
  }

  // A start that was sent once may be executed, so it must not be given up
  // without a stop.
  void UnansweredStartIsStoppedWhenItsRepeatWasDeferred() {
    Fixture fixture;
    BeginWithUnansweredStart(fixture);
    RunCycleOnOldState(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    SetCapacity(fixture, 1000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
  }

  void UnansweredStartIsRepeatedOnWorkerWithRoom() {
    Fixture fixture;
    BeginWithUnansweredLongRunningStart(fixture);
    SetCapacity(fixture, 2000);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.stops.empty());
  }

 private:
  /** @brief Begins with one long-running task whose start got no reply. */
  static execution::StartCommand BeginWithUnansweredLongRunningStart(
      Fixture& fixture) {
    Begin(fixture);
    job::Step step = MakeStep(1, 500);
    step.is_long_running = true;
    step.max_unavailable = 0;
    fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts.at(0);
    fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    return start;
  }

  static void Begin(Fixture& fixture) {
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
  }

  /** @brief Makes a gang of two whose members fit on a worker of 3000 each. */
  static job::Step MakeGang() {
    job::Step gang = MakeStep(2, 2000);
    gang.is_gang = true;
    return gang;
  }

  /** @brief Starts a gang; its members are on two workers. */
  static void BeginWithGang(Fixture& fixture) {
    fixture.BeginTerm();
    fixture.SetWorkers(
        {MakeWorker("w-1", 1, 3000), MakeWorker("w-2", 1, 3000)});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeGang()}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  /** @brief Places tasks, whose starts then wait for the commit. */
  static void PlaceWithoutCommit(Fixture& fixture) {
    fixture.ReceiveStoreState();
    fixture.scheduler.RunCycle(fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  static void BeginWithDeferredStarts(Fixture& fixture,
                                      std::vector<job::Step> steps) {
    Begin(fixture);
    fixture.scheduler.AddJob(MakeJob(kJob, std::move(steps)));
    PlaceWithoutCommit(fixture);
  }

  /** @brief Starts a task of 2000; the start gets no reply. */
  static void BeginWithUnansweredStart(Fixture& fixture) {
    Begin(fixture);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1, 2000)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kUnknown);
  }

  /** @brief Lets the store's state grow old, then runs a cycle. */
  static void RunCycleOnOldState(Fixture& fixture) {
    fixture.clock.Advance(scheduling::kMaxStartViewAge);
    while (fixture.replied_commits < fixture.store.commits.size()) {
      fixture.ReplyToCommit(job::StoreOutcome::kDone);
    }
    fixture.scheduler.RunCycle(fixture.clock.Now());
  }

  static void SetCapacity(Fixture& fixture, std::uint64_t processor) {
    fixture.scheduler.Handle(
        scheduling::WorkerUpdated{MakeWorker("w-1", 1, processor)});
  }

  static void AssertOnlyStartIsOn(const std::string& worker,
                                  const Fixture& fixture) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(worker,
                         fixture.worker_port.starts[0].to.worker.Text());
    CPPUNIT_ASSERT(fixture.worker_port.stops.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(GivenUpStartTest, "scheduling");

}  // namespace
