#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr char kJob[] = "0123456789abcdef";
/** @brief The longest lease of a worker, 4,500 ms on a slow clock. */
constexpr milliseconds kLongestWorkerLease{4635};
/** @brief That, after the 5 s for which a deposed leader may stay active. */
constexpr milliseconds kLongestHandoverLease{9635};

/** @brief What a successor learns of the leases of workers. */
class LeaseHandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseHandoverTest);
  CPPUNIT_TEST(PollOfUnreconciledWorkerExtendsNoLease);
  CPPUNIT_TEST(NoLeaseIsExtendedBeforeTheTermHasStoredItsState);
  CPPUNIT_TEST(SuccessorsOfOneHandoverStateStartNoSecondRun);
  CPPUNIT_TEST(SilentWorkerIsHandedOverWithItsRemainingLease);
  CPPUNIT_TEST(FrozenLeaseIsExtendedOnceTheHandoverSaysSo);
  CPPUNIT_TEST(FrozenLeaseStaysFrozenWithoutReplyOfTheStore);
  CPPUNIT_TEST(WorkerWithFrozenLeaseGetsNoTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 21: the first poll of a new leader extended the runs of a worker that
  // got the poll but did not reply, beyond the inherited lease after which its
  // tasks were started elsewhere.
  void PollOfUnreconciledWorkerExtendsNoLease() {
    const job::HandoverState handover{
        {{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
          MakeId<core::PoolId>("pool"), milliseconds(1500)}},
        {}};
    m_fixture.BeginTerm(11, handover);
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.polls.size());
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls[0].lease_until);
    // Leases are extended from the first reply on.
    m_fixture.ReplyToPoll({ActiveRunOfEarlierTerm()}, {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.polls.size());
    CPPUNIT_ASSERT(m_fixture.worker_port.polls[1].lease_until);
  }

  // Issue 24: leases that a term extended before it stored a handover state
  // were not known to the next leader, which began from the state before.
  void NoLeaseIsExtendedBeforeTheTermHasStoredItsState() {
    const job::HandoverState handover{
        {{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
          MakeId<core::PoolId>("pool"), milliseconds(1500)}},
        {}};
    m_fixture.BeginTerm(11, handover);
    m_fixture.scheduler.Handle(
        scheduling::WorkerListReceived{{MakeWorker("w-1")}});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    m_fixture.ReplyToPoll({ActiveRunOfEarlierTerm()}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.polls.size());
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls.back().lease_until);
    m_fixture.ReplyToCommit(job::StoreOutcome::kDone);
    m_fixture.ReplyToPoll({ActiveRunOfEarlierTerm()}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT(m_fixture.worker_port.polls.back().lease_until);
  }

  // Issue 24: two leaders began from one state of a leader that had resigned;
  // the second started tasks again whose leases the first had extended.
  void SuccessorsOfOneHandoverStateStartNoSecondRun() {
    const job::HandoverState handover{
        {{MakeId<core::InstanceId>("w-1"), core::Incarnation(1),
          MakeId<core::PoolId>("pool"), milliseconds(4500)}},
        {}};
    // The first one reaches w-1 but not the store, the second one the reverse.
    Fixture first;
    BeginWithStartedJob(first, 11, handover);
    first.scheduler.Handle(scheduling::WorkerListReceived{{MakeWorker("w-1")}});
    constexpr milliseconds kStep{250};
    milliseconds elapsed{};
    execution::WorkerTime leased_until =
        MakeWorker("w-1").clock + milliseconds(4500);
    const auto poll_by_first = [&] {
      first.scheduler.RunCycle(first.clock.Now());
      leased_until = std::max(
          leased_until,
          first.worker_port.polls.back().lease_until.value_or(leased_until));
      first.ReplyToPoll({ActiveRunOfEarlierTerm()}, {});
      first.clock.Advance(kStep);
      elapsed += kStep;
    };
    while (elapsed < milliseconds(2000)) {
      poll_by_first();
    }
    Fixture second;
    BeginWithStartedJob(second, 12, handover);
    second.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
    while (second.worker_port.starts.empty() && elapsed < milliseconds(20000)) {
      poll_by_first();
      execution::PollReply silence;
      silence.worker = MakeId<core::InstanceId>("w-1");
      silence.incarnation = core::Incarnation(1);
      silence.sequence = second.worker_port.polls.back().sequence;
      silence.outcome = WorkerCallOutcome::kUnknown;
      second.scheduler.Handle(silence);
      second.clock.Advance(kStep);
      second.RunCycles();
    }
    CPPUNIT_ASSERT(!second.worker_port.starts.empty());
    CPPUNIT_ASSERT(leased_until <= MakeWorker("w-1").clock + elapsed);
  }

  // Issue 21: the successor of a leader that was killed waited for the longest
  // leases, also on a worker that had been gone long before.
  void SilentWorkerIsHandedOverWithItsRemainingLease() {
    StartOnSilentWorker();
    const milliseconds lease = StoredLease();
    CPPUNIT_ASSERT(milliseconds(0) < lease);
    CPPUNIT_ASSERT(lease <=
                   kLongestWorkerLease - scheduling::kLeaseFreezeDelay);
  }

  // A successor may already count with the end of the lease that was stored.
  void FrozenLeaseIsExtendedOnceTheHandoverSaysSo() {
    const execution::StartCommand start = StartOnSilentWorker();
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls.back().lease_until);
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(kLongestHandoverLease == StoredLease());
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.RunCycles();
    CPPUNIT_ASSERT(m_fixture.worker_port.polls.back().lease_until);
  }

  // Without a reply the store may still hold the frozen lease.
  void FrozenLeaseStaysFrozenWithoutReplyOfTheStore() {
    const execution::StartCommand start = StartOnSilentWorker();
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    m_fixture.ReplyToCommit(job::StoreOutcome::kUnknown);
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT(!m_fixture.worker_port.polls.back().lease_until);
  }

  // The start command would extend the lease.
  void WorkerWithFrozenLeaseGetsNoTasks() {
    const execution::StartCommand start = StartOnSilentWorker();
    m_fixture.clock.Advance(scheduling::kWorkerBackoff);
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.scheduler.AddJob(MakeJob("fedcba9876543210", {MakeStep(1)}));
    m_fixture.clock.Advance(scheduling::kSweepInterval);
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.worker_port.starts.size());
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.worker_port.starts.size());
  }

 private:
  /** @brief Begins a term with a job of which an earlier leader has started a
   * task. */
  static void BeginWithStartedJob(Fixture& leader,
                                  std::uint64_t token,
                                  const job::HandoverState& handover) {
    leader.catalog.Apply(job::JobStored{MakeJob(kJob, {MakeStep(1)})}, {});
    job::JobProgress progress;
    progress.state = job::JobState::kRunning;
    leader.catalog.Apply(job::ProgressStored{MakeId<core::JobId>(kJob),
                                             progress, core::Revision(1)},
                         {});
    leader.BeginTerm(token, handover);
  }

  static execution::RunReport ActiveRunOfEarlierTerm() {
    return {
        {MakeId<core::JobId>(kJob), {0, 0, 0}}, core::Attempt(1), "", 50, {}};
  }

  /** @brief Starts a task on a worker that then fails polls for longer than
   * kLeaseFreezeDelay. */
  execution::StartCommand StartOnSilentWorker() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {MakeStep(1)}));
    m_fixture.RunCycles();
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    // The lease of a run that no poll has listed is not known.
    m_fixture.ReplyToPoll({Fixture::ActiveRun(start)}, {});
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    const core::TimePoint end = m_fixture.clock.Now() +
                                scheduling::kLeaseFreezeDelay +
                                scheduling::kPollRetryDelay * 2;
    while (m_fixture.clock.Now() < end) {
      execution::PollReply reply;
      reply.worker = start.to.worker;
      reply.incarnation = start.to.incarnation;
      reply.sequence = m_fixture.worker_port.polls.back().sequence;
      reply.outcome = WorkerCallOutcome::kUnknown;
      m_fixture.scheduler.Handle(reply);
      m_fixture.clock.Advance(scheduling::kPollRetryDelay);
      m_fixture.RunCycles();
    }
    return start;
  }

  /** @brief Returns the lease of the worker in the last handover state that was
   * sent to the store. */
  milliseconds StoredLease() const {
    for (auto commit = m_fixture.store.commits.rbegin();
         commit != m_fixture.store.commits.rend(); ++commit) {
      if (commit->handover) {
        return commit->handover->workers.at(0).lease_remaining;
      }
    }
    return {};
  }

  Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LeaseHandoverTest, "scheduling");

}  // namespace
