#ifndef CROCUSMAST_REQUEST_OUTCOME_H_
#define CROCUSMAST_REQUEST_OUTCOME_H_

#include <string_view>

namespace crocusmast::request {

/** @brief The outcome of a request, as returned to the caller. */
enum class Outcome {
  /** @brief A target answered, and the answer is complete. */
  kAnswered,
  /** @brief The request did not run. */
  kRefused,
  /** @brief The request may have run. */
  kUnknown,
};

/** @brief How an attempt at a target or peer ended. */
enum class DeliveryStatus {
  /** @brief The complete answer arrived. */
  kAnswered,
  /** @brief The request certainly did not run there. */
  kNotRun,
  /** @brief The request may have run there. */
  kUnknown,
};

/** @brief Why a request was not answered. */
enum class Reason {
  /** @brief No reason is given. */
  kNone,
  /** @brief The request is malformed. */
  kBadRequest,
  /** @brief The plan does not exist. */
  kUnknownPlan,
  /** @brief The plan does not allow this kind of work. */
  kNoAllowance,
  /** @brief An entry instance is overloaded. */
  kOverloaded,
  /** @brief The queue of the pool, or of the plan and kind, is full. */
  kQueueFull,
  /** @brief No target or peer could be reached. */
  kNoTargets,
  /**
   * @brief The deadline had passed on arrival, or passed while the request
   * waited.
   */
  kDeadline,
  /** @brief No further attempt is allowed. */
  kAttempts,
  /** @brief The retry budget is exhausted. */
  kRetryBudget,
  /** @brief An attempt ended without an answer, and may have run. */
  kLostAnswer,
  /** @brief Another request has claimed the request id. */
  kDuplicate,
  /** @brief The request id could not be claimed. */
  kClaimFailed,
  /** @brief The entry instance is draining. */
  kDraining,
};

/**
 * @brief Returns the name of an outcome, as used in the response header.
 * @param outcome The outcome.
 */
constexpr std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/**
 * @brief Returns the name of a reason, as used in the response header.
 * @param reason The reason.
 */
constexpr std::string_view ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kBadRequest:
      return "bad-request";
    case Reason::kUnknownPlan:
      return "unknown-plan";
    case Reason::kNoAllowance:
      return "no-allowance";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kQueueFull:
      return "queue-full";
    case Reason::kNoTargets:
      return "no-targets";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kAttempts:
      return "attempts";
    case Reason::kRetryBudget:
      return "retry-budget";
    case Reason::kLostAnswer:
      return "lost-answer";
    case Reason::kDuplicate:
      return "duplicate";
    case Reason::kClaimFailed:
      return "claim-failed";
    case Reason::kDraining:
      return "draining";
  }
  return "none";
}

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_OUTCOME_H_
