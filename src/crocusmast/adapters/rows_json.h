#ifndef CROCUSMAST_ADAPTERS_ROWS_JSON_H_
#define CROCUSMAST_ADAPTERS_ROWS_JSON_H_

#include <string>
#include <vector>

#include "crocusmast/adapters/json_reader.h"
#include "crocusmast/configuration/change.h"

namespace crocusmast::adapters::internal {

/**
 * @brief Parses a plan.
 * @param json The row of the plan.
 * @param source Name of the row, used in errors.
 * @return The plan, or an error that names the invalid field.
 */
core::Result<configuration::Plan> ReadPlan(const Json& json,
                                           const std::string& source);

/**
 * @brief Parses an allowance.
 * @param json The row of the allowance.
 * @param source Name of the row, used in errors.
 * @return The allowance, or an error that names the invalid field.
 */
core::Result<configuration::Allowance> ReadAllowance(const Json& json,
                                                     const std::string& source);

/**
 * @brief Parses the arrays "plans" and "allowances".
 * @param plans Object that contains the array "plans".
 * @param allowances Object that contains the array "allowances".
 * @return Plans and allowances, or an error that names the invalid row and
 * field.
 */
core::Result<configuration::PlanLists> ReadPlanLists(const Json& plans,
                                                     const Json& allowances);

/**
 * @brief Converts a plan or an allowance to JSON.
 * @param row The plan or the allowance.
 * @return The JSON object.
 */
Json WriteRow(const configuration::Row& row);

/**
 * @brief Converts all plans or all allowances to JSON.
 * @param lists Plans and allowances.
 * @param of_plans True for the plans, false for the allowances.
 * @return An array of rows.
 */
Json WriteRows(const configuration::PlanLists& lists, bool of_plans);

/**
 * @brief Parses the row changes of a configuration change.
 * @param json An array of pairs: the row before and the row after; null for
 * none.
 * @return The row changes, or an error that describes the fault.
 */
core::Result<std::vector<configuration::RowChange>> ReadRowChanges(
    const Json& json);

/**
 * @brief Converts the row changes of a configuration change to JSON.
 * @param rows The row changes.
 * @return An array of pairs: the row before and the row after; null for none.
 */
Json WriteRowChanges(const std::vector<configuration::RowChange>& rows);

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_ROWS_JSON_H_
