#ifndef CROCUSMAST_SCHEDULING_RUN_MONITOR_H_
#define CROCUSMAST_SCHEDULING_RUN_MONITOR_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/execution/worker.h"

namespace crocusmast::scheduling {

/** @brief Interval of the log line on run times. */
inline constexpr std::chrono::seconds kRunReportInterval{1};

/**
 * @brief Measures the phases of runs, from placement to the handling of the
 * end.
 *
 * The phases of a run that succeeded add up to the time for which it reserved
 * its resources.
 */
class RunMonitor {
 public:
  /**
   * @brief Creates a monitor.
   * @param meter Receives the phases; outlives the monitor.
   */
  explicit RunMonitor(core::Meter& meter) : m_meter(meter) {}

  /**
   * @brief Counts a job that arrived.
   * @param is_late It can't meet its deadline by the estimated run times.
   */
  void HandleArrival(bool is_late);
  /**
   * @brief Handles the first start command of a run.
   * @param run The run.
   * @param now The current time.
   */
  void HandleStart(const execution::AssignedRun& run, core::TimePoint now);
  /**
   * @brief Handles the first confirmation of a run.
   * @param run The run, which is given the time of its confirmation.
   * @param now The current time.
   */
  void HandleConfirmation(execution::AssignedRun& run, core::TimePoint now);
  /**
   * @brief Handles the end of a run that succeeded.
   * @param run The run.
   * @param run_time Its run time on the worker's clock.
   * @param now The current time.
   */
  void HandleEnd(const execution::AssignedRun& run,
                 core::Duration run_time,
                 core::TimePoint now);

  /**
   * @brief Summarizes what happened since the last report.
   * @param now The current time.
   * @return Empty before kRunReportInterval has passed, and if nothing
   * happened.
   */
  std::vector<core::LogField> NextReport(core::TimePoint now);

 private:
  struct Total {
    core::Duration sum{};
    std::uint64_t count = 0;
  };
  enum Phase : std::size_t {
    kStartWait,
    kStartReply,
    kRun,
    kEndReport,
    kCount
  };

  void Add(Phase phase, core::Duration value);

  core::Meter& m_meter;
  std::array<Total, Phase::kCount> m_totals;
  std::uint64_t m_arrivals = 0;
  std::uint64_t m_late_arrivals = 0;
  core::TimePoint m_next_report_at;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_RUN_MONITOR_H_
