#ifndef BENCH_OUTCOME_LOG_H_
#define BENCH_OUTCOME_LOG_H_

#include <fstream>
#include <string>

#include "bench/sender.h"

namespace bench {

/**
 * @brief Writes the outcome of each request to a file, one per line.
 *
 * A line holds the request id, the plan, the kind, the value of the header that
 * allows or forbids retries, the outcome and the time in milliseconds since
 * 1970.
 */
class OutcomeLog {
 public:
  /**
   * @brief Opens the file.
   * @param file_name The file; empty to disable the log.
   */
  explicit OutcomeLog(const std::string& file_name);

  /**
   * @brief Writes the outcome of one request.
   * @param request The request.
   * @param outcome The outcome.
   */
  void Write(const LoadRequest& request, LoadOutcome outcome);

 private:
  std::ofstream m_file;
};

}  // namespace bench

#endif  // BENCH_OUTCOME_LOG_H_
