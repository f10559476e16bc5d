#ifndef CROCUSMAST_REQUEST_REQUEST_SPEC_H_
#define CROCUSMAST_REQUEST_REQUEST_SPEC_H_

#include <string_view>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"

namespace crocusmast::request {

/** @brief How soon a request has to start. */
enum class Urgency { kUrgent, kNormal, kDeferrable };

/** @brief Number of urgency levels. */
inline constexpr int kUrgencyCount = 3;

/** @brief Whether a request may run more than once. */
enum class RetrySafety { kRepeatable, kAtMostOnce };

/** @brief Properties of a request, without the body. */
struct RequestSpec {
  /** @brief The request id, chosen by the caller. */
  core::RequestId id;
  /** @brief The plan that the request is charged to. */
  core::PlanId plan;
  /** @brief The kind of work. */
  core::KindId kind;
  /** @brief How soon it has to start. */
  Urgency urgency = Urgency::kNormal;
  /** @brief Whether it may run more than once. */
  RetrySafety retry_safety = RetrySafety::kAtMostOnce;
  /** @brief After this time the caller no longer waits for the answer. */
  core::TimePoint deadline;
};

/**
 * @brief Returns the name of an urgency.
 * @param urgency The urgency.
 */
constexpr std::string_view UrgencyName(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kDeferrable:
      return "deferrable";
  }
  return "unknown";
}

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_REQUEST_SPEC_H_
