#ifndef CROCUSMAST_LEADERSHIP_DUTY_LEASE_H_
#define CROCUSMAST_LEADERSHIP_DUTY_LEASE_H_

#include <chrono>

#include "crocusmast/core/clock.h"

namespace crocusmast::leadership {

/** @brief How a duty's lease is kept. */
struct LeaseTerms {
  /** @brief How long the store keeps a lease that is not renewed. */
  std::chrono::milliseconds length{};
  /** @brief How often it is renewed. */
  std::chrono::milliseconds renewal{};
  /**
   * @brief How long a holder acts after the last renewal that succeeded.
   *
   * Shorter than the length where the lease alone keeps two holders apart;
   * longer where those who take the orders refuse deposed holders.
   */
  std::chrono::milliseconds acting{};
};

/**
 * @brief Knows by the monotonic clock whether this instance may act.
 *
 * The time counts from before the call to the store, so the store's lease
 * always lasts longer than what is believed here.
 */
class DutyLease {
 public:
  /**
   * @brief Makes a lease that is not held.
   * @param terms How it is kept.
   */
  explicit DutyLease(LeaseTerms terms) : m_terms(terms) {}

  /** @brief Returns how it is kept. */
  const LeaseTerms& Terms() const { return m_terms; }

  /**
   * @brief Takes in that the store granted or renewed the lease.
   * @param asked_at When the call began.
   */
  void Extend(core::TimePoint asked_at) {
    m_is_held = true;
    m_asked_at = asked_at;
    m_renew_at = asked_at + m_terms.renewal;
  }

  /** @brief Takes in that the lease is lost. */
  void Lose() { m_is_held = false; }

  /** @brief Tells whether the lease was granted and not lost since. */
  bool IsHeld() const { return m_is_held; }

  /**
   * @brief Tells whether this instance may act.
   * @param now The time.
   */
  bool MayAct(core::TimePoint now) const {
    return m_is_held && now < m_asked_at + m_terms.acting;
  }

  /**
   * @brief Tells whether the store surely still keeps the lease.
   * @param now The time.
   */
  bool IsSure(core::TimePoint now) const {
    return m_is_held && now < m_asked_at + m_terms.length;
  }

  /** @brief Returns when the call began that last showed it as held. */
  core::TimePoint ConfirmedAt() const { return m_asked_at; }

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
  void RenewAt(core::TimePoint when) { m_renew_at = when; }

 private:
  LeaseTerms m_terms;
  bool m_is_held = false;
  core::TimePoint m_asked_at;
  core::TimePoint m_renew_at;
};

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_DUTY_LEASE_H_
