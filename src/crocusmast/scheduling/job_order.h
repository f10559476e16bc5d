#ifndef CROCUSMAST_SCHEDULING_JOB_ORDER_H_
#define CROCUSMAST_SCHEDULING_JOB_ORDER_H_

#include <chrono>
#include <cstdint>
#include <tuple>

#include "crocusmast/core/clock.h"

namespace crocusmast::scheduling {

/** @brief What a job is still worth to its caller if its tasks start now. */
enum class Timeliness {
  /** @brief It can end within its objective. */
  kInTime,
  /** @brief It can end before its result is worth nothing. */
  kLate,
  /** @brief Its result is worth nothing when it ends. */
  kExpired
};

/** @brief Multiple of a job's objective after which its result is worth
 * nothing; specified by the job interface. */
inline constexpr int kExpiryFactor = 3;

/** @brief Share of the processor capacity that long-running tasks leave up to
 * which the tasks of expired jobs are started, in per cent: above the half
 * below which the job interface wants waiting jobs started, and below the load
 * at which a pool lends machines.
 */
inline constexpr std::uint64_t kExpiredSharePercent = 55;

/** @brief Interval at which expired jobs are looked at again, since estimates
 * of run times change. */
inline constexpr std::chrono::seconds kExpiredReviewInterval{1};

/** @brief What decides when the tasks of a waiting job are placed. */
struct JobUrgency {
  /** @brief Priority of its queue; 0 is the highest. */
  std::uint32_t priority = 0;
  /** @brief It has long-running tasks, which have no end to be in time for. */
  bool is_long_running = false;
  /** @brief Some of its tasks have been started, so that work is lost to its
   * caller if the others are late. */
  bool is_started = false;
  /** @brief When it was accepted, or its oldest open occurrence became due. */
  core::TimePoint accepted_at;
  /** @brief Time after that in which it should end. */
  core::Duration objective{};
  /** @brief Estimated length of its remaining critical path. */
  core::Duration remaining{};
};

/**
 * @brief Place of a job in the order in which tasks are placed.
 *
 * Long-running jobs come first, whatever their priority, as their tasks must
 * run however full the pool is. Of the finite ones, those that can end in time
 * come by deadline. Of the others the most recently accepted come first: in a
 * long backlog they are those that most likely end before they expire. Started
 * jobs come before those that have not started, so that wide jobs, which need
 * many tasks at once, end as often as narrow ones. Expired jobs come last
 * whatever their priority.
 */
struct JobRank {
  std::uint32_t priority = 0;
  bool is_finite = true;
  bool is_started = false;
  Timeliness timeliness = Timeliness::kInTime;
  /** @brief Orders jobs that are equal in all else. */
  core::Duration order{};
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
    rank.is_started = urgency.is_started;
    const core::TimePoint deadline = urgency.accepted_at + urgency.objective;
    if (urgency.is_long_running) {
      rank.order = deadline.time_since_epoch();
      return rank;
    }
    const core::TimePoint last_start = deadline - urgency.remaining;
    const core::TimePoint last_useful_start =
        urgency.accepted_at + kExpiryFactor * urgency.objective -
        urgency.remaining;
    if (now <= last_start) {
      rank.order = deadline.time_since_epoch();
      rank.valid_until = last_start;
      return rank;
    }
    rank.order = -urgency.accepted_at.time_since_epoch();
    rank.timeliness = Timeliness::kExpired;
    rank.valid_until = now + kExpiredReviewInterval;
    if (now <= last_useful_start) {
      rank.timeliness = Timeliness::kLate;
      rank.valid_until = last_useful_start;
    }
    return rank;
  }

  /** @brief Tells whether the tasks of the left job are placed first. */
  friend bool operator<(const JobRank& left, const JobRank& right) {
    return left.Key() < right.Key();
  }

 private:
  std::tuple<bool, bool, std::uint32_t, Timeliness, bool, core::Duration> Key()
      const {
    return {is_finite,   timeliness == Timeliness::kExpired,
            priority,    timeliness,
            !is_started, order};
  }
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_JOB_ORDER_H_
