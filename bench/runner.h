#ifndef BENCH_RUNNER_H_
#define BENCH_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/mix.h"
#include "bench/outcome_log.h"
#include "bench/report.h"
#include "bench/sender.h"

namespace bench {

/** @brief What a run of load is like. */
struct RunSettings {
  /** @brief Requests a second; zero sends as fast as answers come. */
  double rate = 100;
  /** @brief The length of the run. */
  std::chrono::milliseconds length{10000};
  /** @brief Threads that send. */
  std::size_t threads = 64;
  /** @brief The seed of all that is random. */
  std::uint64_t seed = 1;
  /** @brief Starts the ids of the requests. */
  std::string id_prefix = "load";
  /** @brief The addresses. */
  SenderSettings sender;
};

/**
 * @brief Sends requests at their times whether or not answers have come.
 * @param settings The run.
 * @param mix The kinds of request.
 * @param log Takes each request's end.
 * @param report Sums up.
 */
void Run(const RunSettings& settings,
         const std::vector<MixEntry>& mix,
         OutcomeLog& log,
         Report& report);

}  // namespace bench

#endif  // BENCH_RUNNER_H_
