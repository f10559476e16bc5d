#ifndef CROCUSMAST_ADAPTERS_CALLER_HEADERS_H_
#define CROCUSMAST_ADAPTERS_CALLER_HEADERS_H_

#include <string>

#include "crocusmast/core/error.h"
#include "crocusmast/request/request_spec.h"

namespace crocusmast::adapters {

/** @brief The headers of a caller's request, as text. */
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

/** @brief The time a request has if its caller names none. */
inline constexpr std::chrono::milliseconds kDefaultDeadline{10000};
/** @brief The longest time that a caller may name. */
inline constexpr std::chrono::milliseconds kLongestDeadline{600000};

/**
 * @brief Checks a caller's headers.
 * @param headers The headers.
 * @param now The time.
 * @return What the caller said, or an error naming header, value and what is
 * allowed.
 */
core::Result<request::RequestSpec> ParseCallerHeaders(
    const CallerHeaders& headers,
    core::TimePoint now);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CALLER_HEADERS_H_
