#ifndef CROCUSMAST_CORE_STRONG_ID_H_
#define CROCUSMAST_CORE_STRONG_ID_H_

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "crocusmast/core/error.h"

namespace crocusmast::core {

/** @brief Maximum length of an id in characters. */
inline constexpr std::size_t kMaxIdLength = 64;

/**
 * @brief A validated, strongly typed text id.
 * @tparam Tag Identifies the type of id; has a static kName for errors.
 */
template <typename Tag>
class StrongId {
 public:
  /** @brief Creates the empty id, which identifies nothing. */
  StrongId() = default;

  /**
   * @brief Creates an id from a text.
   * @param text 1 to 64 letters, digits, '.', '_', ':' or '-'.
   * @return The id, or an error that names the type of id and the text.
   */
  static Result<StrongId> Create(std::string_view text) {
    if (text.empty() || text.size() > kMaxIdLength ||
        !std::all_of(text.begin(), text.end(), IsAllowed)) {
      return Fail(Operation::kParseId, Tag::kName,
                  "'" + std::string(text.substr(0, kMaxIdLength)) +
                      "' is not 1 to 64 letters, digits, '.', '_', ':', '-'");
    }
    return StrongId(std::string(text));
  }

  /** @brief Returns the text of the id. */
  const std::string& Text() const { return m_text; }

  /** @brief Tells whether the id is empty and identifies nothing. */
  bool IsEmpty() const { return m_text.empty(); }

  friend bool operator==(const StrongId& left, const StrongId& right) {
    return left.m_text == right.m_text;
  }
  friend bool operator!=(const StrongId& left, const StrongId& right) {
    return left.m_text != right.m_text;
  }
  friend bool operator<(const StrongId& left, const StrongId& right) {
    return left.m_text < right.m_text;
  }

 private:
  explicit StrongId(std::string text) : m_text(std::move(text)) {}

  static bool IsAllowed(char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
           character == '.' || character == '_' || character == ':' ||
           character == '-';
  }

  std::string m_text;
};

}  // namespace crocusmast::core

template <typename Tag>
struct std::hash<crocusmast::core::StrongId<Tag>> {
  std::size_t operator()(const crocusmast::core::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.Text());
  }
};

#endif  // CROCUSMAST_CORE_STRONG_ID_H_
