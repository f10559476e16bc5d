#ifndef TEST_SUPPORT_PORT_FAKES_H_
#define TEST_SUPPORT_PORT_FAKES_H_

#include <map>
#include <string>
#include <trompeloeil.hpp>
#include <vector>

#include "crocusmast/execution/worker_port.h"
#include "crocusmast/intake/messages.h"
#include "crocusmast/job/job.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/leadership/lease_port.h"
#include "crocusmast/queue/queue_catalog.h"
#include "crocusmast/scheduling/messages.h"
#include "crocusmast/scheduling/ticket_port.h"
#include "crocusmast/upkeep/machine_port.h"
#include "crocusmast/upkeep/worker_drain_port.h"
#include "test/support/factories.h"

namespace test {

namespace core = crocusmast::core;
namespace execution = crocusmast::execution;
namespace intake = crocusmast::intake;
namespace job = crocusmast::job;
namespace leadership = crocusmast::leadership;
namespace queue = crocusmast::queue;
namespace scheduling = crocusmast::scheduling;
namespace upkeep = crocusmast::upkeep;

/** @brief Records the commands to workers; the test supplies the replies. */
class RecordingWorkerPort final : public execution::WorkerPort {
 public:
  void Start(execution::StartCommand command) override {
    starts.push_back(std::move(command));
  }
  void Stop(execution::StopCommand command) override {
    stops.push_back(std::move(command));
  }
  void SetCpuShare(execution::CpuShareCommand command) override {
    cpu_share_commands.push_back(std::move(command));
  }
  void PollStatus(execution::PollCommand command) override {
    polls.push_back(std::move(command));
  }

  std::vector<execution::StartCommand> starts;
  std::vector<execution::StopCommand> stops;
  std::vector<execution::CpuShareCommand> cpu_share_commands;
  std::vector<execution::PollCommand> polls;
};

/** @brief Records the calls to the job store; the test supplies the replies. */
class RecordingJobStore final : public job::JobStore {
 public:
  void Create(job::ExchangeId exchange, const job::AcceptedJob& job) override {
    created.emplace_back(exchange, job);
  }
  void Cancel(job::ExchangeId exchange, const core::JobId& id) override {
    cancelled.emplace_back(exchange, id);
  }
  void Read(job::ExchangeId exchange, const core::JobId& id) override {
    read.emplace_back(exchange, id);
  }
  void Write(job::Commit commit) override {
    commits.push_back(std::move(commit));
  }
  void HandOver(core::FencingToken token,
                const job::HandoverState& handover) override {
    last_handover = handover;
    ++handover_calls;
  }
  void SetFastPolling(bool is_fast) override {}
  void Refresh() override { ++refreshes; }
  void Remove(core::FencingToken token,
              const std::vector<core::JobId>& ids) override {
    removed.insert(removed.end(), ids.begin(), ids.end());
  }

