#ifndef CROCUSMAST_REQUEST_REQUEST_SPEC_H_
#define CROCUSMAST_REQUEST_REQUEST_SPEC_H_

#include <string_view>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"

namespace crocusmast::request {

/** @brief How soon a request has to start. */
enum class Urgency { kUrgent, kNormal, kDeferrable };

/** @brief The number of urgencies. */
inline constexpr int kUrgencyCount = 3;

/** @brief Whether running a request twice does harm. */
enum class Repeat { kRepeatable, kAtMostOnce };

/** @brief What a caller says of its request, without the body. */
struct RequestSpec {
  /** @brief The caller's id for the request. */
  core::RequestId id;
  /** @brief The plan that pays for it. */
  core::PlanId plan;
  /** @brief The kind of work. */
  core::KindId kind;
  /** @brief How soon it has to start. */
  Urgency urgency = Urgency::kNormal;
  /** @brief Whether it may run twice. */
  Repeat repeat = Repeat::kAtMostOnce;
  /** @brief After this nobody waits for the answer. */
  core::TimePoint deadline;
};

/**
 * @brief Names an urgency.
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
