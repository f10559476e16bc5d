#ifndef BENCH_OUTCOME_LOG_H_
#define BENCH_OUTCOME_LOG_H_

#include <fstream>
#include <string>

#include "bench/sender.h"

namespace bench {

/** @brief Writes how each request ended to a file, a line each. */
class OutcomeLog {
 public:
  /**
   * @brief Opens the file.
   * @param file_name The file; empty to write nothing.
   */
  explicit OutcomeLog(const std::string& file_name);

  /**
   * @brief Writes one line.
   * @param request The request.
   * @param outcome How it ended.
   */
  void Write(const LoadRequest& request, LoadOutcome outcome);

 private:
  std::ofstream m_file;
};

}  // namespace bench

#endif  // BENCH_OUTCOME_LOG_H_
