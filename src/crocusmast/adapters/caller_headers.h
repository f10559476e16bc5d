#ifndef CROCUSMAST_ADAPTERS_CALLER_HEADERS_H_
#define CROCUSMAST_ADAPTERS_CALLER_HEADERS_H_

#include <string>

#include "crocusmast/core/error.h"
#include "crocusmast/request/request_spec.h"

namespace crocusmast::adapters {

/** @brief Headers of a caller's request, as text. */
struct CallerHeaders {
  /** @brief Crocusmast-Request-Id. */
  std::string request_id;
  /** @brief Crocusmast-Plan. */
  std::string plan;
  /** @brief Crocusmast-Kind. */
  std::string kind;
  /** @brief Crocusmast-Urgency; empty for normal. */
  std::string urgency;
  /** @brief Crocusmast-Repeatable; empty for no. */
  std::string repeatable;
  /** @brief Crocusmast-Deadline-Ms; empty for the default. */
  std::string deadline_ms;
};

/** @brief Deadline of a request whose caller sets none. */
inline constexpr std::chrono::milliseconds kDefaultDeadline{10000};
/** @brief Longest deadline that a caller may set. */
inline constexpr std::chrono::milliseconds kMaxDeadline{600000};

/**
 * @brief Parses and validates a caller's headers.
 * @param headers The headers.
 * @param now Current time, from which the deadline counts.
 * @return The request specification, or an error that names the header, its
 * value and the allowed values.
 */
core::Result<request::RequestSpec> ParseCallerHeaders(
    const CallerHeaders& headers,
    core::TimePoint now);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CALLER_HEADERS_H_
