#ifndef BENCH_FLOOD_WORKLOAD_H_
#define BENCH_FLOOD_WORKLOAD_H_

#include <map>
#include <string>
#include <vector>

#include "bench/mix.h"
#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/core/error.h"

namespace bench::flood {

/** @brief A pool of targets. */
struct Pool {
  /** @brief The pool's name. */
  std::string name;
  /** @brief The number of targets. */
  std::size_t targets = 0;
  /** @brief The mean service time of a request. */
  std::chrono::milliseconds service_time{};
};

/** @brief One kind of request and its arrival rate. */
struct Stream {
  /** @brief The parameters of the requests. */
  MixEntry entry;
  /** @brief The pool that serves them. */
  std::string pool;
  /** @brief The mean number of requests per second. */
  double rate = 0;
};

/** @brief A deployment and its load. */
struct Workload {
  /** @brief The plan lists. */
  crocusmast::configuration::PlanLists lists;
  /** @brief The pools. */
  std::vector<Pool> pools;
  /** @brief The kinds of request. */
  std::vector<Stream> streams;
};

/**
 * @brief Reads a deployment and sets the arrival rates of its streams.
 * @param folder The folder with the plan lists, the mix and the pools.
 * @param utilization The average share of each pool's slots in use.
 * @return The workload, or an error that names the file and the field.
 */
crocusmast::core::Result<Workload> ReadWorkload(const std::string& folder,
                                                double utilization);

}  // namespace bench::flood

#endif  // BENCH_FLOOD_WORKLOAD_H_
