#ifndef TEST_SCHEDULING_SIMULATED_WORKER_H_
#define TEST_SCHEDULING_SIMULATED_WORKER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "crocusmast/execution/commands.h"
#include "crocusmast/execution/worker_record.h"

namespace test {

/** @brief What a worker of SimulatedCluster knows, by task index. */
struct SimulatedWorker {
  std::uint64_t incarnation = 1;
  bool is_up = true;
  crocusmast::core::FencingToken token;
  crocusmast::execution::WorkerTime lease_until;
  std::map<std::uint32_t, crocusmast::core::Attempt> runs;
  std::map<std::uint32_t, crocusmast::core::Attempt> last_stopped;
  std::uint64_t last_end = 0;
  std::vector<crocusmast::execution::EndedRunReport> ended;
};

}  // namespace test

#endif  // TEST_SCHEDULING_SIMULATED_WORKER_H_
