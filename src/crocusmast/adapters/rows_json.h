#ifndef CROCUSMAST_ADAPTERS_ROWS_JSON_H_
#define CROCUSMAST_ADAPTERS_ROWS_JSON_H_

#include <string>
#include <vector>

#include "crocusmast/adapters/json_reader.h"
#include "crocusmast/configuration/change.h"

namespace crocusmast::adapters::internal {

/**
 * @brief Reads a row of the list of plans.
 * @param json The row.
 * @param where Names the row in errors.
 */
core::Result<configuration::Plan> ReadPlan(const Json& json,
                                           const std::string& where);

/**
 * @brief Reads a row of the list of allowances.
 * @param json The row.
 * @param where Names the row in errors.
 */
core::Result<configuration::Allowance> ReadAllowance(const Json& json,
                                                     const std::string& where);

/**
 * @brief Reads the arrays "plans" and "allowances" of an object.
 * @param plans The object that holds the array of plans.
 * @param allowances The object that holds the array of allowances.
 */
core::Result<configuration::Lists> ReadLists(const Json& plans,
                                             const Json& allowances);

/**
 * @brief Writes a row.
 * @param row The row.
 */
Json WriteRow(const configuration::Row& row);

/**
 * @brief Writes the rows of one list.
 * @param lists The lists.
 * @param of_plans True for the list of plans.
 */
Json WriteRows(const configuration::Lists& lists, bool of_plans);

/**
 * @brief Reads what a change does to its rows.
 * @param json An array.
 */
core::Result<std::vector<configuration::RowChange>> ReadRowChanges(
    const Json& json);

/**
 * @brief Writes what a change does to its rows.
 * @param rows The rows.
 */
Json WriteRowChanges(const std::vector<configuration::RowChange>& rows);

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_ROWS_JSON_H_
