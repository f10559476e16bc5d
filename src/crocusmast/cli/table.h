#ifndef CROCUSMAST_CLI_TABLE_H_
#define CROCUSMAST_CLI_TABLE_H_

#include <string>
#include <vector>

namespace crocusmast::cli {

/** @brief Text table with column headings. */
class Table {
 public:
  /**
   * @brief Creates an empty table.
   * @param headings Column headings.
   */
  explicit Table(std::vector<std::string> headings);

  /**
   * @brief Adds a row.
   * @param cells Cells, one for each heading.
   */
  void Add(std::vector<std::string> cells);

  /** @brief Formats the table with aligned columns. */
  std::string Format() const;

  /** @brief Formats the rows as a JSON array of objects. */
  std::string FormatJson() const;

 private:
  std::vector<std::string> m_headings;
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_TABLE_H_
