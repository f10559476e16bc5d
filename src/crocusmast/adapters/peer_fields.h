#ifndef CROCUSMAST_ADAPTERS_PEER_FIELDS_H_
#define CROCUSMAST_ADAPTERS_PEER_FIELDS_H_

#include <cstdint>
#include <string>
#include <type_traits>

#include "crocusmast/adapters/json_reader.h"
#include "crocusmast/core/quantity.h"

namespace crocusmast::adapters::internal {

using core::Result;

/** @brief Encodes the type number and the fields of a peer message as CBOR. */
class FieldWriter {
 public:
  /**
   * @brief Creates a writer.
   * @param type Type number of the message.
   */
  explicit FieldWriter(std::size_t type) : m_fields(Json::array({type})) {}

  template <typename Tag>
  void Add(const core::StrongId<Tag>& id) {
    m_fields.push_back(id.Text());
  }
  template <typename Tag>
  void Add(core::Quantity<Tag> quantity) {
    m_fields.push_back(quantity.Count());
  }
  void Add(std::uint64_t number) { m_fields.push_back(number); }
  void Add(const std::string& text) { m_fields.push_back(text); }
  void AddBytes(const std::string& bytes) {
    m_fields.push_back(Json::binary({bytes.begin(), bytes.end()}));
  }
  template <typename Enum, std::enable_if_t<std::is_enum_v<Enum>, int> = 0>
  void Add(Enum value) {
    m_fields.push_back(static_cast<std::uint64_t>(value));
  }

  /** @brief Returns the message as CBOR bytes. */
  std::string Finish() const {
    std::string bytes;
    Json::to_cbor(m_fields, bytes);
    return bytes;
  }

 private:
  Json m_fields;
};

/** @brief Reads and validates the fields of a peer message in order. */
class FieldReader {
 public:
  /**
   * @brief Creates a reader of the fields after the type number.
   * @param fields The decoded array; must outlive the reader.
   * @param peer Name of the sender, used in errors; must outlive the reader.
   */
  FieldReader(const Json& fields, const std::string& peer)
      : m_fields(fields), m_peer(peer) {}

  Result<std::uint64_t> Number() {
    BOOST_LEAF_AUTO(field, Next());
    if (!field->is_number_unsigned()) {
      return FieldError("is not a non-negative integer");
    }
    return field->template get<std::uint64_t>();
  }
  Result<std::string> Text() {
    BOOST_LEAF_AUTO(field, Next());
    if (!field->is_string()) {
      return FieldError("is not a string");
    }
    return field->template get<std::string>();
  }
  Result<std::string> ReadBytes() {
    BOOST_LEAF_AUTO(field, Next());
    if (!field->is_binary()) {
      return FieldError("is not a byte string");
    }
    const auto& bytes = field->get_binary();
    return std::string(bytes.begin(), bytes.end());
  }
  template <typename Id>
  Result<Id> ReadId() {
    BOOST_LEAF_AUTO(text, Text());
    return Id::Create(text);
  }
  template <typename Quantity>
  Result<Quantity> ReadQuantity() {
    BOOST_LEAF_AUTO(number, Number());
    return Quantity(number);
  }
  /**
   * @brief Reads an enumerator.
   * @param last Last enumerator of the type.
   */
  template <typename Enum>
  Result<Enum> ReadEnum(Enum last) {
    BOOST_LEAF_AUTO(number, Number());
    if (number > static_cast<std::uint64_t>(last)) {
      return FieldError("exceeds the greatest value, " +
                        std::to_string(static_cast<std::uint64_t>(last)));
    }
    return static_cast<Enum>(number);
  }
  /** @brief Returns an error if fields are left. */
  Result<void> Finish() const {
    if (m_next != m_fields.size()) {
      return core::Fail(core::Operation::kDecodeMessage, m_peer,
                        "the message has too many fields");
    }
    return {};
  }
  bool HasMore() const { return m_next < m_fields.size(); }

 private:
  Result<const Json*> Next() {
    if (!HasMore()) {
      return core::Fail(core::Operation::kDecodeMessage, m_peer,
                        "field " + std::to_string(m_next) + " is missing");
    }
    return &m_fields[m_next++];
  }
  boost::leaf::error_id FieldError(const std::string& problem) const {
    return core::Fail(core::Operation::kDecodeMessage, m_peer,
                      "field " + std::to_string(m_next - 1) + " " + problem);
  }

  const Json& m_fields;
  const std::string& m_peer;
  std::size_t m_next = 1;
};

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_PEER_FIELDS_H_
