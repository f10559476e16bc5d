#ifndef CROCUSMAST_CONFIGURATION_ROW_H_
#define CROCUSMAST_CONFIGURATION_ROW_H_

#include <optional>
#include <string>
#include <tuple>
#include <variant>

#include "crocusmast/configuration/allowance.h"
#include "crocusmast/configuration/plan.h"

namespace crocusmast::configuration {

/** @brief Key of a row: a plan, or a plan and a kind of work. */
struct RowKey {
  /** @brief Plan of the row. */
  core::PlanId plan;
  /** @brief Kind of work; empty for a row of the list of plans. */
  core::KindId kind;

  friend bool operator<(const RowKey& left, const RowKey& right) {
    return std::tie(left.plan, left.kind) < std::tie(right.plan, right.kind);
  }
  friend bool operator==(const RowKey& left, const RowKey& right) {
    return left.plan == right.plan && left.kind == right.kind;
  }
};

/** @brief Row of the list of plans or of the list of allowances. */
using Row = std::variant<Plan, Allowance>;

/** @brief Change of one row. */
struct RowChange {
  /** @brief Key of the changed row. */
  RowKey key;
  /** @brief Previous value; empty if the change adds the row. */
  std::optional<Row> before;
  /** @brief New value; empty if the change removes the row. */
  std::optional<Row> after;
};

/**
 * @brief Returns the key of a row.
 * @param row Row to identify.
 */
RowKey KeyOf(const Row& row);

/**
 * @brief Formats a key for messages.
 * @param key Key to format.
 * @return The list and the ids of the row.
 */
std::string Describe(const RowKey& key);

/**
 * @brief Formats the values of a row for messages.
 * @param row Row to format; empty for a row that does not exist.
 * @return The values in one line.
 */
std::string Describe(const std::optional<Row>& row);

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_ROW_H_
