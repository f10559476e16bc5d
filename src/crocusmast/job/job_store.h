#ifndef CROCUSMAST_JOB_JOB_STORE_H_
#define CROCUSMAST_JOB_JOB_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/batch_id.h"
#include "crocusmast/job/job_catalog.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/progress.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::job {

/** @brief Identifies an exchange with a caller, one request and its response,
 * within one process. */
using ExchangeId = core::Quantity<struct ExchangeTag>;

/** @brief Outcome of a call to the store. */
enum class StoreOutcome {
  kDone,
  /** @brief The condition failed: the key exists or has changed. */
  kConflict,
  /** @brief The key does not exist. */
  kAbsent,
  /** @brief The store rejected the call or was not reached; nothing changed. */
  kRefused,
  /** @brief No reply; the call may have taken effect, or may do so later. */
  kUnknown,
};

/**
 * @brief Returns the name of an outcome for logs.
 * @param outcome The outcome.
 */
constexpr std::string_view StoreOutcomeName(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kAbsent:
      return "absent";
    case StoreOutcome::kRefused:
      return "refused";
    case StoreOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/** @brief Why a call to the store was not confirmed. */
enum class StoreFailure {
  kNone,
  /** @brief No byte of the call was sent. */
  kNotSent,
  /** @brief The store answered that it did not execute the call. */
  kRejected,
  /** @brief The connection broke after the call was sent. */
  kConnectionLost,
  /** @brief The call was sent and not answered in time. */
  kTimedOut,
  /** @brief The answer was not valid. */
  kInvalidReply,
};

/**
 * @brief Returns the name of a failure for logs.
 * @param failure The failure.
 */
constexpr std::string_view StoreFailureName(StoreFailure failure) {
  switch (failure) {
    case StoreFailure::kNone:
      return "none";
    case StoreFailure::kNotSent:
      return "not sent";
    case StoreFailure::kRejected:
      return "rejected";
    case StoreFailure::kConnectionLost:
      return "connection lost";
    case StoreFailure::kTimedOut:
      return "timed out";
    case StoreFailure::kInvalidReply:
      return "invalid reply";
  }
  return "none";
}

/** @brief Reply to JobStore::Create and JobStore::Cancel. */
struct JobWriteReply {
  ExchangeId exchange;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /** @brief Store revision of the write; 0 unless it is known to be done. */
  core::Revision revision{};
  /** @brief Why the write is not confirmed, for logs. */
  StoreFailure failure = StoreFailure::kNone;
};

/** @brief Reply to JobStore::Read. */
struct JobReadReply {
  ExchangeId exchange;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /** @brief Events that describe the stored state of the job, in order. */
  std::vector<JobEvent> events;
};

/** @brief A worker that may hold a lease of this leader. */
struct LeasedWorker {
  core::InstanceId worker;
  core::Incarnation incarnation;
  core::PoolId pool;
  /** @brief Upper bound for how long its runs may outlive the leader's term. */
  std::chrono::milliseconds lease_remaining{};
};

/** @brief Machines of a maintenance wave whose maintenance has begun. */
struct WaveProgress {
  core::WaveNumber wave;
  std::vector<core::MachineId> started_machines;
};

/** @brief Number of machines of a pool when none is lent to another pool. */
struct PoolSize {
  core::PoolId pool;
  std::uint32_t machines = 0;
};

/** @brief A machine that another leader must not send commands to yet. */
struct MachineCooldown {
  core::MachineId machine;
  std::chrono::milliseconds cooldown_remaining{};
};

/** @brief The part of the handover state that describes machines. */
struct FleetHandover {
  /** @brief Maintenance waves in progress. */
  std::vector<WaveProgress> waves;
  /** @brief Pool sizes; empty before the machines were first listed. */
  std::vector<PoolSize> pools;
  /** @brief Machines in cooldown after their last command; absent unless the
   * leader resigned. */
  std::optional<std::vector<MachineCooldown>> machine_cooldowns;
};

/** @brief A start command without a reply that a worker may still execute. */
struct OpenStart {
  TaskId task;
  core::Attempt attempt;
  /** @brief The worker that it was sent to. */
  core::InstanceId worker;
  /** @brief How much longer it may be executed. */
  std::chrono::milliseconds executable_for{};
  /** @brief After how long a run that it began on an incarnation which the
   * leader does not know has ended for certain. */
  std::chrono::milliseconds settled_in{};
};

/** @brief State that a leader stores for its successor, besides the jobs. */
struct HandoverState {
  /** @brief Workers that may hold leases. */
  std::vector<LeasedWorker> workers;
  FleetHandover fleet;
  /** @brief The stored placements of long-running tasks and pools of jobs are
   * current: no leader that does not store them has led since. */
  bool has_current_placements = false;
  /** @brief Start commands that may still be executed. */
  std::vector<OpenStart> open_starts{};
  /** @brief They include those in flight: the leader has resigned. */
  bool has_all_open_starts = false;
  /** @brief The leader that stored it; 0 for one of a version that stores no
   * CommandedMachines. */
  core::FencingToken leader{};
};

/**
 * @brief Machines that a leader may have commanded recently, or may command.
 *
 * Stored before each command, so that it contains all machines that a leader
 * which was lost may have commanded.
 */
struct CommandedMachines {
  /** @brief The leader that stored it. */
  core::FencingToken leader;
  /** @brief Machines with commands that may still be sent or executed. */
  std::vector<core::MachineId> open;
  /** @brief Further machines, whose commands have all been answered, with the
   * times for which the next leader must not command them. */
  std::vector<MachineCooldown> answered;
  /** @brief An earlier leader may have commanded any machine. */
  bool may_include_others = false;
};

/** @brief State that a new leader reads of its predecessor. */
struct StoredHandover {
  HandoverState handover;
  /** @brief Store revision of the last commit; 0 for none. */
  core::Revision last_commit;
  /** @brief Store revision of the handover state; 0 for none. */
  core::Revision revision{};
  /** @brief The machines that the last leader which stores them commanded;
   * absent if there is none, or it can't be decoded. */
  std::optional<CommandedMachines> commanded_machines{};

  /**
   * @brief Returns the machines that the leader which stored the handover state
   * may have commanded; null if it may have commanded any.
   */
  const CommandedMachines* MachinesCommandedByLeader() const {
    const bool is_known = commanded_machines &&
                          handover.leader != core::FencingToken() &&
                          commanded_machines->leader == handover.leader;
    return is_known ? &*commanded_machines : nullptr;
  }
};

/**
 * @brief Progress of one job to store.
 *
 * For a job in a final state only the state is stored.
 */
struct ProgressWrite {
  core::JobId id;
  core::QueueId queue;
  JobProgress progress;
  /** @brief A record of this job's progress alone may be stored. */
  bool may_have_own_record = true;
};

/** @brief The progress of several jobs, stored in one record. */
struct ProgressBatch {
  BatchId id;
  std::vector<ProgressWrite> progress;
};

/** @brief Writes of the leader in one atomic transaction. */
struct Commit {
  /** @brief Sequence number among the commits of this process. */
  std::uint64_t sequence = 0;
  /** @brief The leader's fencing token; commits of a deposed leader fail. */
  core::FencingToken token;
  /** @brief Expected revision of the last commit; the commit fails if another
   * one was stored since. */
  core::Revision expected_last_commit;
  /** @brief Progress that is stored in a record for each job. */
  std::vector<ProgressWrite> progress;
  /** @brief Progress of further jobs; absent for none. */
  std::optional<ProgressBatch> batch;
  /** @brief Batches that hold the latest progress of no job any more. */
  std::vector<BatchId> removed_batches;
  /** @brief New handover state; absent to leave it unchanged. */
  std::optional<HandoverState> handover;
  /** @brief Machines that the leader commands; absent to leave it unchanged. */
  std::optional<CommandedMachines> commanded_machines;
};

/** @brief Reply to a commit. */
struct CommitReply {
  std::uint64_t sequence = 0;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /** @brief Store revision of this commit; after a conflict, that of the commit
   * found in the store. */
  core::Revision revision;
  /** @brief After a conflict: the leader's claim is still valid. */
  bool is_still_leader = true;
};

/** @brief Reply to JobStore::HandOver. */
struct HandoverReply {
  /** @brief Fencing token of the term that was to be handed over. */
  core::FencingToken token;
  /** @brief kConflict if the caller no longer leads, or an earlier call for the
   * same term took effect. */
  StoreOutcome outcome = StoreOutcome::kUnknown;
};

/** @brief Stores jobs; replies arrive as messages. */
class JobStore {
 public:
  virtual ~JobStore() = default;
  /** @brief Stores a job if its id is new; replies with JobWriteReply. */
  virtual void Create(ExchangeId exchange, const AcceptedJob& job) = 0;
  /** @brief Stores the cancellation of a job; replies with JobWriteReply. */
  virtual void Cancel(ExchangeId exchange, const core::JobId& id) = 0;
  /** @brief Reads a job; replies with JobReadReply. */
  virtual void Read(ExchangeId exchange, const core::JobId& id) = 0;
  /** @brief Stores a commit of the leader; replies with CommitReply. */
  virtual void Write(Commit commit) = 0;
  /**
   * @brief Stores the final handover state and removes the leader's claim;
   * replies with HandoverReply.
   * @param token The leader's fencing token.
   * @param handover The handover state.
   */
  virtual void HandOver(core::FencingToken token,
                        const HandoverState& handover) = 0;
  /**
   * @brief Sets how often the store is polled for changes.
   *
   * The leader polls often, since it starts new jobs; other instances only show
   * them.
   * @param is_fast True to poll at the leader's interval.
   */
  virtual void SetFastPolling(bool is_fast) = 0;
  /** @brief Reloads the complete store; replies with all jobs and the handover
   * state. */
  virtual void Refresh() = 0;
  /**
   * @brief Removes ended jobs from the store; no reply.
   * @param token The leader's fencing token.
   * @param ids The jobs.
   */
  virtual void Remove(core::FencingToken token,
                      const std::vector<core::JobId>& ids) = 0;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_STORE_H_
