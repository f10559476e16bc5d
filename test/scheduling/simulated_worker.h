#ifndef TEST_SCHEDULING_SIMULATED_WORKER_H_
#define TEST_SCHEDULING_SIMULATED_WORKER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "crocusmast/execution/commands.h"
#include "crocusmast/execution/worker_record.h"
#include "test/scheduling/scheduler_fixture.h"

namespace test {

/** @brief What a simulated cluster runs. */
struct SimulatedLoad {
  std::uint32_t worker_count = 3;
  std::uint32_t task_count = 2;
  /** @brief The tasks run until they are told to end, else for good. */
  bool is_finite = false;
  /** @brief See SimulatedCluster::kMaxStartDelay. */
  bool executes_all_late_starts = false;
};

/** @brief What a worker of SimulatedCluster knows, by task index. */
struct SimulatedWorker {
  static constexpr std::chrono::milliseconds kMaxLease{6000};

  std::uint64_t incarnation = 1;
  bool is_up = true;
  /** @brief The membership list has this incarnation, or it is down. */
  bool is_listed = true;
  /** @brief When it started, from the start of the simulation. */
  std::chrono::milliseconds started_at{};
  crocusmast::core::FencingToken token;
  crocusmast::execution::WorkerTime lease_until;
  std::map<std::uint32_t, crocusmast::core::Attempt> runs;
  std::map<std::uint32_t, crocusmast::core::Attempt> last_stopped;
  std::uint64_t last_end = 0;
  std::vector<crocusmast::execution::EndedRunReport> ended;

  /** @brief Reads its clock, which starts anew with each incarnation. */
  crocusmast::execution::WorkerTime Clock(
      std::chrono::milliseconds elapsed) const {
    return crocusmast::execution::WorkerTime(std::chrono::seconds(10) +
                                             elapsed - started_at);
  }

  crocusmast::execution::WorkerRecord Record(
      const std::string& id,
      std::chrono::milliseconds elapsed) const {
    crocusmast::execution::WorkerRecord record = MakeWorker(id, incarnation);
    record.clock = Clock(elapsed);
    return record;
  }

  /** @brief Receives a command; its id is all that it has to name. */
  crocusmast::execution::WorkerCallOutcome Receive(
      crocusmast::core::FencingToken command_token) {
    if (!is_up) {
      return crocusmast::execution::WorkerCallOutcome::kUnknown;
    }
    if (command_token < token) {
      return crocusmast::execution::WorkerCallOutcome::kFenced;
    }
    token = command_token;
    return crocusmast::execution::WorkerCallOutcome::kDone;
  }

  void Extend(crocusmast::execution::WorkerTime until,
              std::chrono::milliseconds elapsed) {
    lease_until =
        std::max(lease_until, std::min(until, Clock(elapsed) + kMaxLease));
  }

  /** @brief Handles a start command that it received, up to the start; returns
   * nothing if the run is to start. */
  std::optional<crocusmast::execution::WorkerCallOutcome> ReplyWithoutStart(
      const crocusmast::execution::StartCommand& command,
      std::chrono::milliseconds elapsed) {
    using crocusmast::execution::WorkerCallOutcome;
    const std::uint32_t index = command.task.key.index;
    Extend(command.lease_until, elapsed);
    const auto known = runs.find(index);
    if (known != runs.end() && known->second == command.attempt) {
      return WorkerCallOutcome::kDone;
    }
    if (!(last_stopped[index] < command.attempt)) {
      return WorkerCallOutcome::kStaleAttempt;
    }
    if (lease_until <= Clock(elapsed)) {
      return WorkerCallOutcome::kLeaseExpiredOnArrival;
    }
    return std::nullopt;
  }

  void Stop(const crocusmast::execution::StopCommand& command) {
    const std::uint32_t index = command.task.key.index;
    const auto run = runs.find(index);
    last_stopped[index] = std::max(last_stopped[index], command.attempt);
    if (run != runs.end() && !(command.attempt < run->second)) {
      EndRun(command.task, crocusmast::job::RunOutcome::kStopped);
    }
  }

  void EndRun(const crocusmast::job::TaskId& task,
              crocusmast::job::RunOutcome outcome) {
    const std::uint32_t index = task.key.index;
    const crocusmast::core::Attempt attempt = runs.at(index);
    last_stopped[index] = attempt;
    const crocusmast::core::RunEndNumber number(++last_end);
    ended.push_back({number, task, attempt, outcome, ""});
    runs.erase(index);
  }

  void EndRuns(const crocusmast::core::JobId& job,
               crocusmast::job::RunOutcome outcome) {
    while (!runs.empty()) {
      EndRun({job, {0, 0, runs.begin()->first}}, outcome);
    }
  }

  /** @brief Forgets ends that the leader has recorded. */
  void Forget(crocusmast::core::RunEndNumber recorded) {
    ended.erase(
        std::remove_if(
            ended.begin(), ended.end(),
            [recorded](const crocusmast::execution::EndedRunReport& end) {
              return !(recorded < end.number);
            }),
        ended.end());
  }
};

}  // namespace test

#endif  // TEST_SCHEDULING_SIMULATED_WORKER_H_
