#ifndef CROCUSMAST_CONFIGURATION_ROW_H_
#define CROCUSMAST_CONFIGURATION_ROW_H_

#include <optional>
#include <string>
#include <tuple>
#include <variant>

#include "crocusmast/configuration/allowance.h"
#include "crocusmast/configuration/plan.h"

namespace crocusmast::configuration {

/** @brief Names a row: a plan, or a plan and a kind of work. */
struct RowKey {
  /** @brief The plan. */
  core::PlanId plan;
  /** @brief The kind of work; empty for a row of the list of plans. */
  core::KindId kind;

  friend bool operator<(const RowKey& left, const RowKey& right) {
    return std::tie(left.plan, left.kind) < std::tie(right.plan, right.kind);
  }
  friend bool operator==(const RowKey& left, const RowKey& right) {
    return left.plan == right.plan && left.kind == right.kind;
  }
};

/** @brief A row of either list. */
using Row = std::variant<Plan, Allowance>;

/** @brief What one change does to one row. */
struct RowChange {
  /** @brief The row. */
  RowKey key;
  /** @brief The row before; empty if the change adds it. */
  std::optional<Row> before;
  /** @brief The row after; empty if the change removes it. */
  std::optional<Row> after;
};

/**
 * @brief Returns the key of a row.
 * @param row The row.
 */
RowKey KeyOf(const Row& row);

/**
 * @brief Describes a key for messages.
 * @param key The key.
 * @return List and ids of the row.
 */
std::string Describe(const RowKey& key);

/**
 * @brief Describes a row's values for messages.
 * @param row The row; empty for a row that is not there.
 * @return The values in one line.
 */
std::string Describe(const std::optional<Row>& row);

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_ROW_H_
