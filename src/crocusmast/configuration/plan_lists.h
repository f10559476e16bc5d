#ifndef CROCUSMAST_CONFIGURATION_PLAN_LISTS_H_
#define CROCUSMAST_CONFIGURATION_PLAN_LISTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "crocusmast/configuration/row.h"
#include "crocusmast/core/error.h"

namespace crocusmast::configuration {

/** @brief Maximum number of rows in both lists together. */
inline constexpr std::size_t kMaxRows = 20000;
/** @brief Maximum number of instances, slots or connections in a row. */
inline constexpr std::uint64_t kMaxAllowance = 1000000;

/** @brief The list of plans and the list of allowances, validated together. */
class PlanLists {
 public:
  /** @brief Creates empty lists. */
  PlanLists() = default;

  /**
   * @brief Validates rows and creates lists from them.
   * @param rows Rows of both lists, in the order of the files.
   * @return The lists, or an error that names the list, row, field and allowed
   * values.
   */
  static core::Result<PlanLists> Create(const std::vector<Row>& rows);

  /** @brief Returns all rows by key. */
  const std::map<RowKey, Row>& Rows() const { return m_rows; }

  /**
   * @brief Finds the allowance of a plan for a kind of work.
   * @param plan Plan to look up.
   * @param kind Kind of work to look up.
   * @return The allowance, or nothing.
   */
  std::optional<Allowance> FindAllowance(const core::PlanId& plan,
                                         const core::KindId& kind) const;

  /**
   * @brief Tells whether a plan is in the list of plans.
   * @param plan Plan to look up.
   */
  bool HasPlan(const core::PlanId& plan) const;

  /**
   * @brief Returns a copy of the lists with some rows changed.
   * @param changes Row changes; only the values after the change are used.
   * @return The new lists, or the first validation error.
   */
  core::Result<PlanLists> WithChanges(
      const std::vector<RowChange>& changes) const;

  /**
   * @brief Computes the difference to other lists.
   * @param other Lists to compare with.
   * @return The changes that lead to the other lists, one for each row that
   * differs: first those of rows in these lists, in key order, then the added
   * ones.
   */
  std::vector<RowChange> DifferenceTo(const PlanLists& other) const;

 private:
  std::map<RowKey, Row> m_rows;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_PLAN_LISTS_H_
