#ifndef CROCUSMAST_LEADERSHIP_LEADER_LEASE_H_
#define CROCUSMAST_LEADERSHIP_LEADER_LEASE_H_

#include <chrono>

#include "crocusmast/core/clock.h"

namespace crocusmast::leadership {

/** @brief Timings of a leader lease. */
struct LeaseTimings {
  /** @brief Time after which the store drops a lease that is not renewed. */
  std::chrono::milliseconds duration{};
  /** @brief Interval between renewals. */
  std::chrono::milliseconds renew_interval{};
  /**
   * @brief Time for which a leader acts after the start of its last successful
   * renewal.
   *
   * It must be shorter than the duration if only the lease prevents two leaders
   * from acting at the same time. It may be longer if the receivers of commands
   * reject those of a superseded leader.
   */
  std::chrono::milliseconds renew_deadline{};
};

/**
 * @brief Local view of a leader lease, based on the monotonic clock.
 *
 * Times count from the start of the call to the store, so the lease in the
 * store never expires before the local view does.
 */
class LeaderLease {
 public:
  /**
   * @brief Creates a lease that is not held.
   * @param timings Timings of the lease.
   */
  explicit LeaderLease(LeaseTimings timings) : m_timings(timings) {}

  /** @brief Returns the timings. */
  const LeaseTimings& Timings() const { return m_timings; }

  /**
   * @brief Records that the store granted or renewed the lease.
   * @param requested_at Start time of the call.
   */
  void Extend(core::TimePoint requested_at) {
    m_is_held = true;
    m_requested_at = requested_at;
    m_renew_at = requested_at + m_timings.renew_interval;
  }

  /** @brief Records that the lease is lost. */
  void MarkLost() { m_is_held = false; }

  /** @brief Tells whether the lease was granted and has not been lost since. */
  bool IsHeld() const { return m_is_held; }

  /**
   * @brief Tells whether this instance may act as the leader.
   * @param now Current time.
   */
  bool MayAct(core::TimePoint now) const {
    return m_is_held && now < m_requested_at + m_timings.renew_deadline;
  }

  /**
   * @brief Tells whether the store is known to still hold the lease.
   * @param now Current time.
   */
  bool IsValid(core::TimePoint now) const {
    return m_is_held && now < m_requested_at + m_timings.duration;
  }

  /**
   * @brief Returns the start time of the last call that granted or renewed the
   * lease.
   */
  core::TimePoint ConfirmedAt() const { return m_requested_at; }

  /**
   * @brief Tells whether a renewal is due.
   * @param now Current time.
   */
  bool IsRenewalDue(core::TimePoint now) const {
    return m_is_held && m_renew_at <= now;
  }

  /**
   * @brief Sets the time of the next renewal.
   * @param when Time of the next renewal.
   */
  void PostponeRenewal(core::TimePoint when) { m_renew_at = when; }

 private:
  LeaseTimings m_timings;
  bool m_is_held = false;
  core::TimePoint m_requested_at;
  core::TimePoint m_renew_at;
};

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_LEADER_LEASE_H_
