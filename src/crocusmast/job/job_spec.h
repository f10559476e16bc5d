#ifndef CROCUSMAST_JOB_JOB_SPEC_H_
#define CROCUSMAST_JOB_JOB_SPEC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/resources.h"

namespace crocusmast::job {

/** @brief Maximum payload of a job in bytes; required by the job interface. */
inline constexpr std::size_t kMaxPayloadBytes = 4000;
/** @brief Maximum number of steps of a job; bounds the state per job. */
inline constexpr std::size_t kMaxSteps = 64;
/** @brief Maximum number of tasks of an occurrence; bounds the state per job.
 */
inline constexpr std::uint64_t kMaxTasks = 20'000;
/** @brief Maximum number of occurrences of a job; bounds the state per job. */
inline constexpr std::uint32_t kMaxOccurrences = 100'000;

/** @brief One step of a job: a group of identical tasks. */
struct Step {
  /** @brief Number of tasks. */
  std::uint32_t count = 1;
  /** @brief Resources of each task. */
  Resources resources;
  /** @brief The caller's estimate of a task's run time. */
  core::Duration estimate{};
  /** @brief Indexes of the steps that must be done first. */
  std::vector<std::uint32_t> depends_on;
  /** @brief The tasks write checkpoints while they run. */
  bool writes_checkpoints = false;
  /** @brief The tasks must all run at the same time (gang scheduling). */
  bool is_gang = false;
  /** @brief The tasks run slower when spread over several racks. */
  bool same_rack = false;
  /** @brief Several copies of a task may run at the same time. */
  bool is_speculative = false;
  /** @brief The tasks run until the job is cancelled. */
  bool is_long_running = false;
  /** @brief The tasks only use processor time that other tasks leave idle. */
  bool is_best_effort = false;
  /** @brief Label that a worker must have; empty for any worker. */
  std::string required_label;
  /** @brief Preferred rack, which holds the data; empty for none. */
  std::string preferred_rack;
  /** @brief Maximum number of its tasks on one worker; 0 for no limit. */
  std::uint32_t max_per_worker = 0;
  /** @brief Tasks that voluntary disruptions may make unavailable at a time;
   * absent for no limit. */
  std::optional<std::uint32_t> max_unavailable;
  /** @brief Image of the tasks; may be empty. Tasks of an image behave alike.
   */
  std::string image;
  /** @brief Upper bound for the tail latency of a long-running task; zero for
   * none. */
  core::Duration latency_target{};

  /** @brief Tells whether a task must run neither twice at a time nor again
   * once it is done, so that no two start commands for it may be on their way.
   */
  bool NeedsSingleStart() const { return !is_long_running && !is_speculative; }
  /** @brief Tells whether a successor must know the worker of each start. */
  bool NeedsStoredPlacement() const {
    return is_long_running || !is_speculative;
  }
};

/** @brief Schedule of a job's occurrences. */
struct Schedule {
  /** @brief Number of occurrences; 0 for a single one that is due at once. */
  std::uint32_t occurrence_count = 0;
  /** @brief Due time of the first occurrence. */
  core::WallTime first;
  /** @brief Time between two occurrences. */
  std::chrono::milliseconds interval{};
};

/** @brief A job as specified by its caller. */
struct JobSpec {
  /** @brief Opaque input, passed to each task unchanged. */
  std::string payload;
  /** @brief The steps; at least one. */
  std::vector<Step> steps;
  /** @brief When the steps run. */
  Schedule schedule;

  /** @brief Tells whether a step is long-running. */
  bool HasLongRunningSteps() const;
};

/** @brief A job that was accepted and stored. */
struct AcceptedJob {
  /** @brief Id of the job. */
  core::JobId id;
  /** @brief Queue that it was submitted to. */
  core::QueueId queue;
  /** @brief When it was accepted, by the clock of the accepting instance. */
  core::WallTime accepted_at;
  /** @brief The submitted specification. */
  JobSpec spec;
};

/**
 * @brief Validates a job specification.
 * @param spec The specification.
 * @return Success, or an error that names the step and the allowed values.
 */
core::Result<void> Validate(const JobSpec& spec);

/**
 * @brief Returns the length of the critical path of a job.
 * @param spec The specification; valid.
 * @param is_pending Tells for each step whether it is not done yet; steps that
 * are done count as zero.
 * @param predict Predicts the run time of a step's tasks from its estimate.
 */
core::Duration CriticalPath(
    const JobSpec& spec,
    const std::vector<bool>& is_pending,
    const std::function<core::Duration(core::Duration)>& predict);

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_SPEC_H_
