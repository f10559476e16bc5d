#include "crocusmast/adapters/boost_logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <iostream>
#include <utility>

#include "crocusmast/adapters/log_format.h"
#include "crocusmast/core/message_thread.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::size_t kLogRingCapacity = 16384;
constexpr std::chrono::seconds kLogTickInterval{60};

using Backend = boost::log::sinks::text_ostream_backend;
using Frontend = boost::log::sinks::synchronous_sink<Backend>;

/** @brief A log record with its timestamp. */
struct TimedRecord {
  core::LogRecord record;
  core::WallTime at;
};

}  // namespace internal

/** @brief The writer thread and its Boost.Log sink. */
struct BoostLogger::Writer final
    : public core::MessageHandler<internal::TimedRecord> {
  explicit Writer(LogFormat log_format)
      : format(log_format),
        thread("log", internal::kLogRingCapacity, internal::kLogTickInterval) {}

  void Handle(internal::TimedRecord&& timed) override {
    if (const std::uint64_t drops = thread.Ring().Drops();
        drops > reported_drops) {
      WriteLine({{core::Component::kDaemon,
                  core::Severity::kWarning,
                  std::to_string(drops - reported_drops) +
                      " log lines were dropped because the log ring was full.",
                  {{"event", "log_dropped"},
                   {"lines", std::to_string(drops - reported_drops)}}},
                 timed.at});
      reported_drops = drops;
    }
    WriteLine(timed);
  }
  void Tick() override {}
  // Flushes once per batch of lines instead of after each line.
  void OnRingEmpty() override { frontend->flush(); }

  void WriteLine(const internal::TimedRecord& timed) {
    BOOST_LOG(source) << (format == LogFormat::kText
                              ? formatter.FormatText(timed.record, timed.at)
                              : formatter.FormatJson(timed.record, timed.at));
  }

  const LogFormat format;
  LogFormatter formatter;
  std::uint64_t reported_drops = 0;
  core::SystemClock clock;
  boost::shared_ptr<internal::Frontend> frontend;
  boost::log::sources::logger source;
  core::MessageThread<internal::TimedRecord> thread;
};

std::unique_ptr<BoostLogger> BoostLogger::Create(LogFormat format,
                                                 core::Severity min_severity) {
  return std::unique_ptr<BoostLogger>(new BoostLogger(format, min_severity));
}

BoostLogger::BoostLogger(LogFormat format, core::Severity min_severity)
    : m_min_severity(min_severity), m_writer(std::make_unique<Writer>(format)) {
  auto backend = boost::make_shared<internal::Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  m_writer->frontend = boost::make_shared<internal::Frontend>(backend);
  boost::log::core::get()->add_sink(m_writer->frontend);
  m_writer->thread.Start(*m_writer, m_writer->clock);
}

BoostLogger::~BoostLogger() {
  m_writer->thread.Stop();
  m_writer->frontend->flush();
  boost::log::core::get()->remove_sink(m_writer->frontend);
}

bool BoostLogger::IsEnabled(core::Severity severity) const {
  return severity >= m_min_severity;
}

void BoostLogger::Write(core::LogRecord record) {
  if (IsEnabled(record.severity)) {
    m_writer->thread.Ring().TryPush(
        internal::TimedRecord{std::move(record), m_writer->clock.WallNow()});
  }
}

}  // namespace crocusmast::adapters
