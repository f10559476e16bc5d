#ifndef CROCUSMAST_CLI_TABLE_H_
#define CROCUSMAST_CLI_TABLE_H_

#include <string>
#include <vector>

namespace crocusmast::cli {

/** @brief Rows of text under headings. */
class Table {
 public:
  /**
   * @brief Makes a table without rows.
   * @param headings The headings of its columns.
   */
  explicit Table(std::vector<std::string> headings);

  /**
   * @brief Adds a row.
   * @param cells As many as there are headings.
   */
  void Add(std::vector<std::string> cells);

  /** @brief Writes the table with aligned columns. */
  std::string Format() const;

  /** @brief Writes a JSON array with an object for each row. */
  std::string FormatJson() const;

 private:
  std::vector<std::string> m_headings;
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_TABLE_H_
