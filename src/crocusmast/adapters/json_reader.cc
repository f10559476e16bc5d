#include "crocusmast/adapters/json_reader.h"

#include <algorithm>
#include <set>
#include <vector>

namespace crocusmast::adapters::internal {
namespace {

constexpr std::size_t kShownLength = 60;

std::string Shorten(const std::string& text) {
  return text.size() <= kShownLength ? text
                                     : text.substr(0, kShownLength) + "...";
}

/** @brief Notices members that stand twice while JSON is parsed. */
class DuplicateFinder {
 public:
  bool operator()(int /*depth*/, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      m_open.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      m_open.pop_back();
    } else if (event == Json::parse_event_t::key &&
               !m_open.back().insert(parsed.get<std::string>()).second) {
      m_duplicate = parsed.get<std::string>();
    }
    return true;
  }

  const std::string& Duplicate() const { return m_duplicate; }

 private:
  std::vector<std::set<std::string>> m_open;
  std::string m_duplicate;
};

}  // namespace

core::Result<Json> ParseStrict(std::string_view text,
                               const std::string& source,
                               core::Step step) {
  DuplicateFinder finder;
  try {
    Json parsed = Json::parse(text, std::ref(finder));
    if (!finder.Duplicate().empty()) {
      return core::Fail(step, source,
                        "an object names field '" +
                            Shorten(finder.Duplicate()) +
                            "' twice; allowed is once");
    }
    return parsed;
  } catch (const Json::exception& error) {
    return core::Fail(step, source, std::string("not JSON: ") + error.what());
  }
}

core::Result<void> ObjectReader::CheckFields(
    std::initializer_list<std::string_view> names) const {
  if (!m_object.is_object()) {
    return core::Fail(m_step, m_where, "not an object");
  }
  for (const auto& [name, value] : m_object.items()) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      std::string allowed;
      for (const std::string_view known : names) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(known);
      }
      return core::Fail(
          m_step, m_where,
          "field '" + Shorten(name) + "' is not known; allowed are " + allowed);
    }
  }
  return {};
}

core::Result<std::string> ObjectReader::Text(const char* name) const {
  const auto field = m_object.find(name);
  if (field == m_object.end()) {
    return Wrong(name, "missing");
  }
  if (!field->is_string()) {
    return Wrong(name, "value " + Shorten(field->dump()) + " is not a text");
  }
  return field->get<std::string>();
}

core::Result<std::uint64_t> ObjectReader::Number(const char* name) const {
  const auto field = m_object.find(name);
  if (field == m_object.end()) {
    return Wrong(name, "missing");
  }
  if (!field->is_number_unsigned()) {
    return Wrong(name, "value " + Shorten(field->dump()) +
                           " is not a whole number from 0");
  }
  return field->get<std::uint64_t>();
}

core::Result<const Json*> ObjectReader::Array(const char* name) const {
  const auto field = m_object.find(name);
  if (field == m_object.end()) {
    return Wrong(name, "missing");
  }
  if (!field->is_array()) {
    return Wrong(name, "is not an array");
  }
  return &*field;
}

boost::leaf::error_id ObjectReader::Wrong(const char* name,
                                          const std::string& problem) const {
  return core::Fail(m_step, m_where,
                    std::string("field '") + name + "': " + problem);
}

}  // namespace crocusmast::adapters::internal
