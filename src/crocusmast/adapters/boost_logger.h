#ifndef CROCUSMAST_ADAPTERS_BOOST_LOGGER_H_
#define CROCUSMAST_ADAPTERS_BOOST_LOGGER_H_

#include <memory>

#include "crocusmast/core/logger.h"

namespace crocusmast::adapters {

/** @brief How log lines are written. */
enum class LogFormat { kText, kJson };

/**
 * @brief Writes log records to standard output with Boost.Log.
 *
 * Records pass a bounded ring to the duty that formats and writes them; when it
 * is full they are dropped, and a line tells how many.
 */
class BoostLogger final : public core::Logger {
 public:
  /**
   * @brief Starts the thread that writes.
   * @param format Text or one JSON object a line.
   * @param least The least severity that is kept.
   */
  static std::unique_ptr<BoostLogger> Create(LogFormat format,
                                             core::Severity least);

  /** @brief Writes what is queued and ends the thread. */
  ~BoostLogger() override;

  bool IsEnabled(core::Severity severity) const override;
  void Write(core::LogRecord record) override;

 private:
  struct Writer;

  BoostLogger(LogFormat format, core::Severity least);

  const core::Severity m_least;
  std::unique_ptr<Writer> m_writer;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_BOOST_LOGGER_H_
