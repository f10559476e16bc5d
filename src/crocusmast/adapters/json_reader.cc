#include "crocusmast/adapters/json_reader.h"

#include <algorithm>
#include <set>
#include <vector>

namespace crocusmast::adapters::internal {
namespace {

constexpr std::size_t kMaxTextLengthInErrors = 60;

std::string Truncate(const std::string& text) {
  return text.size() <= kMaxTextLengthInErrors
             ? text
             : text.substr(0, kMaxTextLengthInErrors) + "...";
}

/** @brief Detects duplicate object members during parsing. */
class DuplicateFinder {
 public:
  bool operator()(int /*depth*/, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      m_open_objects.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      m_open_objects.pop_back();
    } else if (event == Json::parse_event_t::key &&
               !m_open_objects.back()
                    .insert(parsed.get<std::string>())
                    .second) {
      m_duplicate = parsed.get<std::string>();
    }
    return true;
  }

  const std::string& Duplicate() const { return m_duplicate; }

 private:
  std::vector<std::set<std::string>> m_open_objects;
  std::string m_duplicate;
};

}  // namespace

core::Result<Json> ParseStrictJson(std::string_view text,
                                   const std::string& source,
                                   core::Operation operation) {
  DuplicateFinder finder;
  try {
    Json parsed = Json::parse(text, std::ref(finder));
    if (!finder.Duplicate().empty()) {
      return core::Fail(operation, source,
                        "an object has field '" + Truncate(finder.Duplicate()) +
                            "' more than once");
    }
    return parsed;
  } catch (const Json::exception& error) {
    return core::Fail(operation, source,
                      std::string("not JSON: ") + error.what());
  }
}

core::Result<void> JsonObjectReader::CheckFields(
    std::initializer_list<std::string_view> names) const {
  if (!m_object.is_object()) {
    return core::Fail(m_operation, m_source, "not an object");
  }
  for (const auto& [name, value] : m_object.items()) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      std::string allowed;
      for (const std::string_view known : names) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(known);
      }
      return core::Fail(m_operation, m_source,
                        "field '" + Truncate(name) +
                            "' is unknown; allowed fields: " + allowed);
    }
  }
  return {};
}

core::Result<std::string> JsonObjectReader::Text(const char* name) const {
  const auto field = m_object.find(name);
  if (field == m_object.end()) {
    return FieldError(name, "missing");
  }
  if (!field->is_string()) {
    return FieldError(name,
                      "value " + Truncate(field->dump()) + " is not a string");
  }
  return field->get<std::string>();
}

core::Result<std::uint64_t> JsonObjectReader::Number(const char* name) const {
  const auto field = m_object.find(name);
  if (field == m_object.end()) {
    return FieldError(name, "missing");
  }
  if (!field->is_number_unsigned()) {
    return FieldError(name, "value " + Truncate(field->dump()) +
                                " is not a non-negative integer");
  }
  return field->get<std::uint64_t>();
}

core::Result<const Json*> JsonObjectReader::Array(const char* name) const {
  const auto field = m_object.find(name);
  if (field == m_object.end()) {
    return FieldError(name, "missing");
  }
  if (!field->is_array()) {
    return FieldError(name, "is not an array");
  }
  return &*field;
}

boost::leaf::error_id JsonObjectReader::FieldError(
    const char* name,
    const std::string& problem) const {
  return core::Fail(m_operation, m_source,
                    std::string("field '") + name + "': " + problem);
}

}  // namespace crocusmast::adapters::internal
