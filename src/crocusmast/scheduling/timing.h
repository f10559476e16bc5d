#ifndef CROCUSMAST_SCHEDULING_TIMING_H_
#define CROCUSMAST_SCHEDULING_TIMING_H_

#include <chrono>
#include <cstdint>

namespace crocusmast::scheduling {

/** @brief Length of the lease that each poll requests for a worker. Runs must
 * survive a failover: 2 s until the leader's lease expires, then the takeover.
 */
inline constexpr std::chrono::milliseconds kWorkerLeaseLength{4500};
/** @brief How long a poll waits for a run to end; well below
 * kWorkerLeaseLength. */
inline constexpr std::chrono::milliseconds kPollWait{1000};
/** @brief Delay before the next poll after one that failed. */
inline constexpr std::chrono::milliseconds kPollRetryDelay{150};
/** @brief How long a worker must be silent until the handover state says that
 * its lease is not extended; keeps short interruptions from causing writes. */
inline constexpr std::chrono::milliseconds kLeaseFreezeDelay{2500};
/** @brief That delay for a silent worker without runs, which is polled until it
 * may get tasks again. */
inline constexpr std::chrono::milliseconds kIdlePollRetryDelay{2000};
/** @brief Delay before a poll that only acknowledges ended runs. */
inline constexpr std::chrono::milliseconds kAcknowledgeDelay{250};
/** @brief Delay between polls while ended runs are not recorded yet. */
inline constexpr std::chrono::milliseconds kUnrecordedPollDelay{300};
/** @brief How long a worker that rejected a start or did not reply gets no
 * tasks. */
inline constexpr std::chrono::milliseconds kWorkerBackoff{500};
/** @brief Number of consecutive failed runs after which a worker gets no tasks
 * for some time. */
inline constexpr std::uint32_t kFailedRunsForBackoff{3};
/** @brief How long such a worker gets no tasks, per consecutive failed run. */
inline constexpr std::chrono::milliseconds kFailedRunBackoff{1500};
/** @brief Delay before a stop command without a reply, or a start command that
 * could not be sent again, is repeated. */
inline constexpr std::chrono::milliseconds kCommandRetryDelay{250};
/** @brief Age of the known store state from which on no task is started. A
 * cancellation takes effect within 3 s of its acknowledgement; the rest is for
 * the start command to reach the worker. */
inline constexpr std::chrono::milliseconds kMaxStartViewAge{2500};
/** @brief How long a stored job may list starts of finite tasks as open that
 * were answered: above most run times, whose ends store the job anyway. */
inline constexpr std::chrono::milliseconds kAnsweredStartsDelay{1000};
/** @brief Interval of checks of all workers, due occurrences and retries;
 * well below the shortest delay, kPollRetryDelay. */
inline constexpr std::chrono::milliseconds kSweepInterval{25};
/** @brief Interval of placement retries. The end of a worker's backoff raises
 * no event. */
inline constexpr std::chrono::milliseconds kPlacementRetryInterval{250};
/** @brief How long the final state of an ended job is kept; required by the job
 * interface. */
inline constexpr std::chrono::seconds kEndedJobRetention{150};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_TIMING_H_
