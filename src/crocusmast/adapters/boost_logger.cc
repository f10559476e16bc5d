#include "crocusmast/adapters/boost_logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

namespace crocusmast::adapters {
namespace internal {

constexpr std::size_t kLogQueue = 16384;

using Backend = boost::log::sinks::text_ostream_backend;
using Frontend = boost::log::sinks::asynchronous_sink<
    Backend,
    boost::log::sinks::bounded_fifo_queue<kLogQueue,
                                          boost::log::sinks::drop_on_overflow>>;

std::string FormatNow() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count() %
      1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[sizeof "2000-01-01T00:00:00"];
  std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
  char text[sizeof date + sizeof ".000Z"];
  std::snprintf(text, sizeof text, "%s.%03dZ", date,
                static_cast<int>(milliseconds));
  return text;
}

std::string FormatText(const core::LogRecord& record) {
  return FormatNow() + " " + std::string(core::SeverityName(record.severity)) +
         " [" + std::string(core::PartPrefix(record.part)) + "] " +
         record.sentence;
}

std::string FormatJson(const core::LogRecord& record) {
  nlohmann::json json{{"time", FormatNow()},
                      {"severity", core::SeverityName(record.severity)},
                      {"part", core::PartPrefix(record.part)},
                      {"message", record.sentence}};
  for (const core::LogField& field : record.fields) {
    json[field.name] = field.value;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace internal

/** @brief The parts of Boost.Log that the logger holds. */
struct BoostLogger::Sink {
  boost::shared_ptr<internal::Frontend> frontend;
  boost::log::sources::logger_mt source;
};

std::unique_ptr<BoostLogger> BoostLogger::Create(LogFormat format,
                                                 core::Severity least) {
  return std::unique_ptr<BoostLogger>(new BoostLogger(format, least));
}

BoostLogger::BoostLogger(LogFormat format, core::Severity least)
    : m_format(format), m_least(least), m_sink(std::make_unique<Sink>()) {
  auto backend = boost::make_shared<internal::Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  m_sink->frontend = boost::make_shared<internal::Frontend>(backend);
  boost::log::core::get()->add_sink(m_sink->frontend);
}

BoostLogger::~BoostLogger() {
  boost::log::core::get()->remove_sink(m_sink->frontend);
  m_sink->frontend->stop();
  m_sink->frontend->flush();
}

bool BoostLogger::IsEnabled(core::Severity severity) const {
  return severity >= m_least;
}

void BoostLogger::Write(const core::LogRecord& record) {
  if (!IsEnabled(record.severity)) {
    return;
  }
  BOOST_LOG(m_sink->source)
      << (m_format == LogFormat::kText ? internal::FormatText(record)
                                       : internal::FormatJson(record));
}

}  // namespace crocusmast::adapters
