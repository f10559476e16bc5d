#ifndef CROCUSMAST_ADAPTERS_RECORDS_CBOR_H_
#define CROCUSMAST_ADAPTERS_RECORDS_CBOR_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "crocusmast/core/error.h"
#include "crocusmast/job/progress.h"

// What the records of the store have in common.

namespace crocusmast::adapters::records::internal {

using Json = nlohmann::json;

inline constexpr int kFormatVersion = 1;

inline std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

/**
 * @brief Parses a CBOR record, checks its format version and reads its fields.
 * @tparam T Type of the decoded record.
 * @param bytes CBOR bytes.
 * @param record_name Name of the record, used in errors.
 * @param read Reads the fields; its JSON exceptions are returned as errors.
 * @return The record, or an error that describes the fault.
 */
template <typename T, typename Read>
core::Result<T> Decode(std::string_view bytes,
                       const char* record_name,
                       Read read) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    if (!json.is_object() || json.at("v") != kFormatVersion) {
      return core::Fail(core::Operation::kDecodeMessage, record_name,
                        "unknown format version");
    }
    return read(json);
  } catch (const Json::exception& error) {
    return core::Fail(core::Operation::kDecodeMessage, record_name,
                      error.what());
  }
}

/** @brief The highest number of a job state in a record. */
inline constexpr int kLastState = static_cast<int>(job::JobState::kCancelled);

}  // namespace crocusmast::adapters::records::internal

#endif  // CROCUSMAST_ADAPTERS_RECORDS_CBOR_H_
