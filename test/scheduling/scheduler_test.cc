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

class SchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerTest);
  CPPUNIT_TEST(RunsAJobToItsEnd);
  CPPUNIT_TEST(NothingStartsBeforeTheWorkerIsNoted);
  CPPUNIT_TEST(ACancelStopsRuns);
  CPPUNIT_TEST(NoMoreThanThereIsRoomFor);
  CPPUNIT_TEST(AGangStartsWholeOrNotAtAll);
  CPPUNIT_TEST(LimitsOfAWorkerAndLabelsHold);
  CPPUNIT_TEST(ADrainingWorkerGetsNothing);
  CPPUNIT_TEST(AFailingWorkerIsAvoided);
  CPPUNIT_TEST(FillersAreSlowedDown);
  CPPUNIT_TEST(LastingTasksMoveOneByOne);
  CPPUNIT_TEST(StartsCarryTheirTickets);
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SchedulerTest, "scheduling");

}  // namespace
