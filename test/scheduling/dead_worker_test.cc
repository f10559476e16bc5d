#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

#include "test/scheduling/long_running_fixture.h"

namespace {

using namespace crocusmast;
using execution::WorkerCallOutcome;
using std::chrono::milliseconds;
using Fixture = test::SchedulerFixture;
using test::LongRunningStep;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;
using upkeep::MachineState;

constexpr char kJob[] = "0123456789abcdef";
/** @brief What a leader that is killed hands over of each worker. */
constexpr milliseconds kLongestHandoverLease{9635};

upkeep::Machine MakeMachine(const std::string& id,
                            MachineState state,
                            const std::string& worker = "") {
  upkeep::Machine machine;
  machine.id = MakeId<core::MachineId>(id);
  machine.pool = MakeId<core::PoolId>("pool");
  machine.state = state;
  if (!worker.empty()) {
    machine.worker = MakeId<core::InstanceId>(worker);
  }
  return machine;
}

/** @brief Machines on which w-1 has crashed and w-2 is up. */
std::vector<upkeep::Machine> MachinesWithoutFirstWorker() {
  return {MakeMachine("m-1", MachineState::kDown),
          MakeMachine("m-2", MachineState::kUp, "w-2")};
}

/** @brief Tasks of workers that the platform's machine lists show to be gone.
 */
class DeadWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeadWorkerTest);
  CPPUNIT_TEST(SuccessorStartsTasksOfAWorkerWhoseMachineIsDown);
  CPPUNIT_TEST(SuccessorStartsTasksOfAWorkerThatHasLeftTheMembership);
  CPPUNIT_TEST(FiniteTasksStartOnceAllOtherWorkersHaveReplied);
  CPPUNIT_TEST(TasksOfAWorkerThatFallsSilentStartOnceItsMachineIsDown);
  CPPUNIT_TEST(NewWorkerOnTheMachineShowsThatTheEarlierOneHasEnded);
  CPPUNIT_TEST(CrashOfAWorkerWithoutMachineCountsAgainstItsTask);
  CPPUNIT_TEST(WorkerThatIsCutOffKeepsItsRuns);
  CPPUNIT_TEST(WorkerThatRepliesKeepsItsRuns);
  CPPUNIT_TEST(ListRequestedBeforeTheWorkerJoinedIsIgnored);
  CPPUNIT_TEST(FailedAndEmptyListsAreIgnored);
  CPPUNIT_TEST(MachineWithoutWorkerMayHaveAnyOfItsPool);
  CPPUNIT_TEST(PagedListNeedsAnEarlierOne);
  CPPUNIT_TEST(PagedListThatLacksAMachineIsIgnored);
  CPPUNIT_TEST(EvidenceCountsOnceTheLeadershipIsConfirmed);
  CPPUNIT_TEST(ListsAreRequestedWhileAWorkerIsSilent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 24: a successor waited for the longest lease of a worker that had
  // crashed before the leader was killed.
  void SuccessorStartsTasksOfAWorkerWhoseMachineIsDown() {
    BeginAsSuccessor();
    FailPollsOfFirstWorker();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Starts());
    ReceiveList(MachinesWithoutFirstWorker());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    CPPUNIT_ASSERT(m_fixture.worker_port.starts[0].to.worker ==
                   MakeId<core::InstanceId>("w-2"));
  }

  // A crashed worker may have left the membership before the term began.
  void SuccessorStartsTasksOfAWorkerThatHasLeftTheMembership() {
    BeginAsSuccessor({MakeWorker("w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Starts());
    ReceiveList(MachinesWithoutFirstWorker());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  // Issue 24: all waiting tasks of started jobs waited for the longest lease of
  // one crashed worker of their pool.
  void FiniteTasksStartOnceAllOtherWorkersHaveReplied() {
    BeginAsSuccessor({MakeWorker("w-1"), MakeWorker("w-2")}, MakeStep(1));
    FailPollsOfFirstWorker();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Starts());
    ReceiveList(MachinesWithoutFirstWorker());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  // Issue 24: the tasks of a crashed worker waited for its lease.
  void TasksOfAWorkerThatFallsSilentStartOnceItsMachineIsDown() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    ReceiveList(MachinesWithoutFirstWorker());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts());
  }

  void NewWorkerOnTheMachineShowsThatTheEarlierOneHasEnded() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    ReceiveList({MakeMachine("m-1", MachineState::kUp, "w-3"),
                 MakeMachine("m-2", MachineState::kUp, "w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts());
  }

  // Issue 24: tasks that crash their workers were started on many more, because
  // the end of a worker that no machine has did not count as a crash.
  void CrashOfAWorkerWithoutMachineCountsAgainstItsTask() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         m_fixture.meter.Count(core::Counter::kWorkersCrashed));
    ReceiveList(MachinesWithoutFirstWorker());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_fixture.meter.Count(core::Counter::kWorkersCrashed));
  }

  // Guards against a second run of a task: a worker that no leader can reach
  // goes on until its lease expires, and is listed.
  void WorkerThatIsCutOffKeepsItsRuns() {
    BeginAsSuccessor();
    FailPollsOfFirstWorker();
    ReceiveList({MakeMachine("m-1", MachineState::kUp, "w-1"),
                 MakeMachine("m-2", MachineState::kUp, "w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Starts());
    m_fixture.clock.Advance(kLongestHandoverLease);
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  // Guards against a second run of a task: runs that have ended may be on
  // their way in a reply.
  void WorkerThatRepliesKeepsItsRuns() {
    StartOnFirstWorker();
    ReceiveList(MachinesWithoutFirstWorker());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  // Guards against a second run of a task: a worker may start again under its
  // id after the list was made.
  void ListRequestedBeforeTheWorkerJoinedIsIgnored() {
    const core::TimePoint before = m_fixture.clock.Now();
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    upkeep::MachineListReceived list = MakeList(MachinesWithoutFirstWorker());
    list.requested_at = before;
    Receive(list);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  void FailedAndEmptyListsAreIgnored() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    upkeep::MachineListReceived failed = MakeList(MachinesWithoutFirstWorker());
    failed.is_known = false;
    Receive(failed);
    ReceiveList({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  // Guards against a second run of a task: nothing tells which worker runs on a
  // machine that is listed as up without one.
  void MachineWithoutWorkerMayHaveAnyOfItsPool() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    upkeep::Machine machine = MakeMachine("m-1", MachineState::kUp);
    ReceiveList({machine, MakeMachine("m-2", MachineState::kUp, "w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    machine.pool = MakeId<core::PoolId>("standby");
    ReceiveList({machine, MakeMachine("m-2", MachineState::kUp, "w-2")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts());
  }

  // Guards against a second run of a task: the second page may lack a machine
  // if another one leaves between the requests for the two.
  void PagedListNeedsAnEarlierOne() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    upkeep::MachineListReceived list = MakeList(MachinesWithoutFirstWorker());
    list.is_single_page = false;
    Receive(list);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    // Requested before the earlier one arrived.
    Receive(list);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    m_fixture.RunCycles();
    list.requested_at = m_fixture.clock.Now();
    Receive(list);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts());
  }

  void PagedListThatLacksAMachineIsIgnored() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    upkeep::MachineListReceived list = MakeList(MachinesWithoutFirstWorker());
    list.is_single_page = false;
    list.machines.push_back(MakeMachine("m-3", MachineState::kDown));
    Receive(list);
    list.machines.pop_back();
    m_fixture.RunCycles();
    list.requested_at = m_fixture.clock.Now();
    Receive(list);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
  }

  // Guards against a second run of a task: a later leader may have had a reply
  // of the worker before it was gone.
  void EvidenceCountsOnceTheLeadershipIsConfirmed() {
    StartOnFirstWorker();
    FailPollsOfFirstWorker();
    const core::TimePoint confirmed_at = m_fixture.clock.Now();
    m_fixture.clock.Advance(milliseconds(10));
    m_fixture.scheduler.Handle(MakeList(MachinesWithoutFirstWorker()));
    m_fixture.clock.Advance(scheduling::kSweepInterval);
    m_fixture.scheduler.RunCycle(confirmed_at);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts());
  }

  void ListsAreRequestedWhileAWorkerIsSilent() {
    StartOnFirstWorker();
    m_fixture.clock.Advance(scheduling::kMachineListInterval);
    const core::TimePoint long_ago =
        m_fixture.clock.Now() - scheduling::kMachineListInterval;
    CPPUNIT_ASSERT(!m_fixture.scheduler.NeedsMachineList(long_ago));
    FailPollsOfFirstWorker();
    CPPUNIT_ASSERT(m_fixture.scheduler.NeedsMachineList(long_ago));
    CPPUNIT_ASSERT(
        !m_fixture.scheduler.NeedsMachineList(m_fixture.clock.Now()));
  }

 private:
  std::size_t Starts() const { return m_fixture.worker_port.starts.size(); }

  /** @brief Begins a term after a leader that was killed, which had started a
   * task on w-1; w-2 replies and has no runs. */
  void BeginAsSuccessor(std::vector<execution::WorkerRecord> members =
                            {MakeWorker("w-1"), MakeWorker("w-2")},
                        const job::Step& step = LongRunningStep(1)) {
    Fixture former;
    former.BeginTerm();
    former.SetWorkers({MakeWorker("w-1")});
    const job::AcceptedJob job = MakeJob(kJob, {step});
    former.scheduler.AddJob(job);
    former.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.worker_port.starts.size());
    former.ReplyToStart(former.worker_port.starts[0], WorkerCallOutcome::kDone);
    former.clock.Advance(scheduling::kAnsweredStartsDelay);
    former.RunCycles();
    m_fixture.catalog.Apply(job::JobStored{job}, {});
    m_fixture.catalog.Apply(
        job::ProgressStored{job.id, test::StoredProgress(former),
                            core::Revision(1)},
        {});
    job::HandoverState handover;
    for (const char* worker : {"w-1", "w-2"}) {
      handover.workers.push_back(
          {MakeId<core::InstanceId>(worker), core::Incarnation(1),
           MakeId<core::PoolId>("pool"), kLongestHandoverLease});
    }
    handover.has_current_placements = true;
    m_fixture.BeginTerm(11, handover);
    m_fixture.SetWorkers(std::move(members));
    test::ReplyToPollOf(m_fixture, MakeId<core::InstanceId>("w-2"), {});
    m_fixture.RunCycles();
  }

  /** @brief Begins a term and starts a task on w-1; w-2 joins after that. */
  void StartOnFirstWorker() {
    m_fixture.BeginTerm();
    m_fixture.SetWorkers({MakeWorker("w-1")});
    m_fixture.scheduler.AddJob(MakeJob(kJob, {LongRunningStep(1)}));
    m_fixture.RunCycles();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts());
    const execution::StartCommand start = m_fixture.worker_port.starts[0];
    m_fixture.ReplyToStart(start, WorkerCallOutcome::kDone);
    test::ReplyToPollOf(m_fixture, start.to.worker,
                        {Fixture::ActiveRun(start)});
    m_fixture.SetWorkers({MakeWorker("w-1"), MakeWorker("w-2")});
  }

  /** @brief Fails the polls of w-1 for less than its lease. */
  void FailPollsOfFirstWorker() {
    const core::TimePoint end = m_fixture.clock.Now() + milliseconds(600);
    while (m_fixture.clock.Now() < end) {
      for (std::size_t i = m_fixture.worker_port.polls.size(); i > 0; --i) {
        const execution::PollCommand& poll = m_fixture.worker_port.polls[i - 1];
        if (poll.to.worker == MakeId<core::InstanceId>("w-1")) {
          execution::PollReply reply;
          reply.worker = poll.to.worker;
          reply.incarnation = poll.to.incarnation;
          reply.sequence = poll.sequence;
          reply.outcome = WorkerCallOutcome::kUnknown;
          m_fixture.scheduler.Handle(reply);
          break;
        }
      }
      m_fixture.clock.Advance(scheduling::kPollRetryDelay);
      m_fixture.RunCycles();
    }
  }

  /** @brief Makes a list of one page that is requested now. */
  upkeep::MachineListReceived MakeList(
      std::vector<upkeep::Machine> machines) const {
    upkeep::MachineListReceived list;
    list.is_known = true;
    list.machines = std::move(machines);
    list.requested_at = m_fixture.clock.Now();
    list.is_single_page = true;
    return list;
  }

  void ReceiveList(std::vector<upkeep::Machine> machines) {
    Receive(MakeList(std::move(machines)));
  }

  void Receive(const upkeep::MachineListReceived& list) {
    m_fixture.clock.Advance(milliseconds(10));
    m_fixture.scheduler.Handle(list);
    m_fixture.RunCycles();
  }

  Fixture m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DeadWorkerTest, "scheduling");

}  // namespace
