#include "crocusmast/execution/assigned_run.h"

namespace crocusmast::execution {

std::string_view StartStateName(StartState state) {
  switch (state) {
    case StartState::kUnsent:
      return "unsent";
    case StartState::kInFlight:
      return "in flight";
    case StartState::kUnanswered:
      return "unanswered";
    case StartState::kConfirmed:
      return "confirmed";
    case StartState::kListed:
      return "listed";
    case StartState::kRejected:
      return "rejected";
  }
  return "unknown";
}

}  // namespace crocusmast::execution
