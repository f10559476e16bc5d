#include "crocusmast/scheduling/job_monitor.h"

#include <string>
#include <string_view>
#include <utility>

namespace crocusmast::scheduling {
namespace internal {

/** @brief Log field of each phase, in the order of the phases. */
constexpr std::array<std::string_view, 5> kPhaseFields{
    "seen_ms", "first_placed_ms", "all_placed_ms", "ended_ms", "stored_ms"};

}  // namespace internal

void JobMonitor::HandleEndStored(const ActiveJob& active, core::TimePoint now) {
  const JobTimes& times = active.times;
  const bool is_measured =
      times.seen_at != core::TimePoint() &&
      times.first_placed_at != core::TimePoint() &&
      times.ended_at != core::TimePoint() &&
      active.job.Accepted().spec.schedule.occurrence_count == 0 &&
      !active.job.Accepted().spec.HasLongRunningSteps();
  if (!is_measured) {
    return;
  }
  Total& total = m_totals[active.job.Accepted().queue];
  ++total.jobs;
  total.in_time += now <= active.deadline ? 1 : 0;
  const std::array<core::TimePoint, Phase::kCount + 1> moments{
      active.accepted_at,   times.seen_at,  times.first_placed_at,
      times.last_placed_at, times.ended_at, now};
  for (std::size_t phase = 0; phase < Phase::kCount; ++phase) {
    total.phases[phase] += moments[phase + 1] - moments[phase];
  }
}

std::vector<std::vector<core::LogField>> JobMonitor::NextReports(
    core::TimePoint now) {
  std::vector<std::vector<core::LogField>> reports;
  if (now < m_next_report_at) {
    return reports;
  }
  m_next_report_at = now + kJobReportInterval;
  for (const auto& [queue, total] : std::exchange(m_totals, {})) {
    std::vector<core::LogField> fields{
        {"queue", queue.Text()},
        {"jobs", std::to_string(total.jobs)},
        {"in_time", std::to_string(total.in_time)}};
    for (std::size_t phase = 0; phase < Phase::kCount; ++phase) {
      const auto mean = std::chrono::duration_cast<std::chrono::milliseconds>(
          total.phases[phase] / total.jobs);
      fields.push_back({std::string(internal::kPhaseFields[phase]),
                        std::to_string(mean.count())});
    }
    reports.push_back(std::move(fields));
  }
  return reports;
}

}  // namespace crocusmast::scheduling
