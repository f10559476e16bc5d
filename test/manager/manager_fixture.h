#ifndef TEST_MANAGER_MANAGER_FIXTURE_H_
#define TEST_MANAGER_MANAGER_FIXTURE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/manager/job_manager.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace test {

namespace manager = crocusmast::manager;

/**
 * @brief The manager of a scheduling leader with its ring, in virtual time.
 *
 * Handling a message takes a fixed time. The store and the workers reply to
 * each call after a fixed time, and their replies wait in the ring.
 */
class ManagerFixture : public execution::WorkerPort,
                       public job::JobStore,
                       public leadership::LeasePort,
                       public scheduling::WorkerWatch,
                       public manager::ReadinessPort {
 public:
  /** @brief A command to a worker and when it was sent. */
  struct Sent {
    job::TaskId task;
    core::TimePoint at;
    core::InstanceId worker{};
  };
  /** @brief Returns how long a task runs. */
  using RunTime = std::function<std::chrono::milliseconds(const job::TaskId&)>;

  /**
   * @brief Creates the manager.
   * @param message_cost How long the manager takes to handle a message.
   * @param run_time How long each task runs.
   */
  ManagerFixture(std::chrono::microseconds message_cost, RunTime run_time)
      : m_message_cost(message_cost), m_run_time(std::move(run_time)) {
    clock.Advance(std::chrono::seconds(1000));
    Push(manager::QueueCatalogLoaded{
        std::make_shared<const queue::QueueCatalog>(MakeQueueCatalog())});
    Refresh();
    ReceiveChanges();
  }

  /** @brief Puts a message into the ring. */
  void Push(manager::Message message) {
    const core::Priority priority = manager::PriorityOf(message);
    if (!m_ring.TryPush(std::move(message), priority)) {
      throw std::length_error("the ring is full");
    }
  }

  /** @brief Puts changes of the store into the ring. */
  void Store(std::vector<manager::StoreEvent> events) {
    Push(manager::StoreChangesReceived{
        std::move(events), core::Revision(++m_revision), clock.Now()});
  }

  /** @brief Does something now and repeats it at an interval. */
  void Repeat(core::Duration interval,
              int count,
              const std::function<void()>& event) {
    for (int done = 0; done < count; ++done) {
      After(done * interval, event);
    }
  }

  /** @brief Handles messages and ticks for some time. */
  void RunFor(core::Duration duration) {
    const core::TimePoint end = clock.Now() + duration;
    while (clock.Now() < end) {
      RunStep();
    }
  }

  void Start(execution::StartCommand command) override {
    starts.push_back({command.task, clock.Now(), command.to.worker});
    After(kReplyTime, [this, command] {
      m_workers[command.to.worker].running.emplace(
          RunId(command.task, command.attempt),
          execution::RunReport{command.task, command.attempt, "", 50, {}});
      Push(manager::StartReplyReceived{MakeReply(command)});
    });
    After(kReplyTime + m_run_time(command.task),
          [this, command] { End(command, job::RunOutcome::kDone); });
  }
  void Stop(execution::StopCommand command) override {
    stops.push_back({command.task, clock.Now()});
    After(kReplyTime, [this, command] {
      End(command, job::RunOutcome::kStopped);
      Push(manager::StopReplyReceived{MakeReply(command)});
    });
  }
  void SetCpuShare(execution::CpuShareCommand command) override {}
  void PollStatus(execution::PollCommand command) override {
    WorkerState& worker = m_workers[command.to.worker];
    worker.recorded = std::max(worker.recorded, command.recorded.Count());
    const std::uint64_t sequence = command.sequence;
    After(kReplyTime, [this, &worker] {
      if (worker.recorded < worker.ends) {
        ReplyToPoll(worker);
      }
    });
    After(kReplyTime + command.max_wait, [this, &worker, sequence] {
      if (worker.open_poll && worker.open_poll->sequence == sequence) {
        ReplyToPoll(worker);
      }
    });
    worker.open_poll = std::move(command);
  }

  void Create(job::ExchangeId exchange, const job::AcceptedJob& job) override {}
  void Cancel(job::ExchangeId exchange, const core::JobId& id) override {}
  void Read(job::ExchangeId exchange, const core::JobId& id) override {}
  void Write(job::Commit commit) override {
    job::CommitReply reply;
    reply.sequence = commit.sequence;
    reply.outcome = job::StoreOutcome::kDone;
    reply.revision = core::Revision(++m_revision);
    After(kReplyTime, [this, reply] { Push(reply); });
  }
  void HandOver(core::FencingToken token,
                const job::HandoverState& handover) override {}
  void SetFastPolling(bool is_fast) override {}
  void Refresh() override {
    After(kReplyTime, [this] {
      Push(manager::StoreListReceived{m_listed, core::Revision(++m_revision),
                                      clock.Now(), job::StoredHandover()});
    });
  }
  void Remove(core::FencingToken token,
              const std::vector<core::JobId>& ids) override {}

  void RequestLease(std::chrono::milliseconds duration) override {
    const core::TimePoint now = clock.Now();
    After(kReplyTime, [this, now] {
      Push(leadership::LeaseGrantReply{leadership::LeaseOutcome::kDone,
                                       leadership::LeaseId(1), now});
    });
  }
  void ClaimLeadership(const leadership::HolderIdentity& holder,
                       leadership::LeaseId lease) override {
    const core::Revision revision(++m_revision);
    m_listed.emplace_back(leadership::LeaderObserved{holder, revision});
    After(kReplyTime, [this, revision] {
      Push(leadership::LeadershipClaimReply{leadership::LeaseOutcome::kDone,
                                            revision});
    });
  }
  void Renew(leadership::LeaseId lease) override {
    const core::TimePoint now = clock.Now();
    After(kReplyTime, [this, lease, now] {
      Push(leadership::LeaseRenewalReply{leadership::LeaseOutcome::kDone, lease,
                                         now});
    });
  }
  void Release(leadership::LeaseId lease) override {}
  void RevokeClaim(core::Revision claimed_at) override {}

  void Subscribe() override {
    After(kReplyTime, [this] {
      scheduling::WorkerListReceived list;
      for (int number = 1; number <= kWorkers; ++number) {
        list.workers.push_back(MakeWorker("w-" + std::to_string(number)));
      }
      Push(std::move(list));
    });
  }
  void Unsubscribe() override {}

  void SetReady(bool is_ready) override {}

  FakeClock clock;
  std::vector<Sent> starts;
  std::vector<Sent> stops;

 private:
  /** @brief Runs of a worker, and the poll that waits for an end. */
  struct WorkerState {
    std::map<std::string, execution::RunReport> running;
    std::vector<execution::EndedRunReport> ended;
    std::optional<execution::PollCommand> open_poll;
    std::uint64_t ends = 0;
    std::uint64_t recorded = 0;
  };

  static constexpr int kWorkers = 12;
  static constexpr std::size_t kRingCapacity = 8192;
  static constexpr std::size_t kUrgentRingCapacity = 2048;
  static constexpr std::chrono::milliseconds kReplyTime{5};
  static constexpr std::chrono::milliseconds kTickInterval{50};
  static constexpr std::chrono::milliseconds kWatchInterval{100};

  static std::string RunId(const job::TaskId& task, core::Attempt attempt) {
    return Describe(task) + "#" + std::to_string(attempt.Count());
  }

  template <typename Command>
  static execution::WorkerCommandReply MakeReply(const Command& command) {
    return {command.to.worker,
            command.to.incarnation,
            command.task,
            command.attempt,
            execution::WorkerCallOutcome::kDone,
            std::nullopt};
  }

  /** @brief Does something in the network's time, which doesn't wait for the
   * manager. */
  void After(core::Duration delay, std::function<void()> event) {
    m_events.emplace(clock.Now() + delay, std::move(event));
  }

  void ReceiveChanges() {
    Store({});
    After(kWatchInterval, [this] { ReceiveChanges(); });
  }

  template <typename Command>
  void End(const Command& command, job::RunOutcome outcome) {
    WorkerState& worker = m_workers[command.to.worker];
    if (worker.running.erase(RunId(command.task, command.attempt)) > 0) {
      worker.ended.push_back({core::RunEndNumber(++worker.ends), command.task,
                              command.attempt, outcome, ""});
      ReplyToPoll(worker);
    }
  }

  void ReplyToPoll(WorkerState& worker) {
    if (!worker.open_poll) {
      return;
    }
    execution::PollReply reply;
    reply.worker = worker.open_poll->to.worker;
    reply.incarnation = worker.open_poll->to.incarnation;
    reply.sequence = worker.open_poll->sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    for (const auto& [id, report] : worker.running) {
      reply.running.push_back(report);
    }
    for (const execution::EndedRunReport& end : worker.ended) {
      if (worker.recorded < end.number.Count()) {
        reply.ended.push_back(end);
      }
    }
    worker.open_poll.reset();
    Push(std::move(reply));
  }

  /** @brief Does what MessageThread does in one round. */
  void RunStep() {
    RunEvents();
    if (m_next_tick <= clock.Now()) {
      m_manager.Tick();
      m_next_tick = clock.Now() + kTickInterval;
    }
    std::optional<manager::Message> message =
        m_ring.PopFor(core::Duration::zero());
    if (!message) {
      const core::TimePoint next =
          m_events.empty() ? m_next_tick
                           : std::min(m_next_tick, m_events.begin()->first);
      clock.Advance(std::max<core::Duration>(next - clock.Now(),
                                             std::chrono::microseconds(1)));
      return;
    }
    m_manager.Handle(std::move(*message));
    clock.Advance(m_message_cost);
    RunEvents();
    if (m_ring.Depth() == 0) {
      m_manager.OnRingEmpty();
    }
  }

  void RunEvents() {
    while (!m_events.empty() && m_events.begin()->first <= clock.Now()) {
      const std::function<void()> event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
  }

  const std::chrono::microseconds m_message_cost;
  const RunTime m_run_time;
  core::BoundedRing<manager::Message> m_ring{kRingCapacity, nullptr,
                                             kUrgentRingCapacity};
  std::multimap<core::TimePoint, std::function<void()>> m_events;
  core::TimePoint m_next_tick;
  std::uint64_t m_revision = 100;
  std::vector<manager::StoreEvent> m_listed;
  std::map<core::InstanceId, WorkerState> m_workers;
  NullLogger m_logger;
  CountingMeter m_meter;
  RecordingTicketPort m_tickets;
  RecordingResponsePort m_responses;
  MockMachinePort m_machines;
  std::unique_ptr<trompeloeil::expectation> m_allow_machine_list =
      NAMED_ALLOW_CALL(m_machines, RequestMachineList());
  manager::JobManager m_manager{
      {{"leader", "1"}, {}, {}},
      {*this, *this, *this, *this, m_tickets, m_machines, m_responses, *this,
       clock, m_logger, m_meter}};
};

}  // namespace test

#endif  // TEST_MANAGER_MANAGER_FIXTURE_H_
