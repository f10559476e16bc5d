#include "crocusmast/scheduling/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "test/support/fake_clock.h"
#include "test/support/job_fakes.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using execution::CallOutcome;
using job::RunEnd;
using scheduling::Scheduler;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";
constexpr char kOther[] = "fedcba9876543210";

/** @brief A scheduler among fakes, and short words for what they do. */
class Bench {
 public:
  Bench() {
    clock.Advance(std::chrono::seconds(1000));
    scheduler.SetDirectory(test::MakeDirectory());
  }

  void Begin(std::uint64_t token = 10, const job::HolderNotes& notes = {}) {
    scheduler.Begin({core::FencingToken(token), std::chrono::seconds(5)}, book,
                    notes);
  }

  void List(std::vector<execution::WorkerRecord> workers) {
    scheduler.Handle(scheduling::WorkersListed{std::move(workers)});
    Round();
  }

  /** @brief Rounds until nothing more is to be stored. */
  void Round() {
    scheduler.Round(clock.Now());
    while (answered < store.commits.size()) {
      Commit(job::StoreOutcome::kDone);
      scheduler.Round(clock.Now());
    }
  }

  void Commit(job::StoreOutcome outcome) {
    const job::Commit& commit = store.commits[answered++];
    job::CommitReply reply;
    reply.sequence = commit.sequence;
    reply.outcome = outcome;
    reply.revision = core::Revision(++revision);
    scheduler.Handle(reply);
    clock.Advance(std::chrono::milliseconds(20));
  }

  void Reply(const execution::StartOrder& order, CallOutcome outcome) {
    scheduler.HandleStart(Answer(order, outcome));
  }

  template <typename Order>
  execution::CallReply Answer(const Order& order, CallOutcome outcome) const {
    return {order.to.worker, order.to.incarnation, order.task, order.attempt,
            outcome,         std::nullopt};
  }

  execution::LookReply Look(std::vector<execution::RunReport> running,
                            std::vector<execution::EndReport> ended) {
    const execution::LookOrder& order = orders.looks.back();
    execution::LookReply reply;
    reply.worker = order.to.worker;
    reply.incarnation = order.to.incarnation;
    reply.sequence = order.sequence;
    reply.outcome = CallOutcome::kDone;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    scheduler.Handle(reply);
    return reply;
  }

  static execution::EndReport End(const execution::StartOrder& order,
                                  std::uint64_t number,
                                  RunEnd end) {
    return {core::EndNumber(number), order.task, order.attempt, end, ""};
  }

  static execution::RunReport Run(const execution::StartOrder& order,
                                  std::uint32_t percent = 50) {
    return {order.task, order.attempt, "", percent, {}};
  }

  test::FakeClock clock;
  test::OrderBook orders;
  test::StoreBook store;
  test::SilentLogger logger;
  test::CountingMeter meter;
  trompeloeil::sequence sequence;
  test::MockFeed feed;
  std::unique_ptr<trompeloeil::expectation> follows =
      NAMED_ALLOW_CALL(feed, Follow());
  std::unique_ptr<trompeloeil::expectation> leaves =
      NAMED_ALLOW_CALL(feed, Leave());
  job::JobBook book;
  test::TicketDesk desk;
  Scheduler scheduler{{orders, store, feed, desk, clock, logger, meter}};
  std::size_t answered = 0;
  std::uint64_t revision = 100;
};

class SchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerTest);
  CPPUNIT_TEST(RunsAJobToItsEnd);
  CPPUNIT_TEST(NothingStartsBeforeTheWorkerIsNoted);
  CPPUNIT_TEST(EndsAreAcknowledgedOnceStored);
  CPPUNIT_TEST(AnEndedJobIsNotRunAgain);
  CPPUNIT_TEST(ALostAnswerIsRepeatedAtTheSameWorker);
  CPPUNIT_TEST(ARejectedRepeatIsStoppedFirst);
  CPPUNIT_TEST(ADarkWorkersTasksWaitForItsLease);
  CPPUNIT_TEST(ANewLifeFreesTasksAtOnce);
  CPPUNIT_TEST(ASuccessorAdoptsWhatRuns);
  CPPUNIT_TEST(ASuccessorWaitsForAWorkerItCantReach);
  CPPUNIT_TEST(AHandOverCarriesWhatIsLeftOfLeases);
  CPPUNIT_TEST(AnUnconfirmedHolderConcludesNothingFromLapsedLeases);
  CPPUNIT_TEST(NewJobsDoNotWaitForUnreachedWorkers);
  CPPUNIT_TEST(ASuccessorTakesUnrecordedEnds);
  CPPUNIT_TEST(ACancelStopsRuns);
  CPPUNIT_TEST(NoMoreThanThereIsRoomFor);
  CPPUNIT_TEST(AGangStartsWholeOrNotAtAll);
  CPPUNIT_TEST(LimitsOfAWorkerAndLabelsHold);
  CPPUNIT_TEST(ADrainingWorkerGetsNothing);
  CPPUNIT_TEST(AFailingWorkerIsAvoided);
  CPPUNIT_TEST(FillersAreSlowedDown);
  CPPUNIT_TEST(LastingTasksMoveOneByOne);
  CPPUNIT_TEST(StartsCarryTheirTickets);
  CPPUNIT_TEST(ADeposedHolderStops);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAJobToItsEnd() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(
        MakeJob(kJob, {MakeStep(1), MakeStep(1, 1000, {0})}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
    const execution::StartOrder first = bench.orders.starts[0];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.attempt.Count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, first.to.token.Count());
    bench.Reply(first, CallOutcome::kDone);
    bench.Look({}, {Bench::End(first, 1, RunEnd::kDone)});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    const execution::StartOrder second = bench.orders.starts[1];
    CPPUNIT_ASSERT_EQUAL(1U, second.task.key.step);
    bench.Reply(second, CallOutcome::kDone);
    bench.Look({}, {Bench::End(second, 2, RunEnd::kDone)});
    bench.Round();
    const job::Commit& last = bench.store.commits.back();
    CPPUNIT_ASSERT(last.progress.back().progress.state ==
                   job::JobState::kSucceeded);
  }

  void NothingStartsBeforeTheWorkerIsNoted() {
    Bench bench;
    bench.Begin();
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.scheduler.Handle(scheduling::WorkersListed{{MakeWorker("w-1")}});
    bench.scheduler.Round(bench.clock.Now());
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         bench.store.commits[0].notes->workers.size());
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
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

  static job::HolderNotes Notes() {
    return {{{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
              MakeId<core::PoolId>("pool"), std::chrono::seconds(10)}},
            {}};
  }

  void ASuccessorAdoptsWhatRuns() {
    Bench bench;
    bench.book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(2)})}, {});
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

  void ASuccessorWaitsForAWorkerItCantReach() {
    Bench bench;
    bench.book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
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

  void ASuccessorTakesUnrecordedEnds() {
    Bench bench;
    bench.book.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
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

  void ACancelStopsRuns() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(5)}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.orders.starts.size());
    bench.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.orders.stops.size());
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.orders.starts.size());
  }

  void NoMoreThanThereIsRoomFor() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(10, 1500)}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.orders.starts.size());
    const execution::StartOrder start = bench.orders.starts[0];
    bench.Reply(start, CallOutcome::kNoRoom);
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.orders.starts.size());
  }

  void AGangStartsWholeOrNotAtAll() {
    Bench bench;
    job::Step gang = MakeStep(3, 2000);
    gang.gang = true;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {gang}));
    bench.Round();
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    bench.scheduler.Handle(scheduling::WorkerSeen{MakeWorker("w-2")});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.orders.starts.size());
    CPPUNIT_ASSERT(bench.orders.starts[0].attempt ==
                   bench.orders.starts[2].attempt);
  }

  void LimitsOfAWorkerAndLabelsHold() {
    Bench bench;
    job::Step spread = MakeStep(3);
    spread.max_per_worker = 1;
    job::Step labelled = MakeStep(1);
    labelled.required_label = "rack-9";
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {spread, labelled}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    CPPUNIT_ASSERT(bench.orders.starts[0].to.worker !=
                   bench.orders.starts[1].to.worker);
  }

  void ADrainingWorkerGetsNothing() {
    Bench bench;
    execution::WorkerRecord leaving = MakeWorker("w-1");
    leaving.is_draining = true;
    bench.Begin();
    bench.List({leaving});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    CPPUNIT_ASSERT(bench.orders.starts.empty());
  }

  // A worker that fails all that it starts looks idle and draws work.
  void AFailingWorkerIsAvoided() {
    Bench bench;
    bench.Begin();
    bench.List({MakeWorker("w-1", 1, 8000), MakeWorker("w-2", 1, 4000)});
    std::size_t on_failing = 0;
    for (int count = 0; count < 12; ++count) {
      const std::string id =
          std::string(kJob).substr(0, 14) + std::to_string(10 + count);
      bench.scheduler.AddJob(MakeJob(id, {MakeStep(1)}));
      bench.Round();
      const execution::StartOrder start = bench.orders.starts.back();
      bench.Reply(start, CallOutcome::kDone);
      const bool fails = start.to.worker.Text() == "w-1";
      on_failing += fails ? 1 : 0;
      for (const execution::LookOrder& look :
           std::vector<execution::LookOrder>(bench.orders.looks)) {
        execution::LookReply reply;
        reply.worker = look.to.worker;
        reply.incarnation = look.to.incarnation;
        reply.sequence = look.sequence;
        reply.outcome = CallOutcome::kDone;
        if (look.to.worker == start.to.worker) {
          reply.ended = {Bench::End(start,
                                    static_cast<std::uint64_t>(count) + 1,
                                    fails ? RunEnd::kFailed : RunEnd::kDone)};
        }
        bench.scheduler.Handle(reply);
      }
      bench.Round();
      if (bench.orders.starts.back().task == start.task) {
        bench.scheduler.CancelJob(start.task.job);
      }
    }
    CPPUNIT_ASSERT(on_failing < 6);
  }

  void FillersAreSlowedDown() {
    Bench bench;
    job::Step serving = MakeStep(1);
    serving.long_running = true;
    serving.latency_target = std::chrono::milliseconds(100);
    job::Step filler = MakeStep(1, 3500);
    filler.is_filler = true;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {serving, filler}));
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.orders.starts.size());
    for (const execution::StartOrder& start :
         std::vector<execution::StartOrder>(bench.orders.starts)) {
      bench.Reply(start, CallOutcome::kDone);
    }
    execution::RunReport hurt = Bench::Run(bench.orders.starts[0], 100);
    hurt.tail = std::chrono::milliseconds(95);
    bench.Look({hurt, Bench::Run(bench.orders.starts[1])}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.paces.size());
    CPPUNIT_ASSERT(bench.orders.paces[0].task == bench.orders.starts[1].task);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50},
                         bench.orders.paces[0].share.Count());
  }

  void LastingTasksMoveOneByOne() {
    Bench bench;
    job::Step lasting = MakeStep(2);
    lasting.long_running = true;
    lasting.max_unavailable = 1;
    bench.Begin();
    bench.List({MakeWorker("w-1")});
    bench.scheduler.AddJob(MakeJob(kJob, {lasting}));
    bench.Round();
    const std::vector<execution::StartOrder> starts = bench.orders.starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    const core::InstanceId worker = starts[0].to.worker;
    bench.Reply(starts[0], CallOutcome::kDone);
    bench.Reply(starts[1], CallOutcome::kDone);
    bench.Look({Bench::Run(starts[0], 100), Bench::Run(starts[1], 40)}, {});
    bench.scheduler.SetAside(worker);
    // The second is not at work, so only that one may be taken away.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.stops.size());
    CPPUNIT_ASSERT_EQUAL(1U, bench.orders.stops[0].task.key.index);
    bench.scheduler.SetAside(worker);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.stops.size());
    CPPUNIT_ASSERT(!bench.scheduler.IsEmpty(worker));
  }

  void StartsCarryTheirTickets() {
    Bench bench;
    bench.scheduler.SetDirectory(test::MakeDirectory(2, true));
    bench.Begin();
    bench.List({MakeWorker("w-1"), MakeWorker("w-2")});
    bench.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    bench.Round();
    CPPUNIT_ASSERT(bench.orders.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.desk.asked.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.desk.asked[0].second.size());
    const scheduling::StepId step = bench.desk.asked[0].first;
    // A failed request is repeated after a pause.
    bench.scheduler.Handle(scheduling::TicketsAnswered{step, false, {}, {}});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.desk.asked.size());
    bench.clock.Advance(std::chrono::seconds(1));
    bench.scheduler.Handle(scheduling::WorkerSeen{MakeWorker("w-2")});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.desk.asked.size());
    bench.scheduler.Handle(scheduling::TicketsAnswered{
        step,
        true,
        {{MakeId<core::InstanceId>("w-2"), "permit"}},
        std::chrono::seconds(3)});
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("permit"), bench.orders.starts[0].ticket);
    CPPUNIT_ASSERT_EQUAL(std::string("w-2"),
                         bench.orders.starts[0].to.worker.Text());
    // A rejected ticket is asked for anew, and no other worker is tried.
    bench.Reply(bench.orders.starts[0], CallOutcome::kBadTicket);
    bench.Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.orders.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.desk.asked.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.desk.asked[2].second.size());
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

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SchedulerTest, "scheduling");

}  // namespace
