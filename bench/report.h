#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "bench/sender.h"

namespace bench {

/** @brief Aggregates outcomes and latencies by plan. */
class Report {
 public:
  Report();
  ~Report();

  /**
   * @brief Adds a completed request.
   * @param request The request.
   * @param outcome The outcome.
   * @param latency The time from the scheduled start to the completion.
   */
  void Add(const LoadRequest& request,
           LoadOutcome outcome,
           std::chrono::nanoseconds latency);

  /**
   * @brief Formats the report as a table.
   * @param seconds The duration of the run.
   */
  std::string FormatTable(double seconds) const;

  /**
   * @brief Formats the report as JSON.
   * @param seconds The duration of the run.
   */
  std::string FormatJson(double seconds) const;

 private:
  struct PlanTotals;

  std::map<std::string, std::unique_ptr<PlanTotals>> m_plans;
};

}  // namespace bench

#endif  // BENCH_REPORT_H_
