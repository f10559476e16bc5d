#ifndef CROCUSMAST_SCHEDULING_JOB_MONITOR_H_
#define CROCUSMAST_SCHEDULING_JOB_MONITOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/scheduling/active_job.h"

namespace crocusmast::scheduling {

/** @brief Interval of the log lines on jobs that ended. */
inline constexpr std::chrono::seconds kJobReportInterval{1};

/**
 * @brief Measures the phases of jobs, from their acceptance until their end is
 * stored.
 *
 * The phases of a job add up to the time that its caller waited for it, but for
 * the calls themselves. Jobs of an earlier term, with a schedule or with
 * long-running tasks are not measured.
 */
class JobMonitor {
 public:
  /**
   * @brief Handles a stored end of a job that succeeded.
   * @param active The job.
   * @param now The current time.
   */
  void HandleEndStored(const ActiveJob& active, core::TimePoint now);

  /**
   * @brief Summarizes the jobs of each queue since the last report.
   * @param now The current time.
   * @return The fields of one log line for each queue; empty before
   * kJobReportInterval has passed.
   */
  std::vector<std::vector<core::LogField>> NextReports(core::TimePoint now);

  /** @brief Forgets the jobs since the last report. */
  void Clear() { m_totals.clear(); }

 private:
  enum Phase : std::size_t {
    kSeen,
    kFirstPlaced,
    kAllPlaced,
    kEnded,
    kStored,
    kCount
  };
  struct Total {
    std::uint64_t jobs = 0;
    std::uint64_t in_time = 0;
    std::array<core::Duration, Phase::kCount> phases{};
  };

  std::map<core::QueueId, Total> m_totals;
  core::TimePoint m_next_report_at;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_JOB_MONITOR_H_
