#include "crocusmast/execution/commands.h"

namespace crocusmast::execution {

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kStaleAttempt:
      return "old attempt";
    case CallOutcome::kLeaseExpiredOnArrival:
      return "late";
    case CallOutcome::kInsufficientResources:
      return "no room";
    case CallOutcome::kInvalidTicket:
      return "bad ticket";
    case CallOutcome::kUnhealthy:
      return "unhealthy";
    case CallOutcome::kMalformed:
      return "malformed";
    case CallOutcome::kIncarnationMismatch:
      return "other incarnation";
    case CallOutcome::kNotSent:
      return "not sent";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace crocusmast::execution
