#ifndef CROCUSMAST_SCHEDULING_JOB_ORDER_H_
#define CROCUSMAST_SCHEDULING_JOB_ORDER_H_

#include <cstdint>
#include <tuple>

#include "crocusmast/core/clock.h"

namespace crocusmast::scheduling {

/** @brief Whether a job can still end within its objective. */
enum class Timeliness { kInTime, kLate };

/** @brief What decides when the tasks of a waiting job are placed. */
struct JobUrgency {
  /** @brief Priority of its queue; 0 is the highest. */
  std::uint32_t priority = 0;
  /** @brief It has long-running tasks, which have no end to be in time for. */
  bool is_long_running = false;
  /** @brief When it has to end to meet its queue's objective. */
  core::TimePoint deadline;
  /** @brief Estimated length of its remaining critical path. */
  core::Duration remaining{};
};

/** @brief Place of a job in the order in which tasks are placed. */
struct JobRank {
  std::uint32_t priority = 0;
  bool is_finite = true;
  Timeliness timeliness = Timeliness::kInTime;
  core::TimePoint deadline;
  /** @brief When the job gets another rank if it still waits. */
  core::TimePoint valid_until = core::TimePoint::max();

  /**
   * @brief Returns the rank of a job.
   * @param urgency The job.
   * @param now The current time.
   */
  static JobRank Of(const JobUrgency& urgency, core::TimePoint now) {
    JobRank rank;
    rank.priority = urgency.priority;
    rank.is_finite = !urgency.is_long_running;
    rank.deadline = urgency.deadline;
    const core::TimePoint last_start = urgency.deadline - urgency.remaining;
    if (last_start < now) {
      rank.timeliness = Timeliness::kLate;
    } else {
      rank.valid_until = last_start;
    }
    return rank;
  }

  /** @brief Tells whether the tasks of the left job are placed first. */
  friend bool operator<(const JobRank& left, const JobRank& right) {
    return std::tie(left.priority, left.is_finite, left.timeliness,
                    left.deadline) < std::tie(right.priority, right.is_finite,
                                              right.timeliness, right.deadline);
  }
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_JOB_ORDER_H_
