#ifndef CROCUSMAST_CONFIGURATION_LISTS_H_
#define CROCUSMAST_CONFIGURATION_LISTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "crocusmast/configuration/row.h"
#include "crocusmast/core/error.h"

namespace crocusmast::configuration {

/** @brief The most rows that both lists hold together. */
inline constexpr std::size_t kMaxRows = 20000;
/** @brief The most instances, slots or connections that a row may name. */
inline constexpr std::uint64_t kMaxAllowance = 1000000;

/** @brief The operators' two lists, checked as a whole. */
class Lists {
 public:
  /** @brief Makes lists without rows. */
  Lists() = default;

  /**
   * @brief Checks rows and makes lists of them.
   * @param rows The rows of both lists, in the order of the files.
   * @return The lists, or an error naming list, row, field and what is allowed.
   */
  static core::Result<Lists> Create(const std::vector<Row>& rows);

  /** @brief Returns all rows by key. */
  const std::map<RowKey, Row>& Rows() const { return m_rows; }

  /**
   * @brief Finds what a plan may use for a kind of work.
   * @param plan The plan.
   * @param kind The kind of work.
   * @return The row, or nothing.
   */
  std::optional<Allowance> FindAllowance(const core::PlanId& plan,
                                         const core::KindId& kind) const;

  /**
   * @brief Tells whether a plan is sold.
   * @param plan The plan.
   */
  bool HasPlan(const core::PlanId& plan) const;

  /**
   * @brief Returns the lists with some rows changed.
   * @param changes The rows; only their values after the change count.
   * @return The new lists, or the first rule that they break.
   */
  core::Result<Lists> With(const std::vector<RowChange>& changes) const;

  /**
   * @brief Lists what leads from these lists to others.
   * @param target The other lists.
   * @return One change for each row that differs, in key order.
   */
  std::vector<RowChange> DifferenceTo(const Lists& target) const;

 private:
  std::map<RowKey, Row> m_rows;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_LISTS_H_
