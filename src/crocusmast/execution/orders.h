#ifndef CROCUSMAST_EXECUTION_ORDERS_H_
#define CROCUSMAST_EXECUTION_ORDERS_H_

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

/** @brief The incarnation of a worker that an order is for. */
struct Addressee {
  core::InstanceId worker;
  core::Incarnation incarnation;
  fleet::Endpoint address;
  /** @brief The sender's place among the holders of its duty. */
  core::FencingToken token;
};

/** @brief Starts a task; harmless when repeated with the same attempt. */
struct StartOrder {
  Addressee to;
  job::TaskId task;
  core::Attempt attempt;
  /** @brief Handed to the task as it is. */
  std::string payload;
  /** @brief Until when everything on the worker may run. */
  WorkerTime until;
  /** @brief Saved work to go on from; empty for none. */
  std::string checkpoint;
  /** @brief The permit of the queue's policy; empty for none. */
  std::string ticket;
};

/** @brief Stops a run, and keeps it from starting later. */
struct StopOrder {
  Addressee to;
  job::TaskId task;
  core::Attempt attempt;
};

/** @brief Slows a run down or lets it go on. */
struct PaceOrder {
  Addressee to;
  job::TaskId task;
  core::Attempt attempt;
  core::Percent share;
};

/** @brief Asks what runs and what has ended, and extends the lease. */
struct LookOrder {
  Addressee to;
  /** @brief Numbers the looks at this worker. */
  std::uint64_t sequence = 0;
  /** @brief Until when everything on the worker may run; absent: as it is. */
  std::optional<WorkerTime> until;
  /** @brief Ends up to this one have been recorded. */
  core::EndNumber recorded;
  /** @brief How long the answer may wait for an end. */
  std::chrono::milliseconds wait{};
};

/** @brief How a call to a worker went. */
enum class CallOutcome {
  kDone,
  /** @brief A holder with a higher token has been here. */
  kFenced,
  /** @brief This or a later run has ended here. */
  kOldAttempt,
  /** @brief The lease asked for had run out on arrival. */
  kLate,
  kNoRoom,
  kBadTicket,
  /** @brief The worker is not healthy and did nothing. */
  kUnhealthy,
  /** @brief The worker can't read the order. */
  kMalformed,
  /** @brief Another incarnation lives at the address. */
  kOtherIncarnation,
  /** @brief No connection; nothing was sent. */
  kNotSent,
  /** @brief No answer; it may have been done, or may be done later. */
  kUnknown,
};

/**
 * @brief Names an outcome for logs.
 * @param outcome The outcome.
 */
std::string_view OutcomeName(CallOutcome outcome);

/** @brief The answer to a start, stop or change of pace. */
struct CallReply {
  core::InstanceId worker;
  core::Incarnation incarnation;
  job::TaskId task;
  core::Attempt attempt;
  CallOutcome outcome = CallOutcome::kUnknown;
  /** @brief The worker's clock; absent without an answer. */
  std::optional<WorkerTime> clock;
};

/** @brief What a worker says of one run. */
struct RunReport {
  job::TaskId task;
  core::Attempt attempt;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /** @brief The tail of its response times, if it serves users. */
  std::chrono::milliseconds tail{};
};

/** @brief What a worker says of one end. */
struct EndReport {
  core::EndNumber number;
  job::TaskId task;
  core::Attempt attempt;
  job::RunEnd end = job::RunEnd::kLost;
  std::string checkpoint;
};

/** @brief The answer to a look. */
struct LookReply {
  core::InstanceId worker;
  /** @brief The life that was asked. */
  core::Incarnation incarnation;
  /** @brief The life that answered; absent if it does not say. */
  std::optional<core::Incarnation> answered_by;
  std::uint64_t sequence = 0;
  CallOutcome outcome = CallOutcome::kUnknown;
  std::optional<WorkerTime> clock;
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_ORDERS_H_
