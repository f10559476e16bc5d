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

class SchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerTest);
  CPPUNIT_TEST(RunsAJobToCompletion);
  CPPUNIT_TEST(NoStartCommandBeforeHandoverIsStored);
  CPPUNIT_TEST(CancellationStopsRuns);
  CPPUNIT_TEST(PlacementRespectsWorkerResources);
  CPPUNIT_TEST(GangStartsOnlyAsAWhole);
  CPPUNIT_TEST(PlacementRespectsWorkerLimitsAndLabels);
  CPPUNIT_TEST(DrainingWorkerGetsNoTasks);
  CPPUNIT_TEST(FailingWorkerGetsFewerTasks);
  CPPUNIT_TEST(BestEffortRunsAreThrottled);
  CPPUNIT_TEST(CpuShareWithoutAReplyIsSentAgain);
  CPPUNIT_TEST(DrainMovesLongRunningTasksOneAtATime);
  CPPUNIT_TEST(StartCommandsCarryTickets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAJobToCompletion() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(
        MakeJob(kJob, {MakeStep(1), MakeStep(1, 1000, {0})}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    const execution::StartCommand first = fixture.worker_port.starts[0];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.attempt.Count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, first.to.token.Count());
    fixture.ReplyToStart(first, WorkerCallOutcome::kDone);
    fixture.ReplyToPoll({}, {Fixture::EndedRun(first, 1, RunOutcome::kDone)});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    const execution::StartCommand second = fixture.worker_port.starts[1];
    CPPUNIT_ASSERT_EQUAL(1U, second.task.key.step);
    fixture.ReplyToStart(second, WorkerCallOutcome::kDone);
    fixture.ReplyToPoll({}, {Fixture::EndedRun(second, 2, RunOutcome::kDone)});
    fixture.RunCycles();
    const job::Commit& last = fixture.store.commits.back();
    CPPUNIT_ASSERT(last.progress.back().progress.state ==
                   job::JobState::kSucceeded);
  }

  void NoStartCommandBeforeHandoverIsStored() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.scheduler.Handle(
        scheduling::WorkerListReceived{{MakeWorker("w-1")}});
    fixture.scheduler.RunCycle(fixture.clock.Now());
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.store.commits[0].handover->workers.size());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
  }

  void CancellationStopsRuns() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(5)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
    fixture.scheduler.CancelJob(MakeId<core::JobId>(kJob));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.stops.size());
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
  }

  void PlacementRespectsWorkerResources() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(10, 1500)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
    const execution::StartCommand start = fixture.worker_port.starts[0];
    fixture.ReplyToStart(start, WorkerCallOutcome::kInsufficientResources);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.worker_port.starts.size());
  }

  void GangStartsOnlyAsAWhole() {
    Fixture fixture;
    job::Step gang = MakeStep(3, 2000);
    gang.is_gang = true;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {gang}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].attempt ==
                   fixture.worker_port.starts[2].attempt);
  }

  void PlacementRespectsWorkerLimitsAndLabels() {
    Fixture fixture;
    job::Step spread = MakeStep(3);
    spread.max_per_worker = 1;
    job::Step labelled = MakeStep(1);
    labelled.required_label = "rack-9";
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {spread, labelled}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(fixture.worker_port.starts[0].to.worker !=
                   fixture.worker_port.starts[1].to.worker);
  }

  void DrainingWorkerGetsNoTasks() {
    Fixture fixture;
    execution::WorkerRecord draining = MakeWorker("w-1");
    draining.is_draining = true;
    fixture.BeginTerm();
    fixture.SetWorkers({draining});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
  }

  // A worker on which every run fails at once always has free resources, and
  // would otherwise get most tasks.
  void FailingWorkerGetsFewerTasks() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers(
        {MakeWorker("w-1", 1, 8000), MakeWorker("w-2", 1, 4000)});
    std::size_t starts_on_failing = 0;
    for (int count = 0; count < 12; ++count) {
      const std::string id =
          std::string(kJob).substr(0, 14) + std::to_string(10 + count);
      fixture.scheduler.AddJob(MakeJob(id, {MakeStep(1)}));
      fixture.RunCycles();
      const execution::StartCommand start = fixture.worker_port.starts.back();
      fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
      const bool fails = start.to.worker.Text() == "w-1";
      starts_on_failing += fails ? 1 : 0;
      for (const execution::PollCommand& poll :
           std::vector<execution::PollCommand>(fixture.worker_port.polls)) {
        execution::PollReply reply;
        reply.worker = poll.to.worker;
        reply.incarnation = poll.to.incarnation;
        reply.sequence = poll.sequence;
        reply.outcome = WorkerCallOutcome::kDone;
        if (poll.to.worker == start.to.worker) {
          reply.ended = {Fixture::EndedRun(
              start, static_cast<std::uint64_t>(count) + 1,
              fails ? RunOutcome::kFailed : RunOutcome::kDone)};
        }
        fixture.scheduler.Handle(reply);
      }
      fixture.RunCycles();
      if (fixture.worker_port.starts.back().task == start.task) {
        fixture.scheduler.CancelJob(start.task.job);
      }
    }
    CPPUNIT_ASSERT(starts_on_failing < 6);
  }

  void BestEffortRunsAreThrottled() {
    Fixture fixture;
    job::Step serving = MakeStep(1);
    serving.is_long_running = true;
    serving.latency_target = std::chrono::milliseconds(100);
    job::Step best_effort = MakeStep(1, 3500);
    best_effort.is_best_effort = true;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {serving, best_effort}));
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.worker_port.starts.size());
    for (const execution::StartCommand& start :
         std::vector<execution::StartCommand>(fixture.worker_port.starts)) {
      fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    }
    execution::RunReport slow_report =
        Fixture::ActiveRun(fixture.worker_port.starts[0], 100);
    slow_report.tail_latency = std::chrono::milliseconds(95);
    fixture.ReplyToPoll(
        {slow_report, Fixture::ActiveRun(fixture.worker_port.starts[1])}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.worker_port.cpu_share_commands.size());
    CPPUNIT_ASSERT(fixture.worker_port.cpu_share_commands[0].task ==
                   fixture.worker_port.starts[1].task);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{50},
        fixture.worker_port.cpu_share_commands[0].share.Count());
  }

  // Guards against a best-effort run that keeps a high share beside a task over
  // its latency target, because the command that took its share was lost and
  // the share that was decided changed no more.
  void CpuShareWithoutAReplyIsSentAgain() {
    Fixture fixture;
    job::Step serving = MakeStep(1);
    serving.is_long_running = true;
    serving.latency_target = std::chrono::milliseconds(100);
    job::Step best_effort = MakeStep(1, 3500);
    best_effort.is_best_effort = true;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {serving, best_effort}));
    fixture.RunCycles();
    const auto starts = fixture.worker_port.starts;
    for (const execution::StartCommand& start : starts) {
      fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    }
    execution::RunReport slow_report = Fixture::ActiveRun(starts[0], 100);
    slow_report.tail_latency = std::chrono::milliseconds(95);
    const auto& commands = fixture.worker_port.cpu_share_commands;
    while (commands.empty() || commands.back().share.Count() > 0) {
      CPPUNIT_ASSERT(commands.size() < 10);
      fixture.ReplyToPoll({slow_report, Fixture::ActiveRun(starts[1])}, {});
      fixture.RunCycles();
    }
    const std::size_t sent = commands.size();
    fixture.scheduler.HandleCpuShareReply(
        fixture.MakeReply(commands.back(), WorkerCallOutcome::kUnknown));
    fixture.ReplyToPoll({slow_report, Fixture::ActiveRun(starts[1])}, {});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(sent + 1, commands.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, commands.back().share.Count());
    fixture.scheduler.HandleCpuShareReply(
        fixture.MakeReply(commands.back(), WorkerCallOutcome::kDone));
    fixture.ReplyToPoll({slow_report, Fixture::ActiveRun(starts[1])}, {});
    CPPUNIT_ASSERT_EQUAL(sent + 1, commands.size());
  }

  void DrainMovesLongRunningTasksOneAtATime() {
    Fixture fixture;
    job::Step long_running = MakeStep(2);
    long_running.is_long_running = true;
    long_running.max_unavailable = 1;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob(kJob, {long_running}));
    fixture.RunCycles();
    const std::vector<execution::StartCommand> starts =
        fixture.worker_port.starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    const core::InstanceId worker = starts[0].to.worker;
    fixture.ReplyToStart(starts[0], WorkerCallOutcome::kDone);
    fixture.ReplyToStart(starts[1], WorkerCallOutcome::kDone);
    fixture.ReplyToPoll(
        {Fixture::ActiveRun(starts[0], 100), Fixture::ActiveRun(starts[1], 40)},
        {});
    fixture.scheduler.DrainWorker(worker);
    // The second task is not at full speed and thus already unavailable, so
    // that it is the only one that may be moved.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    CPPUNIT_ASSERT_EQUAL(1U, fixture.worker_port.stops[0].task.key.index);
    fixture.scheduler.DrainWorker(worker);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.stops.size());
    CPPUNIT_ASSERT(!fixture.scheduler.IsConfirmedIdle(worker));
  }

  void StartCommandsCarryTickets() {
    Fixture fixture;
    fixture.scheduler.SetQueueCatalog(test::MakeQueueCatalog(2, true));
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    fixture.RunCycles();
    CPPUNIT_ASSERT(fixture.worker_port.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.ticket_port.ticket_requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         fixture.ticket_port.ticket_requests[0].second.size());
    const scheduling::StepId step =
        fixture.ticket_port.ticket_requests[0].first;
    // A failed request is retried after a delay.
    fixture.scheduler.Handle(scheduling::TicketReply{step, false, {}, {}});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.ticket_port.ticket_requests.size());
    fixture.clock.Advance(std::chrono::seconds(1));
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-2")});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         fixture.ticket_port.ticket_requests.size());
    fixture.scheduler.Handle(
        scheduling::TicketReply{step,
                                true,
                                {{MakeId<core::InstanceId>("w-2"), "permit"}},
                                std::chrono::seconds(3)});
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("permit"),
                         fixture.worker_port.starts[0].ticket);
    CPPUNIT_ASSERT_EQUAL(std::string("w-2"),
                         fixture.worker_port.starts[0].to.worker.Text());
    // A rejected ticket is requested again; no other worker is tried.
    fixture.ReplyToStart(fixture.worker_port.starts[0],
                         WorkerCallOutcome::kInvalidTicket);
    fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         fixture.ticket_port.ticket_requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.ticket_port.ticket_requests[2].second.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SchedulerTest, "scheduling");

}  // namespace
