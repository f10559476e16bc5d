#include "crocusmast/cli/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace crocusmast::cli {
namespace internal {

void AppendRow(std::string& text,
               const std::vector<std::string>& cells,
               const std::vector<std::size_t>& widths) {
  constexpr std::size_t kColumnGap = 2;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    text += cells[column];
    if (column + 1 < cells.size()) {
      text.append(widths[column] - cells[column].size() + kColumnGap, ' ');
    }
  }
  text += '\n';
}

}  // namespace internal

Table::Table(std::vector<std::string> headings)
    : m_headings(std::move(headings)) {}

void Table::Add(std::vector<std::string> cells) {
  m_rows.push_back(std::move(cells));
}

std::string Table::Format() const {
  std::vector<std::size_t> widths;
  for (const std::string& heading : m_headings) {
    widths.push_back(heading.size());
  }
  for (const std::vector<std::string>& row : m_rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  internal::AppendRow(text, m_headings, widths);
  for (const std::vector<std::string>& row : m_rows) {
    internal::AppendRow(text, row, widths);
  }
  return text;
}

std::string Table::FormatJson() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::vector<std::string>& row : m_rows) {
    nlohmann::json object;
    for (std::size_t column = 0; column < row.size(); ++column) {
      object[m_headings[column]] = row[column];
    }
    rows.push_back(std::move(object));
  }
  return rows.dump(2) + "\n";
}

}  // namespace crocusmast::cli
