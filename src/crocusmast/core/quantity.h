#ifndef CROCUSMAST_CORE_QUANTITY_H_
#define CROCUSMAST_CORE_QUANTITY_H_

#include <cstdint>

namespace crocusmast::core {

/**
 * @brief A strongly typed count of one unit.
 *
 * Counts of different units don't convert into each other.
 *
 * @tparam Tag Identifies the unit.
 */
template <typename Tag>
class Quantity {
 public:
  /** @brief Creates a count of zero. */
  constexpr Quantity() = default;

  /**
   * @brief Creates a count.
   * @param count The number of units.
   */
  constexpr explicit Quantity(std::uint64_t count) : m_count(count) {}

  /** @brief Returns the number of units. */
  constexpr std::uint64_t Count() const { return m_count; }

  friend constexpr Quantity operator+(Quantity left, Quantity right) {
    return Quantity(left.m_count + right.m_count);
  }
  /** @brief Subtracts; saturates at zero. */
  friend constexpr Quantity operator-(Quantity left, Quantity right) {
    return Quantity(left.m_count > right.m_count ? left.m_count - right.m_count
                                                 : 0);
  }
  friend constexpr bool operator==(Quantity left, Quantity right) {
    return left.m_count == right.m_count;
  }
  friend constexpr bool operator!=(Quantity left, Quantity right) {
    return left.m_count != right.m_count;
  }
  friend constexpr bool operator<(Quantity left, Quantity right) {
    return left.m_count < right.m_count;
  }

 private:
  std::uint64_t m_count = 0;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_QUANTITY_H_