  /** @brief The jobs of the calls to Create(). */
  std::vector<std::pair<job::ExchangeId, job::AcceptedJob>> created;
  /** @brief The jobs of the calls to Cancel(). */
  std::vector<std::pair<job::ExchangeId, core::JobId>> cancelled;
  /** @brief The jobs of the calls to Read(). */
  std::vector<std::pair<job::ExchangeId, core::JobId>> read;
  std::vector<job::Commit> commits;
  std::vector<core::JobId> removed;
  job::HandoverState last_handover;
  int handover_calls = 0;
  int refreshes = 0;
};

class MockLeasePort : public leadership::LeasePort {
 public:
  MAKE_MOCK1(RequestLease, void(std::chrono::milliseconds), override);
  MAKE_MOCK2(ClaimLeadership,
             void(const leadership::HolderIdentity&, leadership::LeaseId),
             override);
  MAKE_MOCK1(Renew, void(leadership::LeaseId), override);
  MAKE_MOCK1(Release, void(leadership::LeaseId), override);
  MAKE_MOCK1(RevokeClaim, void(core::Revision), override);
};

/** @brief Records the requests for tickets; the test supplies the replies. */
class RecordingTicketPort final : public scheduling::TicketPort {
 public:
  void RequestTickets(const scheduling::StepId& step,
                      const std::vector<core::InstanceId>& workers) override {
    ticket_requests.emplace_back(step, workers);
  }
  std::vector<std::pair<scheduling::StepId, std::vector<core::InstanceId>>>
      ticket_requests;
};

class MockWorkerWatch : public scheduling::WorkerWatch {
 public:
  MAKE_MOCK0(Subscribe, void(), override);
  MAKE_MOCK0(Unsubscribe, void(), override);
};

class MockMachinePort : public upkeep::MachinePort {
 public:
  MAKE_MOCK0(RequestMachineList, void(), override);
  MAKE_MOCK3(Move,
             void(core::FencingToken,
                  const core::MachineId&,
                  const core::PoolId&),
             override);
  MAKE_MOCK3(TakeDown,
             void(core::FencingToken, const core::MachineId&, core::WaveNumber),
             override);
  MAKE_MOCK3(WriteWaveStatus,
             void(core::FencingToken, core::WaveNumber, bool),
             override);
};

class MockWorkerDrainPort : public upkeep::WorkerDrainPort {
 public:
  MAKE_CONST_MOCK1(UsageOf,
                   upkeep::WorkerUsage(const core::InstanceId&),
                   override);
  MAKE_MOCK1(DrainWorker, void(const core::InstanceId&), override);
  MAKE_CONST_MOCK1(IsConfirmedIdle, bool(const core::InstanceId&), override);
};

/** @brief Records the responses to callers. */
class RecordingResponsePort final : public intake::ResponsePort {
 public:
  void Send(intake::JobResponse response) override {
    responses.push_back(std::move(response));
  }
  std::vector<intake::JobResponse> responses;
};

/**
 * @brief Makes a step without checkpoints whose tasks take one second.
 * @param count The number of tasks.
 * @param processor The processor share of a task, in thousandths of a core.
 * @param depends_on The indexes of the steps that must end first.
 */
inline job::Step MakeStep(std::uint32_t count,
                          std::uint64_t processor = 1000,
                          std::vector<std::uint32_t> depends_on = {}) {
  job::Step step;
  step.count = count;
  step.resources = {core::MilliCores(processor), core::Megabytes(100),
                    core::Accelerators(0)};
  step.estimate = std::chrono::seconds(1);
  step.depends_on = std::move(depends_on);
  return step;
}

/**
 * @brief Makes an accepted job.
 * @param id The job's id.
 * @param steps The steps of the job.
 * @param queue_id The id of the job's queue.
 */
inline job::AcceptedJob MakeJob(const std::string& id,
                                std::vector<job::Step> steps,
                                const std::string& queue_id = "queue") {
  job::AcceptedJob job;
  job.id = MakeId<core::JobId>(id);
  job.queue = MakeId<core::QueueId>(queue_id);
  job.spec.payload = "payload of " + id;
  job.spec.steps = std::move(steps);
  return job;
}

/**
 * @brief Makes a configuration with one queue and its pool.
 * @param version The version of the configuration.
 * @param needs_tickets Whether tasks of the queue need a ticket.
 */
inline queue::QueueCatalog MakeQueueCatalog(std::uint64_t version = 1,
                                            bool needs_tickets = false) {
  queue::Queue queue;
  queue.id = MakeId<core::QueueId>("queue");
  queue.host = "host.example";
  queue.prefix = "/jobs/";
  queue.pool = MakeId<core::PoolId>("pool");
  queue.max_attempts = 3;
  queue.slack_factor = 2;
  queue.slack = std::chrono::milliseconds(600);
  if (needs_tickets) {
    queue.tickets = queue::TicketPolicy{std::chrono::seconds(3)};
  }
  queue::Pool pool;
  pool.id = queue.pool;
  pool.enforces_capacity = true;
  return queue::QueueCatalog(core::Revision(version), {queue}, {pool}, {});
}

/**
 * @brief Makes a worker of the pool that MakeQueueCatalog() defines.
 * @param id The worker's id.
 * @param incarnation Its incarnation.
 * @param processor Its processor capacity, in thousandths of a core.
 */
inline execution::WorkerRecord MakeWorker(const std::string& id,
                                          std::uint64_t incarnation = 1,
                                          std::uint64_t processor = 4000) {
  execution::WorkerRecord worker;
  worker.id = MakeId<core::InstanceId>(id);
  worker.incarnation = core::Incarnation(incarnation);
  worker.pool = MakeId<core::PoolId>("pool");
  worker.zone = MakeId<core::ZoneId>("zone");
  worker.address = {"127.0.0.1", 1};
  worker.capacity = {core::MilliCores(processor), core::Megabytes(10000),
                     core::Accelerators(0)};
  worker.labels = {"kind", "rack-1"};
  worker.clock = execution::WorkerTime(std::chrono::seconds(10));
  return worker;
}

}  // namespace test

#endif  // TEST_SUPPORT_PORT_FAKES_H_
