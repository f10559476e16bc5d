#ifndef CROCUSMAST_CORE_LOGGER_H_
#define CROCUSMAST_CORE_LOGGER_H_

#include <string>
#include <string_view>
#include <vector>

namespace crocusmast::core {

/** @brief The part of the system that writes a log line. */
enum class Part {
  kRouting,
  kConfiguration,
  kMembership,
  kMaintenance,
  kPeer,
  kHttp,
  kDaemon,
  kIntake,
  kScheduling,
  kLeadership,
  kStore,
  kWorker,
  kUpkeep,
  kCapacity,
};

/** @brief How much a log line matters. */
enum class Severity { kDebug, kInfo, kWarning, kError };

/**
 * @brief Returns the fixed prefix of a part.
 * @param part The part.
 * @return A short word.
 */
std::string_view PartPrefix(Part part);

/**
 * @brief Names a severity.
 * @param severity The severity.
 * @return A short word.
 */
std::string_view SeverityName(Severity severity);

/** @brief One named value of a log record. */
struct LogField {
  /** @brief The field's name in the JSON form. */
  std::string name;
  /** @brief The field's value. */
  std::string value;
};

/** @brief One log line, as a sentence and as fields. */
struct LogRecord {
  /** @brief The part that writes. */
  Part part = Part::kDaemon;
  /** @brief How much it matters. */
  Severity severity = Severity::kInfo;
  /** @brief A short sentence. */
  std::string sentence;
  /** @brief The values named in the sentence. */
  std::vector<LogField> fields;
};

/** @brief Takes log records. */
class Logger {
 public:
  virtual ~Logger() = default;
  /**
   * @brief Tells whether a record of this severity would be kept.
   * @param severity The severity.
   */
  virtual bool IsEnabled(Severity severity) const = 0;
  /**
   * @brief Writes one record; never waits for the output.
   * @param record The record.
   */
  virtual void Write(LogRecord record) = 0;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_LOGGER_H_
