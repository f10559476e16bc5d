#ifndef TEST_SCHEDULING_SCHEDULER_FIXTURE_H_
#define TEST_SCHEDULING_SCHEDULER_FIXTURE_H_

#include <memory>
#include <utility>
#include <vector>

#include "crocusmast/scheduling/scheduler.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace test {

/** @brief Makes a configuration whose queue uses the pool "other". */
inline queue::QueueCatalog MakeOtherPoolCatalog() {
  queue::Queue queue;
  queue.id = MakeId<core::QueueId>("queue");
  queue.host = "host.example";
  queue.prefix = "/jobs/";
  queue.pool = MakeId<core::PoolId>("other");
  queue.max_attempts = 3;
  queue.slack_factor = 2;
  queue.slack = std::chrono::milliseconds(600);
  queue::Pool pool;
  pool.id = MakeId<core::PoolId>("pool");
  pool.enforces_capacity = true;
  queue::Pool other = pool;
  other.id = queue.pool;
  return queue::QueueCatalog(core::Revision(2), {queue}, {pool, other}, {});
}

/** @brief A scheduler with fake collaborators, and helpers that drive them. */
class SchedulerFixture {
 public:
  SchedulerFixture() {
    clock.Advance(std::chrono::seconds(1000));
    scheduler.SetQueueCatalog(MakeQueueCatalog());
  }

  void BeginTerm(std::uint64_t token = 10,
                 const job::HandoverState& handover = {}) {
    ReceiveStoreState();
    scheduler.BeginTerm({core::FencingToken(token), std::chrono::seconds(5)},
                        catalog, {handover, core::Revision(revision)});
  }

  void SetWorkers(std::vector<execution::WorkerRecord> workers) {
    scheduler.Handle(scheduling::WorkerListReceived{std::move(workers)});
    RunCycles();
  }

  /** @brief Runs scheduling cycles and confirms commits until none is pending.
   */
  void RunCycles() {
    ReceiveStoreState();
    // Makes the periodic checks due.
    clock.Advance(scheduling::kSweepInterval);
    scheduler.RunCycle(clock.Now());
    while (replied_commits < store.commits.size()) {
      ReplyToCommit(job::StoreOutcome::kDone);
      scheduler.RunCycle(clock.Now());
    }
  }

  /** @brief Makes the known state of the store complete up to now. */
  void ReceiveStoreState() {
    scheduler.SetStoreView({core::Revision(revision), clock.Now()});
  }

  void ReplyToCommit(job::StoreOutcome outcome) {
    const job::Commit& commit = store.commits[replied_commits++];
    job::CommitReply reply;
    reply.sequence = commit.sequence;
    reply.outcome = outcome;
    reply.revision = core::Revision(++revision);
    scheduler.Handle(reply);
    clock.Advance(std::chrono::milliseconds(20));
  }

  void ReplyToStart(const execution::StartCommand& command,
                    execution::WorkerCallOutcome outcome) {
    scheduler.HandleStartReply(MakeReply(command, outcome));
  }

  template <typename Command>
  execution::WorkerCommandReply MakeReply(
      const Command& command,
      execution::WorkerCallOutcome outcome) const {
    return {command.to.worker, command.to.incarnation,
            command.task,      command.attempt,
            outcome,           std::nullopt};
  }

  execution::PollReply ReplyToPoll(
      std::vector<execution::RunReport> running,
      std::vector<execution::EndedRunReport> ended) {
    const execution::PollCommand& command = worker_port.polls.back();
    execution::PollReply reply;
    reply.worker = command.to.worker;
    reply.incarnation = command.to.incarnation;
    reply.sequence = command.sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    scheduler.Handle(reply);
    return reply;
  }

  static execution::EndedRunReport EndedRun(
      const execution::StartCommand& command,
      std::uint64_t number,
      job::RunOutcome end) {
    return {core::RunEndNumber(number), command.task, command.attempt, end, ""};
  }

  static execution::RunReport ActiveRun(const execution::StartCommand& command,
                                        std::uint32_t percent = 50) {
    return {command.task, command.attempt, "", percent, {}};
  }

  FakeClock clock;
  RecordingWorkerPort worker_port;
  RecordingJobStore store;
  RecordingLogger logger;
  CountingMeter meter;
  trompeloeil::sequence sequence;
  MockWorkerWatch worker_watch;
  std::unique_ptr<trompeloeil::expectation> allow_subscribe =
      NAMED_ALLOW_CALL(worker_watch, Subscribe());
  std::unique_ptr<trompeloeil::expectation> allow_unsubscribe =
      NAMED_ALLOW_CALL(worker_watch, Unsubscribe());
  job::JobCatalog catalog;
  RecordingTicketPort ticket_port;
  scheduling::Scheduler scheduler{
      {worker_port, store, worker_watch, ticket_port, clock, logger, meter}};
  std::size_t replied_commits = 0;
  std::uint64_t revision = 100;
};

}  // namespace test

#endif  // TEST_SCHEDULING_SCHEDULER_FIXTURE_H_
