#include "crocusmast/adapters/caller_headers.h"

#include <algorithm>
#include <utility>

namespace crocusmast::adapters {
namespace internal {

constexpr std::size_t kMaxValueLengthInErrors = 40;
constexpr std::size_t kMaxDigits = 6;

boost::leaf::error_id HeaderError(const char* header,
                                  const std::string& value,
                                  const std::string& allowed) {
  return core::Fail(core::Operation::kDecodeHeaders, header,
                    "value '" + value.substr(0, kMaxValueLengthInErrors) +
                        "'; allowed are " + allowed);
}

template <typename Id>
core::Result<Id> ParseId(const char* header, const std::string& value) {
  core::Result<Id> id = Id::Create(value);
  if (id) {
    return id;
  }
  return HeaderError(header, value,
                     "1 to 64 letters, digits, '.', '_', ':', '-'");
}

core::Result<request::Urgency> ParseUrgency(const std::string& value) {
  if (value.empty() || value == "normal") {
    return request::Urgency::kNormal;
  }
  if (value == "urgent") {
    return request::Urgency::kUrgent;
  }
  if (value == "deferrable") {
    return request::Urgency::kDeferrable;
  }
  return HeaderError("Crocusmast-Urgency", value, "urgent, normal, deferrable");
}

core::Result<request::RetrySafety> ParseRetrySafety(const std::string& value) {
  if (value.empty() || value == "no") {
    return request::RetrySafety::kAtMostOnce;
  }
  if (value == "yes") {
    return request::RetrySafety::kRepeatable;
  }
  return HeaderError("Crocusmast-Repeatable", value, "yes, no");
}

core::Result<std::chrono::milliseconds> ParseDeadline(
    const std::string& value) {
  if (value.empty()) {
    return kDefaultDeadline;
  }
  const bool is_number =
      value.size() <= kMaxDigits &&
      std::all_of(value.begin(), value.end(),
                  [](char digit) { return digit >= '0' && digit <= '9'; });
  const std::chrono::milliseconds deadline(is_number ? std::stol(value) : 0);
  if (deadline.count() == 0 || deadline > kMaxDeadline) {
    return HeaderError("Crocusmast-Deadline-Ms", value,
                       "1 to " + std::to_string(kMaxDeadline.count()));
  }
  return deadline;
}

}  // namespace internal

core::Result<request::RequestSpec> ParseCallerHeaders(
    const CallerHeaders& headers,
    core::TimePoint now) {
  request::RequestSpec spec;
  BOOST_LEAF_ASSIGN(spec.id, internal::ParseId<core::RequestId>(
                                 "Crocusmast-Request-Id", headers.request_id));
  BOOST_LEAF_ASSIGN(spec.plan, internal::ParseId<core::PlanId>(
                                   "Crocusmast-Plan", headers.plan));
  BOOST_LEAF_ASSIGN(spec.kind, internal::ParseId<core::KindId>(
                                   "Crocusmast-Kind", headers.kind));
  BOOST_LEAF_ASSIGN(spec.urgency, internal::ParseUrgency(headers.urgency));
  BOOST_LEAF_ASSIGN(spec.retry_safety,
                    internal::ParseRetrySafety(headers.repeatable));
  BOOST_LEAF_AUTO(deadline, internal::ParseDeadline(headers.deadline_ms));
  spec.deadline = now + deadline;
  return spec;
}

}  // namespace crocusmast::adapters
