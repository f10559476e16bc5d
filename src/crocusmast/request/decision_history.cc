#include "crocusmast/request/decision_history.h"

#include <utility>

namespace crocusmast::request {

std::string_view DecisionName(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kQueued:
      return "queued";
    case DecisionKind::kClaimed:
      return "claimed";
    case DecisionKind::kSent:
      return "sent";
    case DecisionKind::kForwarded:
      return "forwarded";
    case DecisionKind::kRetried:
      return "retried";
    case DecisionKind::kAnswered:
      return "answered";
    case DecisionKind::kRefused:
      return "refused";
    case DecisionKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

namespace internal {

std::string Preposition(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kSent:
    case DecisionKind::kForwarded:
      return " to ";
    case DecisionKind::kUnknown:
    case DecisionKind::kClaimed:
      return " at ";
    default:
      return " by ";
  }
}

}  // namespace internal

std::string Describe(const Decision& decision) {
  std::string sentence = "Request " + decision.request.Text() + " of plan " +
                         decision.plan.Text() + " is " +
                         std::string(DecisionName(decision.kind));
  if (!decision.destination.IsEmpty()) {
    sentence +=
        internal::Preposition(decision.kind) + decision.destination.Text();
  }
  if (decision.reason != Reason::kNone) {
    sentence += " (" + std::string(ReasonName(decision.reason)) + ")";
  }
  return sentence + ".";
}

void DecisionHistory::Add(Decision decision) {
  m_decisions.push_back(std::move(decision));
  if (m_decisions.size() > kCapacity) {
    m_decisions.pop_front();
  }
}

std::vector<Decision> DecisionHistory::Find(
    const core::RequestId& request) const {
  std::vector<Decision> found;
  for (const Decision& decision : m_decisions) {
    if (decision.request == request) {
      found.push_back(decision);
    }
  }
  return found;
}

}  // namespace crocusmast::request
