#ifndef CROCUSMAST_JOB_TASK_ID_H_
#define CROCUSMAST_JOB_TASK_ID_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "crocusmast/core/ids.h"

namespace crocusmast::job {

/** @brief Position of a task within its job. */
struct TaskKey {
  /** @brief Index of the occurrence, from 0; 0 for a job that runs once. */
  std::uint32_t occurrence = 0;
  /** @brief Index of the step, from 0. */
  std::uint32_t step = 0;
  /** @brief Index of the task within the step, from 0. */
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey& left, const TaskKey& right) {
    return std::tie(left.occurrence, left.step, left.index) ==
           std::tie(right.occurrence, right.step, right.index);
  }
  friend bool operator<(const TaskKey& left, const TaskKey& right) {
    return std::tie(left.occurrence, left.step, left.index) <
           std::tie(right.occurrence, right.step, right.index);
  }
};

/** @brief Identifies a task. */
struct TaskId {
  /** @brief The job of the task. */
  core::JobId job;
  /** @brief The position of the task in its job. */
  TaskKey key;

  friend bool operator==(const TaskId& left, const TaskId& right) {
    return left.key == right.key && left.job == right.job;
  }
  friend bool operator<(const TaskId& left, const TaskId& right) {
    return std::tie(left.job, left.key) < std::tie(right.job, right.key);
  }
};

/**
 * @brief Formats the position of a task for logs.
 * @param key The position.
 * @return OCCURRENCE.STEP.INDEX.
 */
inline std::string Describe(const TaskKey& key) {
  return std::to_string(key.occurrence) + "." + std::to_string(key.step) + "." +
         std::to_string(key.index);
}

/**
 * @brief Formats the id of a task for logs.
 * @param task The task.
 * @return JOB.OCCURRENCE.STEP.INDEX.
 */
inline std::string Describe(const TaskId& task) {
  return task.job.Text() + "." + Describe(task.key);
}

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_TASK_ID_H_
