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

/** @brief JSON whose objects keep their members in order. */
using Json = nlohmann::json;

/**
 * @brief Parses JSON and refuses an object that names a member twice.
 * @param text The text.
 * @param source Names the text in errors.
 * @param step The step to name in errors.
 */
core::Result<Json> ParseStrict(std::string_view text,
                               const std::string& source,
                               core::Step step);

/** @brief Reads checked fields of one JSON object. */
class ObjectReader {
 public:
  /**
   * @brief Makes a reader.
   * @param object The object; outlives the reader.
   * @param where Names the object in errors.
   * @param step The step to name in errors.
   */
  ObjectReader(const Json& object, std::string where, core::Step step)
      : m_object(object), m_where(std::move(where)), m_step(step) {}

  /**
   * @brief Checks that this is an object with no other fields than these.
   * @param names The fields allowed.
   */
  core::Result<void> CheckFields(
      std::initializer_list<std::string_view> names) const;

  /**
   * @brief Reads a text field.
   * @param name The field.
   */
  core::Result<std::string> Text(const char* name) const;

  /**
   * @brief Reads a field with a whole number that is not negative.
   * @param name The field.
   */
  core::Result<std::uint64_t> Number(const char* name) const;

  /**
   * @brief Reads a field with an array.
   * @param name The field.
   */
  core::Result<const Json*> Array(const char* name) const;

  /**
   * @brief Reads a field with an id.
   * @tparam Id The kind of id.
   * @param name The field.
   */
  template <typename Id>
  core::Result<Id> ReadId(const char* name) const {
    BOOST_LEAF_AUTO(text, Text(name));
    core::Result<Id> id = Id::Create(text);
    if (id) {
      return id;
    }
    return Wrong(name, "'" + text.substr(0, core::kMaxIdLength) +
                           "' is not 1 to 64 letters, digits, '.', '_', ':', "
                           "'-'");
  }

  /**
   * @brief Makes an error about a field.
   * @param name The field.
   * @param problem What is wrong, and what is allowed.
   */
  boost::leaf::error_id Wrong(const char* name,
                              const std::string& problem) const;

 private:
  const Json& m_object;
  const std::string m_where;
  const core::Step m_step;
};

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_JSON_READER_H_
