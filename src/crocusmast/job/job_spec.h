#ifndef CROCUSMAST_JOB_JOB_SPEC_H_
#define CROCUSMAST_JOB_JOB_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/resources.h"

namespace crocusmast::job {

/** @brief The longest payload of a job, in bytes; from the job interface. */
inline constexpr std::size_t kMaxPayloadBytes = 4000;
/** @brief The most steps of a job; bounds the state that one job costs. */
inline constexpr std::size_t kMaxSteps = 64;
/** @brief The most tasks of one occurrence, for the same reason. */
inline constexpr std::uint64_t kMaxTasks = 20'000;
/** @brief The most occurrences of a job, for the same reason. */
inline constexpr std::uint32_t kMaxOccurrences = 100'000;

/** @brief A group of equal tasks. */
struct Step {
  /** @brief How many tasks. */
  std::uint32_t count = 1;
  /** @brief What each task takes. */
  Room room;
  /** @brief The caller's guess of how long a task runs. */
  core::Duration estimate{};
  /** @brief The steps whose tasks must all be done first. */
  std::vector<std::uint32_t> after;
  /** @brief Saves its work as it goes. */
  bool checkpointing = false;
  /** @brief The tasks work only all together. */
  bool gang = false;
  /** @brief Slow when spread over racks. */
  bool same_rack = false;
  /** @brief Copies may run side by side. */
  bool speculative = false;
  /** @brief Runs until the job is cancelled. */
  bool long_running = false;
  /** @brief Takes only processor time that the other tasks leave. */
  bool is_filler = false;
  /** @brief The label that a worker must have; empty for any. */
  std::string required_label;
  /** @brief The rack with the data; empty for any. */
  std::string near_rack;
  /** @brief The most tasks on one worker; 0 for any number. */
  std::uint32_t max_per_worker = 0;
  /** @brief How many tasks may be away through us; absent for any number. */
  std::optional<std::uint32_t> max_unavailable;
  /** @brief Tasks of one image behave alike; may be empty. */
  std::string image;
  /** @brief The bound of the tail of a long-running task's response times. */
  core::Duration latency_target{};
};

/** @brief When the steps of a job run. */
struct Schedule {
  /** @brief How often; 0 for once, at once. */
  std::uint32_t times = 0;
  /** @brief When the first occurrence is due. */
  core::WallTime first;
  /** @brief The time between two occurrences. */
  std::chrono::milliseconds interval{};
};

/** @brief What a caller hands in. */
struct JobSpec {
  /** @brief Handed to each task as it is. */
  std::string payload;
  /** @brief The steps; at least one. */
  std::vector<Step> steps;
  /** @brief When they run. */
  Schedule schedule;
};

/** @brief A job that the store holds. */
struct AcceptedJob {
  /** @brief The job. */
  core::JobId id;
  /** @brief The queue that it was handed to. */
  core::QueueId queue;
  /** @brief When it was accepted, by the accepting instance's calendar. */
  core::WallTime accepted_at;
  /** @brief What was handed in. */
  JobSpec spec;
};

/**
 * @brief Checks the rules that every job keeps.
 * @param spec The job.
 * @return Nothing, or an error that names the step and what is allowed.
 */
core::Result<void> Validate(const JobSpec& spec);

/**
 * @brief Returns the longest chain of estimates from a step on.
 * @param spec The job; valid.
 * @param is_pending Tells for each step whether it is still to be done.
 */
core::Duration CriticalPath(const JobSpec& spec,
                            const std::vector<bool>& is_pending);

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_SPEC_H_
