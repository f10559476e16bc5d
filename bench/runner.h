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

/** @brief The settings of a load run. */
struct RunSettings {
  /** @brief The mean rate in requests per second; zero for closed-loop load. */
  double rate = 100;
  /** @brief The duration of the run. */
  std::chrono::milliseconds duration{10000};
  /** @brief The number of sender threads. */
  std::size_t threads = 64;
  /** @brief The seed of the random numbers. */
  std::uint64_t seed = 1;
  /** @brief The prefix of the request ids. */
  std::string id_prefix = "load";
  /** @brief The addresses and the path that the requests go to. */
  SenderSettings sender;
};

/**
 * @brief Sends the requests of a load run and waits until all have completed.
 *
 * Open-loop load starts requests on schedule, whether or not earlier ones have
 * completed. Closed-loop load schedules the next one as soon as the ring to the
 * sender threads has room.
 *
 * @param settings The settings of the run.
 * @param mix The kinds of request.
 * @param log Receives the outcome of each request.
 * @param report Receives outcomes and latencies.
 */
void Run(const RunSettings& settings,
         const std::vector<MixEntry>& mix,
         OutcomeLog& log,
         Report& report);

}  // namespace bench

#endif  // BENCH_RUNNER_H_
