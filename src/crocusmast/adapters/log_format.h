#ifndef CROCUSMAST_ADAPTERS_LOG_FORMAT_H_
#define CROCUSMAST_ADAPTERS_LOG_FORMAT_H_

#include <ctime>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"

namespace crocusmast::adapters {

/**
 * @brief Formats log records as lines; used by one thread.
 *
 * A scheduling leader writes thousands of records a second, so a JSON line is
 * built as text without a JSON tree, and the date only once a second.
 */
class LogFormatter {
 public:
  /**
   * @brief Formats a record for people.
   * @param record The record.
   * @param at When it was written.
   */
  std::string FormatText(const core::LogRecord& record, core::WallTime at);

  /**
   * @brief Formats a record as a JSON object; bytes that are no UTF-8 are
   * replaced.
   * @param record The record; each of its fields becomes a member.
   * @param at When it was written.
   */
  std::string FormatJson(const core::LogRecord& record, core::WallTime at);

 private:
  void AppendTimestamp(std::string& line, core::WallTime at);

  /** @brief The second that m_date shows. */
  std::time_t m_second = -1;
  std::string m_date;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_LOG_FORMAT_H_
