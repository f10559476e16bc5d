#ifndef TEST_SCHEDULING_LONG_RUNNING_FIXTURE_H_
#define TEST_SCHEDULING_LONG_RUNNING_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "test/scheduling/scheduler_fixture.h"

namespace test {

/** @brief Makes a step of long-running tasks, one on each worker. */
inline job::Step LongRunningStep(std::uint32_t count) {
  job::Step step = MakeStep(count);
  step.is_long_running = true;
  step.max_per_worker = 1;
  return step;
}

/** @brief Returns the progress that a leader has stored last. */
inline job::JobProgress StoredProgress(const SchedulerFixture& fixture) {
  for (std::size_t count = fixture.replied_commits; count > 0; --count) {
    const job::Commit& commit = fixture.store.commits[count - 1];
    if (!commit.progress.empty()) {
      return commit.progress.front().progress;
    }
  }
  return {};
}

/** @brief Replies to the latest poll of a worker. */
inline void ReplyToPollOf(SchedulerFixture& fixture,
                          const core::InstanceId& worker,
                          std::vector<execution::RunReport> running,
                          std::vector<execution::EndedRunReport> ended = {}) {
  const auto& polls = fixture.worker_port.polls;
  const auto poll = std::find_if(
      polls.rbegin(), polls.rend(),
      [&worker](const auto& command) { return command.to.worker == worker; });
  CPPUNIT_ASSERT(poll != polls.rend());
  execution::PollReply reply;
  reply.worker = worker;
  reply.incarnation = poll->to.incarnation;
  reply.sequence = poll->sequence;
  reply.outcome = execution::WorkerCallOutcome::kDone;
  reply.running = std::move(running);
  reply.ended = std::move(ended);
  fixture.scheduler.Handle(reply);
}

}  // namespace test

#endif  // TEST_SCHEDULING_LONG_RUNNING_FIXTURE_H_
