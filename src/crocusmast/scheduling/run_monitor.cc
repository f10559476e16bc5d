#include "crocusmast/scheduling/run_monitor.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace crocusmast::scheduling {
namespace internal {

struct PhaseNames {
  core::Timing timing;
  std::string_view field;
};

/** @brief Histogram and log field of each phase, in the order of the phases. */
constexpr std::array<PhaseNames, 4> kPhaseNames{{
    {core::Timing::kRunStartWait, "start_wait_ms"},
    {core::Timing::kRunStartReply, "start_reply_ms"},
    {core::Timing::kRunTime, "run_ms"},
    {core::Timing::kRunEndReport, "end_report_ms"},
}};

}  // namespace internal

void RunMonitor::HandleArrival(bool is_late) {
  ++m_arrivals;
  m_late_arrivals += is_late ? 1 : 0;
}

void RunMonitor::HandleStart(const execution::AssignedRun& run,
                             core::TimePoint now) {
  if (run.placed_at != core::TimePoint()) {
    Add(kStartWait, now - run.placed_at);
  }
}

void RunMonitor::HandleConfirmation(execution::AssignedRun& run,
                                    core::TimePoint now) {
  run.confirmed_at = now;
  // The last command is the start command unless the run is being stopped.
  if (!run.is_stopping) {
    Add(kStartReply, now - run.command_sent_at);
  }
}

void RunMonitor::HandleEnd(const execution::AssignedRun& run,
                           core::Duration run_time,
                           core::TimePoint now) {
  Add(kRun, run_time);
  // The worker's clock may differ from this one by its drift.
  Add(kEndReport,
      std::max(core::Duration::zero(), now - run.confirmed_at - run_time));
}

std::vector<core::LogField> RunMonitor::NextReport(core::TimePoint now) {
  const bool is_changed =
      m_arrivals > 0 || std::any_of(m_totals.begin(), m_totals.end(),
                                    [](const Total& t) { return t.count > 0; });
  if (now < m_next_report_at || !is_changed) {
    return {};
  }
  m_next_report_at = now + kRunReportInterval;
  std::vector<core::LogField> fields;
  for (std::size_t phase = 0; phase < Phase::kCount; ++phase) {
    const Total total = std::exchange(m_totals[phase], {});
    const auto mean = std::chrono::duration_cast<std::chrono::milliseconds>(
        total.sum / std::max<std::uint64_t>(total.count, 1));
    fields.push_back({std::string(internal::kPhaseNames[phase].field),
                      std::to_string(mean.count())});
    if (phase == kRun) {
      fields.push_back({"runs", std::to_string(total.count)});
    }
  }
  fields.push_back({"arrived", std::to_string(std::exchange(m_arrivals, 0))});
  fields.push_back(
      {"arrived_late", std::to_string(std::exchange(m_late_arrivals, 0))});
  return fields;
}

void RunMonitor::Add(Phase phase, core::Duration value) {
  m_meter.Observe(internal::kPhaseNames[phase].timing, value);
  m_totals[phase].sum += value;
  ++m_totals[phase].count;
}

}  // namespace crocusmast::scheduling
