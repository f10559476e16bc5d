#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeOtherPoolCatalog;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";

/** @brief Leases of workers that are silent for a while. */
class SilentWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentWorkerTest);
  CPPUNIT_TEST(FrozenLeasesAreExtendedWhileOtherWorkersReply);
  CPPUNIT_TEST(WorkerIsPolledAfterItsLeaseHasExpired);
  CPPUNIT_TEST(TaskOfAMovedQueueWaitsForItsEarlierPool);
  CPPUNIT_TEST(TaskOfAMovedQueueDoesNotWaitForItsNewPool);
  CPPUNIT_TEST(StartInANewPoolWaitsUntilThePoolIsStored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A reply of a worker with a frozen lease during each commit kept the leases
  // frozen until they expired, although every commit was stored.
  void FrozenLeasesAreExtendedWhileOtherWorkersReply() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers(
        {MakeWorker("w-1", 1, 1000), MakeWorker("w-2", 1, 1000)});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(2)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    for (const auto& start : m_fixture.worker_port.starts) {
      m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    }
    const core::TimePoint silent_until = m_fixture.clock.Now() +
                                         scheduling::kLeaseFreezeDelay +
                                         scheduling::kPollRetryDelay * 2;
    while (m_fixture.clock.Now() < silent_until) {
      for (const auto& start : m_fixture.worker_port.starts) {
        Reply(start, WorkerCallOutcome::kUnknown);
      }
      m_fixture.clock.Advance(scheduling::kPollRetryDelay);
      m_fixture.RunCycles();
    }
    const std::size_t polls_before = m_fixture.worker_port.polls.size();
    const core::TimePoint end = m_fixture.clock.Now() + milliseconds(3000);
    std::size_t next = 0;
    while (m_fixture.clock.Now() < end) {
      Reply(m_fixture.worker_port.starts[next], WorkerCallOutcome::kDone);
      next = 1 - next;
      m_fixture.ReceiveStoreState();
      m_fixture.clock.Advance(milliseconds(50));
      m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
      Reply(m_fixture.worker_port.starts[next], WorkerCallOutcome::kDone);
      if (m_fixture.replied_commits < m_fixture.store.commits.size()) {
        m_fixture.ReplyToCommit(job::StoreOutcome::kDone);
      }
      m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    }
    bool is_extended = false;
    for (std::size_t i = polls_before; i < m_fixture.worker_port.polls.size();
         ++i) {
      is_extended =
          is_extended || m_fixture.worker_port.polls[i].lease_until.has_value();
    }
    CPPUNIT_ASSERT(is_extended);
  }

  // A worker that was silent until its lease expired was not polled any more,
  // so it got no tasks for the rest of the term.
  void WorkerIsPolledAfterItsLeaseHasExpired() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    const core::TimePoint silent_until =
        m_fixture.clock.Now() + milliseconds(6000);
    while (m_fixture.clock.Now() < silent_until) {
      Reply(start, WorkerCallOutcome::kUnknown);
      m_fixture.clock.Advance(scheduling::kPollRetryDelay);
      m_fixture.RunCycles();
    }
    // The worker is reachable again, and lists the run: it goes on.
    m_fixture.scheduler.AddJob(MakeJob("fedcba9876543210", {MakeStep(1)}));
    for (int cycle = 0; cycle < 100; ++cycle) {
      Reply(start, WorkerCallOutcome::kDone);
      m_fixture.clock.Advance(milliseconds(50));
      m_fixture.RunCycles();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(MakeId<core::JobId>("fedcba9876543210") ==
                   m_fixture.worker_port.starts[1].task.job);
  }

  // A successor started a task in the new pool of its queue while the worker
  // of the old pool that may still run it had not replied.
  void TaskOfAMovedQueueWaitsForItsEarlierPool() {
    job::Job job = job::Job::Create(MakeJob(kJob, {MakeStep(1)}), nullptr,
                                    core::Attempt(0));
    job.OpenDueOccurrences({});
    job::Run run;
    run.worker = MakeId<core::InstanceId>("w-1");
    run.attempt = core::Attempt(1);
    job.BeginRun({0, 0, 0}, run);
    m_fixture.catalog.Apply(job::JobStored{job.Accepted()}, {});
    m_fixture.catalog.Apply(
        job::ProgressStored{job.Id(), job.Progress(), core::Revision(50)}, {});
    m_fixture.scheduler.SetQueueCatalog(MakeOtherPoolCatalog());
    m_fixture.BeginTerm(
        11, {{{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
               MakeId<core::PoolId>("pool"), milliseconds(4000)}},
             {}});
    execution::WorkerRecord other = MakeWorker("w-2");
    other.pool = MakeId<core::PoolId>("other");
    m_fixture.SetWorkers({MakeWorker("w-1"), other});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.worker_port.starts.size());
  }

  // No task of the job was started there.
  void TaskOfAMovedQueueDoesNotWaitForItsNewPool() {
    StartThenMoveQueue();
    Fixture successor;
    successor.scheduler.SetQueueCatalog(MakeOtherPoolCatalog());
    successor.catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    successor.catalog.Apply(
        job::ProgressStored{MakeId<core::JobId>(kJob), StoredProgress(),
                            core::Revision(50)},
        {});
    job::HandoverState handover{
        {{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
          MakeId<core::PoolId>("pool"), milliseconds(4000)},
         {MakeId<core::InstanceId>("w-3"), core::Incarnation(1),
          MakeId<core::PoolId>("other"), milliseconds(9000)}},
        {}};
    handover.has_current_placements = true;
    successor.BeginTerm(11, handover);
    successor.SetWorkers({MakeOtherWorker("w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, successor.worker_port.starts.size());
    successor.clock.Advance(milliseconds(4000));
    successor.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, successor.worker_port.starts.size());
  }

  // Otherwise a successor would wait for the workers of the earlier pool only.
  void StartInANewPoolWaitsUntilThePoolIsStored() {
    StartThenMoveQueue();
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToPoll(
        {}, {Fixture::EndedRun(start, 1, job::RunOutcome::kFailed)});
    const std::size_t commits = m_fixture.store.commits.size();
    m_fixture.ReceiveStoreState();
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(commits + 1, m_fixture.store.commits.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, StoredProgress().pools->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    m_fixture.ReplyToCommit(job::StoreOutcome::kDone);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }

 private:
  static execution::WorkerRecord MakeOtherWorker(const char* id) {
    execution::WorkerRecord worker = MakeWorker(id);
    worker.pool = MakeId<core::PoolId>("other");
    return worker;
  }

  /** @brief Starts the task in the pool "pool", then moves its queue to the
   * pool "other". */
  void StartThenMoveQueue() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeOtherWorker("w-2")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    m_fixture.ReplyToStart(m_fixture.worker_port.starts[0],
                           WorkerCallOutcome::kDone);
    m_fixture.scheduler.SetQueueCatalog(MakeOtherPoolCatalog());
    m_fixture.clock.Advance(scheduling::kAnsweredStartsDelay);
    m_fixture.RunCycles();
  }

  /** @brief Returns the progress of the job that was sent to the store last. */
  job::JobProgress StoredProgress() const {
    job::JobProgress last;
    for (const job::Commit& commit : m_fixture.store.commits) {
      for (const job::ProgressWrite& write : commit.progress) {
        last = write.progress;
      }
    }
    return last;
  }

  /** @brief Replies to the last poll of a worker, which runs one task. */
  void Reply(const execution::StartCommand& start, WorkerCallOutcome outcome) {
    std::optional<execution::PollCommand> last;
    for (const execution::PollCommand& poll : m_fixture.worker_port.polls) {
      if (poll.to.worker == start.to.worker) {
        last = poll;
      }
    }
    if (!last) {
      return;
    }
    execution::PollReply reply;
    reply.worker = last->to.worker;
    reply.incarnation = last->to.incarnation;
    reply.sequence = last->sequence;
    reply.outcome = outcome;
    if (outcome == WorkerCallOutcome::kDone) {
      reply.running = {Fixture::ActiveRun(start)};
    }
    m_fixture.scheduler.Handle(reply);
  }

  Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SilentWorkerTest, "scheduling");

}  // namespace
