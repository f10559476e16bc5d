#ifndef CROCUSMAST_ADAPTERS_BOOST_LOGGER_H_
#define CROCUSMAST_ADAPTERS_BOOST_LOGGER_H_

#include <memory>

#include "crocusmast/core/logger.h"

namespace crocusmast::adapters {

/** @brief Output format of log lines. */
enum class LogFormat { kText, kJson };

/**
 * @brief Writes log records to standard output with Boost.Log.
 *
 * Records pass through a bounded ring to a thread that formats and writes them.
 * Records are dropped when the ring is full; the next line reports how many.
 */
class BoostLogger final : public core::Logger {
 public:
  /**
   * @brief Creates a logger and starts its writer thread.
   * @param format Text, or one JSON object per line.
   * @param min_severity Records of lower severity are discarded.
   */
  static std::unique_ptr<BoostLogger> Create(LogFormat format,
                                             core::Severity min_severity);

  /** @brief Writes the queued records and joins the writer thread. */
  ~BoostLogger() override;

  bool IsEnabled(core::Severity severity) const override;
  void Write(core::LogRecord record) override;

 private:
  struct Writer;

  BoostLogger(LogFormat format, core::Severity min_severity);

  const core::Severity m_min_severity;
  std::unique_ptr<Writer> m_writer;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_BOOST_LOGGER_H_
