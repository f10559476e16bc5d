#ifndef CROCUSMAST_REQUEST_HISTORY_H_
#define CROCUSMAST_REQUEST_HISTORY_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/request/outcome.h"

namespace crocusmast::request {

/** @brief What was decided about a request. */
enum class DecisionKind {
  kQueued,
  kClaimed,
  kSent,
  kForwarded,
  kRetried,
  kAnswered,
  kRefused,
  kUnknown,
};

/**
 * @brief Names a kind of decision.
 * @param kind The kind.
 */
std::string_view DecisionName(DecisionKind kind);

/** @brief One decision about one request. */
struct Decision {
  /** @brief The request. */
  core::RequestId request;
  /** @brief The plan. */
  core::PlanId plan;
  /** @brief What was decided. */
  DecisionKind kind = DecisionKind::kQueued;
  /** @brief The target or peer; empty if there is none. */
  core::InstanceId destination;
  /** @brief Why, where the request was not answered. */
  Reason reason = Reason::kNone;
  /** @brief When. */
  core::WallTime at;
};

/**
 * @brief Puts a decision into a short sentence.
 * @param decision The decision.
 */
std::string Describe(const Decision& decision);

/** @brief Keeps the latest decisions of an entry instance. */
class DecisionHistory {
 public:
  /** @brief How many decisions are kept. */
  static constexpr std::size_t kCapacity = 16384;

  /**
   * @brief Keeps a decision, and forgets the oldest if there are too many.
   * @param decision The decision.
   */
  void Add(Decision decision);

  /**
   * @brief Finds the decisions about a request.
   * @param request The request.
   * @return The decisions, oldest first; empty if none is kept.
   */
  std::vector<Decision> Find(const core::RequestId& request) const;

 private:
  std::deque<Decision> m_decisions;
};

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_HISTORY_H_
