#ifndef CROCUSMAST_ROUTING_SEND_REPORT_H_
#define CROCUSMAST_ROUTING_SEND_REPORT_H_

#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/request/outcome.h"

namespace crocusmast::routing {

/** @brief What an attempt showed of its destination. */
struct SendReport {
  /** @brief How the attempt ended. */
  request::Delivery delivery = request::Delivery::kUnknown;
  /** @brief The destination did not do its work: no answer, or a 5xx. */
  bool is_failure = false;
  /** @brief The destination asked for less work. */
  bool is_throttle = false;
  /** @brief The destination said that it leaves. */
  bool is_leaving = false;
  /** @brief How long the destination asked to be left alone. */
  core::Duration pause{};
  /** @brief How long the attempt took. */
  core::Duration latency{};
};

/** @brief A target's answer. */
struct Answer {
  /** @brief The HTTP status. */
  int status = 0;
  /** @brief The media type of the body. */
  std::string content_type;
  /** @brief The body. */
  std::string body;
};

/** @brief An attempt's report with the answer, if one came. */
struct SendResult {
  /** @brief What the attempt showed. */
  SendReport report;
  /** @brief The answer; whole if the delivery is answered. */
  Answer answer;
  /** @brief Why a peer did not answer. */
  request::Reason reason = request::Reason::kNone;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_SEND_REPORT_H_
