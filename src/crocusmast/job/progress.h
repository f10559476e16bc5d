#ifndef CROCUSMAST_JOB_PROGRESS_H_
#define CROCUSMAST_JOB_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::job {

/** @brief State of a job. */
enum class JobState { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

/**
 * @brief Tells whether a job has ended and its state is final.
 * @param state The job's state.
 */
constexpr bool IsFinal(JobState state) {
  return state == JobState::kSucceeded || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

/**
 * @brief Returns the name of a state for logs and responses.
 * @param state The state.
 */
constexpr std::string_view JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kSucceeded:
      return "succeeded";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

/** @brief Stored progress of a task that is not done. */
struct TaskProgress {
  /** @brief Index of the task within its step. */
  std::uint32_t index = 0;
  /** @brief Highest attempt number used. */
  core::Attempt attempt;
  /** @brief Attempts that failed. */
  std::vector<core::Attempt> failed_attempts;
  /** @brief Latest checkpoint; empty for none. */
  std::string checkpoint;
  /** @brief Attempts under which a worker crashed. */
  std::vector<core::Attempt> crashed_attempts;
};

/** @brief Stored progress of a step. */
struct StepProgress {
  /** @brief Tells for each task whether it is done. */
  std::vector<bool> done;
  /** @brief Progress of the tasks that have run but are not done. */
  std::vector<TaskProgress> tasks;
};

/** @brief Stored progress of an open occurrence. */
struct OccurrenceProgress {
  /** @brief Number of the occurrence. */
  std::uint32_t number = 0;
  /** @brief Its steps. */
  std::vector<StepProgress> steps;
};

/** @brief A worker on which a run of a task may be active. */
struct TaskPlacement {
  TaskKey task;
  core::InstanceId worker;
  core::Incarnation incarnation;
  /** @brief Attempt of a start command that may still be executed; absent if
   * each one was answered. */
  std::optional<core::Attempt> open_attempt{};
};

/** @brief Stored progress of a job, from which a successor continues. */
struct JobProgress {
  /** @brief State of the job. */
  JobState state = JobState::kQueued;
  /** @brief A task has begun; until then all of its tasks are only placed. */
  bool has_begun = true;
  /** @brief Occurrences below this number have been opened. */
  std::uint32_t opened_count = 0;
  /** @brief Occurrences that are open: opened but not done. */
  std::vector<OccurrenceProgress> open_occurrences;
  /** @brief Where runs of long-running tasks may be active, and where starts of
   * finite tasks may not be executed yet; absent if unknown, or for a job
   * without either. */
  std::optional<std::vector<TaskPlacement>> placements;
  /** @brief Pools in which tasks may have been started; absent if unknown. */
  std::optional<std::vector<core::PoolId>> pools;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_PROGRESS_H_
