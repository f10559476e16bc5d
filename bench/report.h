#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "bench/sender.h"

namespace bench {

/** @brief Sums up requests by plan. */
class Report {
 public:
  Report();
  ~Report();

  /**
   * @brief Adds a request that ended.
   * @param request The request.
   * @param outcome How it ended.
   * @param latency From its intended start to its end.
   */
  void Add(const LoadRequest& request,
           LoadOutcome outcome,
           std::chrono::nanoseconds latency);

  /**
   * @brief Writes a table.
   * @param seconds The length of the run.
   */
  std::string FormatTable(double seconds) const;

  /**
   * @brief Writes JSON.
   * @param seconds The length of the run.
   */
  std::string FormatJson(double seconds) const;

 private:
  struct Plan;

  std::map<std::string, std::unique_ptr<Plan>> m_plans;
};

}  // namespace bench

#endif  // BENCH_REPORT_H_
