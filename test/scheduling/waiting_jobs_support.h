#ifndef TEST_SCHEDULING_WAITING_JOBS_SUPPORT_H_
#define TEST_SCHEDULING_WAITING_JOBS_SUPPORT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "test/scheduling/scheduler_fixture.h"

namespace test {

/** @brief Returns the id of a numbered job. */
inline std::string NumberedJobId(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

/**
 * @brief Begins a term, and lets jobs of one task wait without workers.
 * @param fixture The scheduler.
 * @param count Number of jobs, with ids from 0 on.
 * @param wait How long they wait.
 */
inline void LetJobsWait(SchedulerFixture& fixture,
                        std::uint32_t count,
                        std::chrono::seconds wait) {
  fixture.BeginTerm();
  for (std::uint32_t job = 0; job < count; ++job) {
    fixture.scheduler.AddJob(MakeJob(NumberedJobId(job), {MakeStep(1)}));
  }
  fixture.RunCycles();
  fixture.clock.Advance(wait);
  fixture.ReceiveStoreState();
}

/**
 * @brief Lists workers that are alike.
 * @param fixture The scheduler.
 * @param count Number of workers.
 * @param processor Processor time of each, in thousandths of a core.
 */
inline void ListEqualWorkers(SchedulerFixture& fixture,
                             std::uint32_t count,
                             std::uint64_t processor) {
  std::vector<execution::WorkerRecord> workers;
  for (std::uint32_t index = 0; index < count; ++index) {
    workers.push_back(MakeWorker("w-" + std::to_string(index), 1, processor));
  }
  fixture.SetWorkers(std::move(workers));
}

}  // namespace test

#endif  // TEST_SCHEDULING_WAITING_JOBS_SUPPORT_H_
