#ifndef CROCUSMAST_ROUTING_ATTEMPT_REPORT_H_
#define CROCUSMAST_ROUTING_ATTEMPT_REPORT_H_

#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/request/outcome.h"

namespace crocusmast::routing {

/** @brief The result of an attempt, without the answer. */
struct AttemptReport {
  /** @brief Whether the request ran. */
  request::DeliveryStatus delivery = request::DeliveryStatus::kUnknown;
  /** @brief True if the destination failed: no answer, or a 5xx status. */
  bool is_failure = false;
  /** @brief True if the destination asked for less load. */
  bool is_throttled = false;
  /** @brief True if the destination announced that it is leaving. */
  bool is_leaving = false;
  /** @brief Time for which the destination asked to receive no requests. */
  core::Duration backoff{};
  /** @brief Duration of the attempt. */
  core::Duration latency{};
};

/** @brief A target's answer. */
struct Answer {
  /** @brief The HTTP status. */
  int status = 0;
  /** @brief The media type of the body. */
  std::string content_type;
  /** @brief The response body. */
  std::string body;
};

/** @brief The result of an attempt, with the answer if there is one. */
struct AttemptResult {
  /** @brief The result without the answer. */
  AttemptReport report;
  /** @brief The answer; complete if the delivery status is kAnswered. */
  Answer answer;
  /** @brief Why the peer did not answer; kNone if the reason is unknown. */
  request::Reason reason = request::Reason::kNone;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_ATTEMPT_REPORT_H_
