#ifndef TEST_MANAGER_LEADER_FIXTURE_H_
#define TEST_MANAGER_LEADER_FIXTURE_H_

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/manager/job_manager.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace test {

namespace manager = crocusmast::manager;

/** @brief Machines of the platform: some with a worker each, the others on
 * standby. Commands that are accepted take effect at once, but workers stay
 * listed. */
class FakeMachines final : public upkeep::MachinePort {
 public:
  static inline const auto kPool = MakeId<core::PoolId>("pool");
  static inline const auto kStandbyPool = MakeId<core::PoolId>("standby");

  /**
   * @brief Creates the machines m-1, m-2 and so on, with the workers w-1, w-2
   * and so on.
   * @param count Number of machines.
   */
  explicit FakeMachines(std::size_t count) {
    for (std::size_t number = 1; number <= count; ++number) {
      const std::string suffix = std::to_string(number);
      machines.push_back({MakeId<core::MachineId>("m-" + suffix), kPool,
                          upkeep::MachineState::kUp,
                          MakeId<core::InstanceId>("w-" + suffix)});
    }
  }

  void RequestMachineList() override { is_list_requested = true; }
  void Move(core::FencingToken,
            const core::MachineId& id,
            const core::PoolId& pool) override {
    moved.push_back(id);
    if (outcome != upkeep::MachineCommandOutcome::kDone) {
      return;
    }
    for (upkeep::Machine& machine : machines) {
      if (machine.id == id) {
        machine.pool = pool;
        machine.worker = {};
      }
    }
  }
  void TakeDown(core::FencingToken,
                const core::MachineId&,
                core::WaveNumber) override {}
  void WriteWaveStatus(core::FencingToken, core::WaveNumber, bool) override {}

  std::vector<upkeep::Machine> machines;
  std::vector<core::MachineId> moved;
  /** @brief Number of commands that were answered. */
  std::size_t answered = 0;
  /** @brief Outcome of further commands. */
  upkeep::MachineCommandOutcome outcome = upkeep::MachineCommandOutcome::kDone;
  bool is_list_requested = false;
};

/** @brief What an instance stores for the next leader. */
struct LeaderState {
  job::StoredHandover stored;
  core::Revision revision{10};
};

/**
 * @brief The manager of an instance that leads, in virtual time.
 *
 * Its workers run nothing until a job is added. The store answers each commit
 * in the next step.
 */
class LeaderFixture : public manager::ReadinessPort {
 public:
  /**
   * @brief Begins a term.
   * @param clock The clock.
   * @param machines The machines.
   * @param state What the earlier leader stored; the commits of this one are
   * added.
   * @param listed_workers Number of workers that the store lists, of the first
   * machines.
   */
  LeaderFixture(FakeClock& clock,
                FakeMachines& machines,
                LeaderState& state,
                std::size_t listed_workers)
      : m_clock(clock), m_machines(machines), m_state(state) {
    m_manager.Handle(manager::QueueCatalogLoaded{
        std::make_shared<queue::QueueCatalog>(MakeCatalog())});
    m_manager.Handle(manager::StoreListReceived{
        {}, m_state.revision, m_clock.Now(), std::nullopt});
    ConfirmLease();
    const core::Revision claim(NextRevision());
    m_manager.Handle(leadership::LeadershipClaimReply{
        leadership::LeaseOutcome::kDone, claim});
    m_manager.OnRingEmpty();
    m_manager.Handle(manager::StoreListReceived{
        {leadership::LeaderObserved{{"self", "1"}, claim}},
        claim,
        m_clock.Now(),
        m_state.stored});
    m_manager.OnRingEmpty();
    ListWorkers(listed_workers);
  }

  /** @brief Handles a list of the workers of the first machines. */
  void ListWorkers(std::size_t count) {
    scheduling::WorkerListReceived list;
    for (std::size_t number = 1; number <= count; ++number) {
      list.workers.push_back(MakeWorker("w-" + std::to_string(number)));
    }
    m_manager.Handle(std::move(list));
  }

  /** @brief Adds a job that the pool's workers run. */
  void AddJob(std::uint32_t tasks) {
    Receive({job::JobStored{MakeJob("0123456789abcdef", {MakeStep(tasks)})}});
  }

  /** @brief Handles replies and ticks for some time. */
  void RunFor(core::Duration time) {
    const core::TimePoint end = m_clock.Now() + time;
    while (m_clock.Now() < end) {
      m_clock.Advance(kStep);
      ConfirmLease();
      Receive({});
      AnswerCalls();
      m_manager.Tick();
    }
  }

  void SetReady(bool) override {}

  RecordingWorkerPort workers;

 private:
  static constexpr std::chrono::milliseconds kStep{20};

  static queue::QueueCatalog MakeCatalog() {
    const queue::QueueCatalog catalog = MakeQueueCatalog();
    std::vector<queue::Queue> queues;
    for (const auto& [id, queue] : catalog.Queues()) {
      queues.push_back(queue);
    }
    queue::Pool pool;
    pool.id = FakeMachines::kPool;
    pool.enforces_capacity = true;
    queue::Pool standby;
    standby.id = FakeMachines::kStandbyPool;
    standby.is_standby = true;
    return {core::Revision(1), queues, {pool, standby}, {}};
  }

  core::Revision NextRevision() {
    m_state.revision = core::Revision(m_state.revision.Count() + 1);
    return m_state.revision;
  }

  void ConfirmLease() {
    m_manager.Handle(
        leadership::LeaseGrantReply{leadership::LeaseOutcome::kDone,
                                    leadership::LeaseId(1), m_clock.Now()});
    m_manager.Handle(
        leadership::LeaseRenewalReply{leadership::LeaseOutcome::kDone,
                                      leadership::LeaseId(1), m_clock.Now()});
  }

  void Receive(std::vector<manager::StoreEvent> events) {
    m_manager.Handle(manager::StoreChangesReceived{
        std::move(events), NextRevision(), m_clock.Now()});
  }

  void AnswerCalls() {
    while (m_answered_commits < m_store.commits.size()) {
      const job::Commit& commit = m_store.commits[m_answered_commits++];
      m_state.stored.last_commit = NextRevision();
      Apply(commit);
      m_manager.Handle(job::CommitReply{commit.sequence,
                                        job::StoreOutcome::kDone,
                                        m_state.stored.last_commit, true});
    }
    while (m_answered_polls < workers.polls.size()) {
      const execution::PollCommand& poll = workers.polls[m_answered_polls++];
      execution::PollReply reply;
      reply.worker = poll.to.worker;
      reply.incarnation = poll.to.incarnation;
      reply.sequence = poll.sequence;
      reply.outcome = execution::WorkerCallOutcome::kDone;
      m_manager.Handle(std::move(reply));
    }
    if (std::exchange(m_machines.is_list_requested, false)) {
      m_manager.Handle(upkeep::MachineListReceived{true, m_machines.machines,
                                                   m_clock.Now(), true});
    }
    while (m_machines.answered < m_machines.moved.size()) {
      m_manager.Handle(
          upkeep::MachineCommandReply{m_machines.moved[m_machines.answered++],
                                      m_machines.outcome, std::nullopt});
    }
  }

  void Apply(const job::Commit& commit) {
    if (commit.handover) {
      m_state.stored.handover = *commit.handover;
      m_state.stored.revision = m_state.stored.last_commit;
    }
    if (commit.commanded_machines) {
      m_state.stored.commanded_machines = commit.commanded_machines;
    }
  }

  FakeClock& m_clock;
  FakeMachines& m_machines;
  LeaderState& m_state;
  std::size_t m_answered_commits = 0;
  std::size_t m_answered_polls = 0;
  RecordingJobStore m_store;
  NullLogger m_logger;
  CountingMeter m_meter;
  RecordingTicketPort m_tickets;
  RecordingResponsePort m_responses;
  MockLeasePort m_leases;
  MockWorkerWatch m_worker_watch;
  std::unique_ptr<trompeloeil::expectation> m_allowed_calls[6] = {
      NAMED_ALLOW_CALL(m_leases, RequestLease(trompeloeil::_)),
      NAMED_ALLOW_CALL(m_leases,
                       ClaimLeadership(trompeloeil::_, trompeloeil::_)),
      NAMED_ALLOW_CALL(m_leases, Renew(trompeloeil::_)),
      NAMED_ALLOW_CALL(m_leases, Release(trompeloeil::_)),
      NAMED_ALLOW_CALL(m_worker_watch, Subscribe()),
      NAMED_ALLOW_CALL(m_worker_watch, Unsubscribe())};
  manager::JobManager m_manager{
      {{"self", "1"}, {}, std::chrono::milliseconds(3500)},
      {m_leases, m_store, workers, m_worker_watch, m_tickets, m_machines,
       m_responses, *this, m_clock, m_logger, m_meter}};
};

}  // namespace test

#endif  // TEST_MANAGER_LEADER_FIXTURE_H_
