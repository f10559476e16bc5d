#ifndef CROCUSMAST_CORE_LOGGER_H_
#define CROCUSMAST_CORE_LOGGER_H_

#include <string>
#include <string_view>
#include <vector>

namespace crocusmast::core {

/** @brief The component that writes a log record. */
enum class Component {
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

/** @brief Severity of a log record. */
enum class Severity { kDebug, kInfo, kWarning, kError };

/**
 * @brief Returns the prefix of a component in log lines.
 * @param component The component.
 * @return One lower-case word.
 */
std::string_view ComponentPrefix(Component component);

/**
 * @brief Returns the name of a severity.
 * @param severity The severity.
 * @return One lower-case word.
 */
std::string_view SeverityName(Severity severity);

/** @brief A key and value of a log record. */
struct LogField {
  /** @brief Key of the field in JSON output. */
  std::string name;
  /** @brief Value of the field. */
  std::string value;
};

/** @brief A log record: a message for people and fields for tools. */
struct LogRecord {
  /** @brief Component that writes the record. */
  Component component = Component::kDaemon;
  /** @brief Severity of the record. */
  Severity severity = Severity::kInfo;
  /** @brief Message of one sentence. */
  std::string message;
  /** @brief Structured values of the message. */
  std::vector<LogField> fields;
};

/** @brief Destination of log records. */
class Logger {
 public:
  virtual ~Logger() = default;
  /**
   * @brief Tells whether records of a severity are written.
   * @param severity The severity.
   */
  virtual bool IsEnabled(Severity severity) const = 0;
  /**
   * @brief Writes a record; never blocks on the output.
   * @param record The record.
   */
  virtual void Write(LogRecord record) = 0;
};

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_LOGGER_H_
