#ifndef CROCUSMAST_MAINTENANCE_HOLDER_LEASE_H_
#define CROCUSMAST_MAINTENANCE_HOLDER_LEASE_H_

#include "crocusmast/core/clock.h"

namespace crocusmast::maintenance {

/** @brief How long the store keeps a lease that is not renewed. */
inline constexpr std::chrono::milliseconds kLeaseLength{8000};
/** @brief How often a lease is renewed. */
inline constexpr std::chrono::milliseconds kLeaseRenewal{2000};
/** @brief A holder stops acting this long before its lease can lapse. */
inline constexpr std::chrono::milliseconds kLeaseMargin{3000};

/**
 * @brief Knows by the monotonic clock whether this instance may act.
 *
 * The time counts from before the call to the store, so the store's lease
 * always lasts longer than what is believed here.
 */
class HolderLease {
 public:
  /**
   * @brief Takes in that the store granted or renewed the lease.
   * @param asked_at When the call began.
   */
  void Extend(core::TimePoint asked_at) {
    m_is_held = true;
    m_acts_until = asked_at + kLeaseLength - kLeaseMargin;
    m_renew_at = asked_at + kLeaseRenewal;
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
    return m_is_held && now < m_acts_until;
  }

  /**
   * @brief Tells whether it is time to renew.
   * @param now The time.
   */
  bool IsRenewalDue(core::TimePoint now) const {
    return m_is_held && m_renew_at <= now;
  }

 private:
  bool m_is_held = false;
  core::TimePoint m_acts_until;
  core::TimePoint m_renew_at;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_HOLDER_LEASE_H_
