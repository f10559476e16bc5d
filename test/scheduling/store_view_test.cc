#include <cppunit/extensions/HelperMacros.h>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";
/** @brief Time from an acknowledged cancellation to the last start of a task of
 * the job that users accept. */
constexpr std::chrono::milliseconds kCancelLimit{3000};
/** @brief Time after which a start command expires. */
constexpr std::chrono::milliseconds kStartTimeout{500};

class StoreViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreViewTest);
  CPPUNIT_TEST(NoTaskStartsOnOldStoreState);
  CPPUNIT_TEST(StartIsDeferredUntilStoreStateIsRecent);
  CPPUNIT_TEST(DeferredStartOfCancelledJobIsNeverSent);
  CPPUNIT_TEST(UnansweredStartIsNotRepeatedOnOldStoreState);
  CPPUNIT_TEST(PollsContinueOnOldStoreState);
  CPPUNIT_TEST(ConfirmedRunIsNotStoppedForItsDeferredRepeat);
  CPPUNIT_TEST(ConfirmedRunIsNotStartedAgainForItsDeferredRepeat);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A leader whose watch of the store is late must not start tasks of jobs that
  // have been cancelled meanwhile.
  void NoTaskStartsOnOldStoreState() {
    Fixture fixture;
    Begin(fixture);
    fixture.clock.Advance(kCancelLimit - kStartTimeout);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    RunCyclesOnOldState(fixture);
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  // A start that waits for its commit must not be sent once the state on which
  // it was decided is old.
  void StartIsDeferredUntilStoreStateIsRecent() {
    Fixture fixture;
    BeginWithPlacedTask(fixture);
    RunCyclesOnOldState(fixture);
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  void DeferredStartOfCancelledJobIsNeverSent() {
    Fixture fixture;
    BeginWithPlacedTask(fixture);
    RunCyclesOnOldState(fixture);
    fixture.ReceiveStoreState();
    fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    // The stop prevents a start of this attempt on the worker.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
  }

  void UnansweredStartIsNotRepeatedOnOldStoreState() {
    Fixture fixture;
    Begin(fixture);
    job::Step step = MakeStep(1);
    step.is_long_running = true;
    fixture.scheduler.AddJob(MakeJob(kJob, {step}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts.at(0);
    fixture.clock.Advance(kCancelLimit - kStartTimeout);
    fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    RunCyclesOnOldState(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
  }

  // Running tasks keep their leases while the store is away.
  void PollsContinueOnOldStoreState() {
    Fixture fixture;
    Begin(fixture);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts.at(0);
    fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    fixture.clock.Advance(kCancelLimit);
    fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    const std::size_t polls = fixture.worker_port.polls.size();
    RunCyclesOnOldState(fixture);
    CPPUNIT_ASSERT_EQUAL(polls + 1, fixture.worker_port.polls.size());
    CPPUNIT_ASSERT(fixture.worker_port.polls.back().lease_until.has_value());
  }

  // A repeat of an unanswered start that was deferred must be forgotten once a
  // poll shows the run; else the run is stopped when its worker drains.
  void ConfirmedRunIsNotStoppedForItsDeferredRepeat() {
    Fixture fixture;
    BeginWithConfirmedRunOfDeferredRepeat(fixture);
    execution::WorkerRecord draining = MakeWorker("w-1");
    draining.is_draining = true;
    fixture.scheduler.Handle(scheduling::WorkerUpdated{draining});
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.stops.empty());
  }

  void ConfirmedRunIsNotStartedAgainForItsDeferredRepeat() {
    Fixture fixture;
    BeginWithConfirmedRunOfDeferredRepeat(fixture);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

 private:
  /** @brief A start without a reply, whose repeat was deferred, and a poll that
   * shows that the run is there. */
  static void BeginWithConfirmedRunOfDeferredRepeat(Fixture& fixture) {
    Begin(fixture);
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    const execution::StartCommand start = fixture.worker_port.starts.at(0);
    fixture.clock.Advance(kCancelLimit - kStartTimeout);
    fixture.ReplyToStart(start, WorkerCallOutcome::kUnknown);
    RunCyclesOnOldState(fixture);
    fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
  }

  static void Begin(Fixture& fixture) {
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
  }

  /** @brief Places a task; the reply to the commit of its job's start comes
   * when the store's state is old. */
  static void BeginWithPlacedTask(Fixture& fixture) {
    Begin(fixture);
    fixture.ReceiveStoreState();
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.scheduler.RunCycle(fixture.clock.Now());
    fixture.clock.Advance(kCancelLimit - kStartTimeout);
  }

  static void RunCyclesOnOldState(Fixture& fixture) {
    for (int cycle = 0; cycle < 3; ++cycle) {
      fixture.clock.Advance(scheduling::kSweepInterval);
      fixture.scheduler.RunCycle(fixture.clock.Now());
      while (fixture.replied_commits < fixture.store.commits.size()) {
        fixture.ReplyToCommit(job::StoreOutcome::kDone);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreViewTest, "scheduling");

}  // namespace
