#ifndef CROCUSMAST_ADAPTERS_JSON_READER_H_
#define CROCUSMAST_ADAPTERS_JSON_READER_H_

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "crocusmast/core/error.h"
#include "crocusmast/core/strong_id.h"

namespace crocusmast::adapters::internal {

/** @brief JSON value; the members of an object are ordered by name. */
using Json = nlohmann::json;

/**
 * @brief Parses JSON and rejects objects with duplicate members.
 * @param text JSON text.
 * @param source Name of the text, used in errors.
 * @param operation Operation to report in errors.
 * @return The value, or an error that describes the fault.
 */
core::Result<Json> ParseStrictJson(std::string_view text,
                                   const std::string& source,
                                   core::Operation operation);

/** @brief Reads and validates the fields of one JSON object. */
class JsonObjectReader {
 public:
  /**
   * @brief Creates a reader.
   * @param object The object; must outlive the reader.
   * @param source Name of the object, used in errors.
   * @param operation Operation to report in errors.
   */
  JsonObjectReader(const Json& object,
                   std::string source,
                   core::Operation operation)
      : m_object(object), m_source(std::move(source)), m_operation(operation) {}

  /**
   * @brief Checks that the value is an object without unknown fields.
   * @param names Names of the allowed fields.
   * @return An error if the value is not an object or has an unknown field.
   */
  core::Result<void> CheckFields(
      std::initializer_list<std::string_view> names) const;

  /**
   * @brief Reads a string field.
   * @param name Name of the field.
   * @return The string, or an error if the field is missing or of another type.
   */
  core::Result<std::string> Text(const char* name) const;

  /**
   * @brief Reads a field that holds a non-negative integer.
   * @param name Name of the field.
   * @return The integer, or an error if the field is missing or of another
   * type.
   */
  core::Result<std::uint64_t> Number(const char* name) const;

  /**
   * @brief Reads a field that holds an array.
   * @param name Name of the field.
   * @return The array, never null, or an error if the field is missing or of
   * another type.
   */
  core::Result<const Json*> Array(const char* name) const;

  /**
   * @brief Reads a field that holds an id.
   * @tparam Id Type of the id.
   * @param name Name of the field.
   * @return The id, or an error if the field is missing or not a valid id.
   */
  template <typename Id>
  core::Result<Id> ReadId(const char* name) const {
    BOOST_LEAF_AUTO(text, Text(name));
    core::Result<Id> id = Id::Create(text);
    if (id) {
      return id;
    }
    return FieldError(name,
                      "'" + text.substr(0, core::kMaxIdLength) +
                          "' is not 1 to 64 letters, digits, '.', '_', ':', "
                          "'-'");
  }

  /**
   * @brief Creates an error about a field.
   * @param name Name of the field.
   * @param problem Description of the fault and of the allowed values.
   * @return The id of the error, for the caller to return.
   */
  boost::leaf::error_id FieldError(const char* name,
                                   const std::string& problem) const;

 private:
  const Json& m_object;
  const std::string m_source;
  const core::Operation m_operation;
};

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_JSON_READER_H_
