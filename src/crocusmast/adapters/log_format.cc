#include "crocusmast/adapters/log_format.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

namespace crocusmast::adapters {
namespace internal {

/** @brief Tells whether a character stands for itself in a JSON string. */
bool IsPlain(char character) {
  constexpr char kFirstPrintable = 0x20;
  constexpr char kLastAscii = 0x7e;
  return character >= kFirstPrintable && character <= kLastAscii &&
         character != '"' && character != '\\';
}

void AppendJsonString(std::string& line, std::string_view text) {
  if (std::all_of(text.begin(), text.end(), IsPlain)) {
    line.append("\"").append(text).append("\"");
    return;
  }
  line += nlohmann::json(text).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

void AppendMember(std::string& line,
                  std::string_view name,
                  std::string_view value) {
  line += ',';
  AppendJsonString(line, name);
  line += ':';
  AppendJsonString(line, value);
}

}  // namespace internal

void LogFormatter::AppendTimestamp(std::string& line, core::WallTime at) {
  constexpr int kMillisecondsPerSecond = 1000;
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          at.time_since_epoch())
          .count();
  const std::time_t second = milliseconds / kMillisecondsPerSecond;
  if (second != m_second) {
    std::tm utc{};
    gmtime_r(&second, &utc);
    char date[sizeof "2000-01-01T00:00:00"];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
    m_date = date;
    m_second = second;
  }
  const std::string fraction = std::to_string(
      kMillisecondsPerSecond + milliseconds % kMillisecondsPerSecond);
  line.append(m_date).append(".").append(fraction, 1).append("Z");
}

std::string LogFormatter::FormatText(const core::LogRecord& record,
                                     core::WallTime at) {
  std::string line;
  AppendTimestamp(line, at);
  line.append(" ").append(core::SeverityName(record.severity));
  line.append(" [").append(core::ComponentPrefix(record.component));
  return line.append("] ").append(record.message);
}

std::string LogFormatter::FormatJson(const core::LogRecord& record,
                                     core::WallTime at) {
  constexpr std::size_t kTypicalLineBytes = 512;
  std::string line;
  line.reserve(kTypicalLineBytes);
  line += "{\"time\":\"";
  AppendTimestamp(line, at);
  line += '"';
  internal::AppendMember(line, "severity", core::SeverityName(record.severity));
  internal::AppendMember(line, "part", core::ComponentPrefix(record.component));
  internal::AppendMember(line, "message", record.message);
  for (const core::LogField& field : record.fields) {
    internal::AppendMember(line, field.name, field.value);
  }
  return line += '}';
}

}  // namespace crocusmast::adapters
