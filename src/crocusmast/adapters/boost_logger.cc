#include "crocusmast/adapters/boost_logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "crocusmast/core/duty.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::size_t kLogRing = 16384;
constexpr std::chrono::seconds kLogTick{60};

using Backend = boost::log::sinks::text_ostream_backend;
using Frontend = boost::log::sinks::synchronous_sink<Backend>;

/** @brief A record and when it was written. */
struct TimedRecord {
  core::LogRecord record;
  core::WallTime at;
};

std::string FormatMilliseconds(core::WallTime now) {
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

std::string FormatText(const TimedRecord& timed) {
  const core::LogRecord& record = timed.record;
  return FormatMilliseconds(timed.at) + " " +
         std::string(core::SeverityName(record.severity)) + " [" +
         std::string(core::PartPrefix(record.part)) + "] " + record.sentence;
}

std::string FormatJson(const TimedRecord& timed) {
  const core::LogRecord& record = timed.record;
  nlohmann::json json{{"time", FormatMilliseconds(timed.at)},
                      {"severity", core::SeverityName(record.severity)},
                      {"part", core::PartPrefix(record.part)},
                      {"message", record.sentence}};
  for (const core::LogField& field : record.fields) {
    json[field.name] = field.value;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace internal

/** @brief The duty that writes, and the parts of Boost.Log that it uses. */
struct BoostLogger::Writer final
    : public core::DutyHandler<internal::TimedRecord> {
  explicit Writer(LogFormat chosen)
      : format(chosen), duty("log", internal::kLogRing, internal::kLogTick) {}

  void Handle(internal::TimedRecord&& timed) override {
    if (const std::uint64_t drops = duty.Ring().Drops(); drops > told_drops) {
      Put({{core::Part::kDaemon,
            core::Severity::kWarning,
            std::to_string(drops - told_drops) + " log lines were dropped.",
            {{"event", "log_dropped"},
             {"lines", std::to_string(drops - told_drops)}}},
           timed.at});
      told_drops = drops;
    }
    Put(timed);
  }
  void Tick() override {}
  // One write for all lines of a batch.
  void Drained() override { frontend->flush(); }

  void Put(const internal::TimedRecord& timed) {
    BOOST_LOG(source) << (format == LogFormat::kText
                              ? internal::FormatText(timed)
                              : internal::FormatJson(timed));
  }

  const LogFormat format;
  std::uint64_t told_drops = 0;
  core::SystemClock clock;
  boost::shared_ptr<internal::Frontend> frontend;
  boost::log::sources::logger source;
  core::Duty<internal::TimedRecord> duty;
};

std::unique_ptr<BoostLogger> BoostLogger::Create(LogFormat format,
                                                 core::Severity least) {
  return std::unique_ptr<BoostLogger>(new BoostLogger(format, least));
}

BoostLogger::BoostLogger(LogFormat format, core::Severity least)
    : m_least(least), m_writer(std::make_unique<Writer>(format)) {
  auto backend = boost::make_shared<internal::Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  m_writer->frontend = boost::make_shared<internal::Frontend>(backend);
  boost::log::core::get()->add_sink(m_writer->frontend);
  m_writer->duty.Start(*m_writer, m_writer->clock);
}

BoostLogger::~BoostLogger() {
  m_writer->duty.Stop();
  m_writer->frontend->flush();
  boost::log::core::get()->remove_sink(m_writer->frontend);
}

bool BoostLogger::IsEnabled(core::Severity severity) const {
  return severity >= m_least;
}

void BoostLogger::Write(core::LogRecord record) {
  if (IsEnabled(record.severity)) {
    m_writer->duty.Ring().TryPush(
        internal::TimedRecord{std::move(record), m_writer->clock.WallNow()});
  }
}

}  // namespace crocusmast::adapters
