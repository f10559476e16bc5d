#ifndef CROCUSMAST_LEADERSHIP_LEADER_LEASE_H_
#define CROCUSMAST_LEADERSHIP_LEADER_LEASE_H_

#include <chrono>

#include "crocusmast/core/clock.h"

namespace crocusmast::leadership {

/** @brief How a duty's lease is kept. */
struct LeaseTimings {
  /** @brief How long the store keeps a lease that is not renewed. */
  std::chrono::milliseconds duration{};
  /** @brief How often it is renewed. */
  std::chrono::milliseconds renew_interval{};
  /**
   * @brief How long a holder acts after the last renewal that succeeded.
   *
   * Shorter than the length where the lease alone keeps two holders apart;
   * longer where those who take the orders refuse deposed holders.
   */
  std::chrono::milliseconds renew_deadline{};
};

/**
 * @brief Knows by the monotonic clock whether this instance may act.
 *
 * The time counts from before the call to the store, so the store's lease
 * always lasts longer than what is believed here.
 */
class LeaderLease {
 public:
  /**
   * @brief Makes a lease that is not held.
   * @param timings How it is kept.
   */
  explicit LeaderLease(LeaseTimings timings) : m_timings(timings) {}

  /** @brief Returns how it is kept. */
  const LeaseTimings& Timings() const { return m_timings; }

  /**
   * @brief Takes in that the store granted or renewed the lease.
   * @param requested_at When the call began.
   */
  void Extend(core::TimePoint requested_at) {
    m_is_held = true;
    m_requested_at = requested_at;
    m_renew_at = requested_at + m_timings.renew_interval;
  }

  /** @brief Takes in that the lease is lost. */
  void MarkLost() { m_is_held = false; }

  /** @brief Tells whether the lease was granted and not lost since. */
  bool IsHeld() const { return m_is_held; }

  /**
   * @brief Tells whether this instance may act.
   * @param now The time.
   */
  bool MayAct(core::TimePoint now) const {
    return m_is_held && now < m_requested_at + m_timings.renew_deadline;
  }

  /**
   * @brief Tells whether the store surely still keeps the lease.
   * @param now The time.
   */
  bool IsValid(core::TimePoint now) const {
    return m_is_held && now < m_requested_at + m_timings.duration;
  }

  /** @brief Returns when the call began that last showed it as held. */
  core::TimePoint ConfirmedAt() const { return m_requested_at; }

  /**
   * @brief Tells whether it is time to renew.
   * @param now The time.
   */
  bool IsRenewalDue(core::TimePoint now) const {
    return m_is_held && m_renew_at <= now;
  }

  /**
   * @brief Puts the next renewal off.
   * @param when When to try.
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
