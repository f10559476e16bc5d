#ifndef CROCUSMAST_JOB_PROGRESS_H_
#define CROCUSMAST_JOB_PROGRESS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/units.h"

namespace crocusmast::job {

/** @brief Where a job stands. */
enum class JobState { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

/**
 * @brief Tells whether nothing more happens to a job.
 * @param state The job's state.
 */
constexpr bool IsFinal(JobState state) {
  return state == JobState::kSucceeded || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

/**
 * @brief Names a state for logs.
 * @param state The state.
 */
constexpr std::string_view StateName(JobState state) {
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

/** @brief What has to be remembered of a task that is not done. */
struct TaskProgress {
  /** @brief The task within its step. */
  std::uint32_t index = 0;
  /** @brief The highest attempt used. */
  core::Attempt attempt;
  /** @brief The attempts that failed. */
  std::vector<core::Attempt> failed;
  /** @brief The saved work of the last run; empty for none. */
  std::string checkpoint;
};

/** @brief What has to be remembered of a step. */
struct StepProgress {
  /** @brief Tells for each task whether it is done. */
  std::vector<bool> done;
  /** @brief Tasks that are not done and have run. */
  std::vector<TaskProgress> tasks;
};

/** @brief What has to be remembered of an occurrence that is not done. */
struct OccurrenceProgress {
  /** @brief The occurrence. */
  std::uint32_t number = 0;
  /** @brief Its steps. */
  std::vector<StepProgress> steps;
};

/** @brief What a successor has to know of a job. */
struct JobProgress {
  /** @brief Where the job stands. */
  JobState state = JobState::kQueued;
  /** @brief Occurrences below this number have been opened. */
  std::uint32_t opened = 0;
  /** @brief Opened occurrences that are not done. */
  std::vector<OccurrenceProgress> open;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_PROGRESS_H_
