#ifndef CROCUSMAST_EXECUTION_COMMANDS_H_
#define CROCUSMAST_EXECUTION_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/execution/worker_clock.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/job/job.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::execution {

/** @brief The worker incarnation that a command is addressed to. */
struct CommandDestination {
  core::InstanceId worker;
  core::Incarnation incarnation;
  fleet::Endpoint address;
  /** @brief Fencing token of the sender's leadership term. */
  core::FencingToken token;
};

/** @brief Starts a task; idempotent for the same attempt. */
struct StartCommand {
  CommandDestination to;
  job::TaskId task;
  core::Attempt attempt;
  /** @brief Opaque input, passed to the task unchanged. */
  std::string payload;
  /** @brief End of the lease under which all runs on the worker execute. */
  WorkerTime lease_until;
  /** @brief Checkpoint to resume from; empty for none. */
  std::string checkpoint;
  /** @brief Ticket issued by the queue's placement policy; empty for none. */
  std::string ticket;
};

/** @brief Stops a run, and prevents a delayed start of the same attempt. */
struct StopCommand {
  CommandDestination to;
  job::TaskId task;
  core::Attempt attempt;
};

/** @brief Sets the share of processor time that a best-effort run may use. */
struct CpuShareCommand {
  CommandDestination to;
  job::TaskId task;
  core::Attempt attempt;
  core::Percent share;
};

/** @brief Polls active and ended runs, and extends the worker's lease. */
struct PollCommand {
  CommandDestination to;
  /** @brief Sequence number among the polls of this worker. */
  std::uint64_t sequence = 0;
  /** @brief New end of the worker's lease; absent to leave it unchanged. */
  std::optional<WorkerTime> lease_until;
  /** @brief Ended runs up to this number are recorded in the store. */
  core::RunEndNumber recorded;
  /** @brief How long the worker may delay its reply until a run ends. */
  std::chrono::milliseconds max_wait{};
};

/** @brief Outcome of a call to a worker. */
enum class WorkerCallOutcome {
  kDone,
  /** @brief The worker has seen a higher fencing token. */
  kFenced,
  /** @brief This attempt or a later one has already ended on the worker. */
  kStaleAttempt,
  /** @brief The requested lease had expired when the command arrived. */
  kLeaseExpiredOnArrival,
  kInsufficientResources,
  kInvalidTicket,
  /** @brief The worker is unhealthy and did not execute the command. */
  kUnhealthy,
  /** @brief The worker could not parse the command. */
  kMalformed,
  /** @brief Another incarnation replied at the address. */
  kIncarnationMismatch,
  /** @brief No connection was made; the command was not sent. */
  kNotSent,
  /** @brief No reply; the command may have been executed, or may be later. */
  kUnknown,
};

/**
 * @brief Returns the name of an outcome for logs.
 * @param outcome The outcome.
 */
std::string_view WorkerCallOutcomeName(WorkerCallOutcome outcome);

/** @brief Reply to a start, stop or CPU share command. */
struct WorkerCommandReply {
  core::InstanceId worker;
  core::Incarnation incarnation;
  job::TaskId task;
  core::Attempt attempt;
  WorkerCallOutcome outcome = WorkerCallOutcome::kUnknown;
  /** @brief Reading of the worker's clock; absent without a reply. */
  std::optional<WorkerTime> clock;
};

/** @brief A worker's report of one active run. */
struct RunReport {
  job::TaskId task;
  core::Attempt attempt;
  /** @brief Latest checkpoint; empty for none. */
  std::string checkpoint;
  /** @brief Progress in per cent; of a long-running task its speed. */
  std::uint32_t percent = 0;
  /** @brief Tail latency of its responses, if it serves requests. */
  std::chrono::milliseconds tail_latency{};
};

/** @brief A worker's report of one ended run. */
struct EndedRunReport {
  /** @brief Number of the end among those of the worker incarnation. */
  core::RunEndNumber number;
  job::TaskId task;
  core::Attempt attempt;
  job::RunOutcome outcome = job::RunOutcome::kLost;
  /** @brief Latest checkpoint; empty for none. */
  std::string checkpoint;
};

/** @brief Reply to a poll. */
struct PollReply {
  core::InstanceId worker;
  /** @brief The incarnation that was polled. */
  core::Incarnation incarnation;
  /** @brief The incarnation that replied; absent if not reported. */
  std::optional<core::Incarnation> replying_incarnation;
  /** @brief Sequence number of the poll. */
  std::uint64_t sequence = 0;
  WorkerCallOutcome outcome = WorkerCallOutcome::kUnknown;
  /** @brief Reading of the worker's clock; absent without a reply. */
  std::optional<WorkerTime> clock;
  /** @brief All runs that are active on the worker. */
  std::vector<RunReport> running;
  /** @brief Ended runs that are not acknowledged yet, in the order of their
   * numbers. */
  std::vector<EndedRunReport> ended;
  /** @brief No ended run was left out; otherwise a run in neither list may have
   * ended. */
  bool lists_all_ends = true;

  /**
   * @brief Tells whether it lists a run as active.
   * @param task The task.
   * @param attempt The attempt.
   */
  bool IsRunning(const job::TaskId& task, core::Attempt attempt) const;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_COMMANDS_H_
