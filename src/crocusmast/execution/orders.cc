#include "crocusmast/execution/orders.h"

namespace crocusmast::execution {

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kOldAttempt:
      return "old attempt";
    case CallOutcome::kLate:
      return "late";
    case CallOutcome::kNoRoom:
      return "no room";
    case CallOutcome::kBadTicket:
      return "bad ticket";
    case CallOutcome::kUnhealthy:
      return "unhealthy";
    case CallOutcome::kMalformed:
      return "malformed";
    case CallOutcome::kOtherIncarnation:
      return "other incarnation";
    case CallOutcome::kNotSent:
      return "not sent";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace crocusmast::execution
