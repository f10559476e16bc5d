#ifndef CROCUSMAST_JOB_RUN_H_
#define CROCUSMAST_JOB_RUN_H_

#include <cstdint>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::job {

/** @brief One execution of a task on one worker. */
struct Run {
  /** @brief Worker that it is assigned to. */
  core::InstanceId worker;
  /** @brief Incarnation of that worker. */
  core::Incarnation incarnation;
  /** @brief Attempt number of the task. */
  core::Attempt attempt;
  /** @brief When it was placed on the worker, or found there. */
  core::TimePoint started_at;
  /** @brief Progress in per cent; of a long-running task its speed. */
  std::uint32_t percent = 0;
  /** @brief When the worker last reported 100 per cent. */
  core::TimePoint last_at_full_speed;
  /** @brief A stop command was sent. */
  bool is_stopping = false;
  /** @brief The progress that is being stored contains its placement. */
  bool is_in_captured_progress = false;
  /** @brief Its placement is stored, so that a successor knows its worker. */
  bool is_placement_stored = false;
  /** @brief Its worker survived the start of the run. */
  bool has_survived_start = false;
  /** @brief A start command for it may still be executed. */
  bool has_open_start = false;
  /** @brief Its start was repeated to a later incarnation since a crash was
   * last counted under its attempt. */
  bool is_repeated = false;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_RUN_H_
