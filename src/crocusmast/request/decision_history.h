#ifndef CROCUSMAST_REQUEST_DECISION_HISTORY_H_
#define CROCUSMAST_REQUEST_DECISION_HISTORY_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/request/outcome.h"

namespace crocusmast::request {

/** @brief The kinds of decisions about a request. */
enum class DecisionKind {
  /** @brief The request waits for a slot. */
  kQueued,
  /** @brief A replica stores the claim on the request id. */
  kClaimed,
  /** @brief The request is sent to a target. */
  kSent,
  /** @brief The request is forwarded to a peer. */
  kForwarded,
  /** @brief The request is to be sent again. */
  kRetried,
  /** @brief The answer is returned to the caller. */
  kAnswered,
  /** @brief The caller is told that the request did not run. */
  kRefused,
  /** @brief The caller is told that the request may have run. */
  kUnknown,
};

/**
 * @brief Returns the name of a kind of decision.
 * @param kind The kind.
 */
std::string_view DecisionName(DecisionKind kind);

/** @brief A decision about a request. */
struct Decision {
  /** @brief The request. */
  core::RequestId request;
  /** @brief The plan. */
  core::PlanId plan;
  /** @brief The kind of decision. */
  DecisionKind kind = DecisionKind::kQueued;
  /**
   * @brief The target or peer, or the replica of a claim; empty if there is
   * none.
   */
  core::InstanceId destination;
  /** @brief Why the request was not answered, if so. */
  Reason reason = Reason::kNone;
  /** @brief When it was decided. */
  core::WallTime at;
};

/**
 * @brief Describes a decision in a sentence, for the log and for operators.
 * @param decision The decision.
 */
std::string Describe(const Decision& decision);

/** @brief Stores the latest decisions of an entry instance. */
class DecisionHistory {
 public:
  /** @brief Number of decisions that are stored. */
  static constexpr std::size_t kCapacity = 16384;

  /**
   * @brief Stores a decision, and removes the oldest one if there are too many.
   * @param decision The decision.
   */
  void Add(Decision decision);

  /**
   * @brief Returns the stored decisions about a request.
   * @param request The request.
   * @return The decisions, oldest first; empty if none is stored.
   */
  std::vector<Decision> Find(const core::RequestId& request) const;

 private:
  std::deque<Decision> m_decisions;
};

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_DECISION_HISTORY_H_
