#include "crocusmast/execution/commands.h"

#include <algorithm>

namespace crocusmast::execution {

std::string_view WorkerCallOutcomeName(WorkerCallOutcome outcome) {
  switch (outcome) {
    case WorkerCallOutcome::kDone:
      return "done";
    case WorkerCallOutcome::kFenced:
      return "fenced";
    case WorkerCallOutcome::kStaleAttempt:
      return "old attempt";
    case WorkerCallOutcome::kLeaseExpiredOnArrival:
      return "late";
    case WorkerCallOutcome::kInsufficientResources:
      return "no room";
    case WorkerCallOutcome::kInvalidTicket:
      return "bad ticket";
    case WorkerCallOutcome::kUnhealthy:
      return "unhealthy";
    case WorkerCallOutcome::kMalformed:
      return "malformed";
    case WorkerCallOutcome::kIncarnationMismatch:
      return "other incarnation";
    case WorkerCallOutcome::kNotSent:
      return "not sent";
    case WorkerCallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool PollReply::IsRunning(const job::TaskId& task,
                          core::Attempt attempt) const {
  return std::any_of(running.begin(), running.end(),
                     [&](const RunReport& report) {
                       return report.attempt == attempt && report.task == task;
                     });
}

}  // namespace crocusmast::execution
