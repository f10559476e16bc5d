#ifndef CROCUSMAST_ROUTING_QUOTA_BORROWER_H_
#define CROCUSMAST_ROUTING_QUOTA_BORROWER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/routing/quota_key.h"

namespace crocusmast::routing {

/** @brief Granted slots that are unused for this long are returned. */
inline constexpr std::chrono::milliseconds kIdleQuotaTimeout{100};
/** @brief While requests wait, the demand is sent again after this time. */
inline constexpr std::chrono::milliseconds kDemandResendInterval{500};

/**
 * @brief The quota slots that were granted to this instance.
 *
 * Admits no request beyond the ceiling of its quota, and reports to the lender
 * the slots that it occupies: the greater of ceiling and use.
 */
class QuotaBorrower {
 public:
  /**
   * @brief Constructs a borrower without slots.
   * @param first_session The first session number; greater than that of any
   * earlier run of this instance.
   */
  explicit QuotaBorrower(QuotaSession first_session)
      : m_next_session(first_session.Count()) {}

  /**
   * @brief Takes a slot of a quota.
   * @param key The quota.
   * @param now The current time.
   * @return False if the ceiling is reached.
   */
  bool TryAcquire(const QuotaKey& key, core::TimePoint now);

  /**
   * @brief Returns a slot of a quota.
   * @param key The quota.
   */
  void Release(const QuotaKey& key);

  /**
   * @brief Sets the number of requests that wait for a slot.
   * @param key The quota.
   * @param waiting The number of requests.
   */
  void SetWaiting(const QuotaKey& key, std::uint64_t waiting);

  /**
   * @brief Applies a grant.
   * @param grant The grant. It is ignored if it is older than the latest one or
   * belongs to another session.
   * @return True if the ceiling rose.
   */
  bool HandleGrant(const QuotaGrant& grant);

  /**
   * @brief Starts a session with a new lender, and keeps the granted slots.
   *
   * The new lender waits for each borrower's report of the slots that it keeps,
   * but at most for kLenderTakeoverDelay.
   *
   * @param key The quota whose lender changed.
   */
  void ChangeLender(const QuotaKey& key);

  /**
   * @brief Returns unused slots, and collects the demands to send to the
   * lenders.
   *
   * Checks the quotas that changed since the last call.
   *
   * @param now The current time.
   * @return One demand for each quota where something changed.
   */
  std::vector<QuotaDemand> TakeDemands(core::TimePoint now);

  /**
   * @brief Makes the next call of TakeDemands check all quotas with unused
   * slots or waiting requests.
   */
  void MarkAllDirty();

  /**
   * @brief Returns the number of slots in use.
   * @param key The quota.
   */
  core::Slots InUse(const QuotaKey& key) const;

  /** @brief Lists the known quotas. */
  std::vector<QuotaKey> Keys() const;

 private:
  /** @brief State of one quota. */
  struct QuotaState {
    std::uint64_t ceiling = 0;
    std::uint64_t in_use = 0;
    std::uint64_t waiting = 0;
    GrantNumber last_applied_grant;
    core::TimePoint last_busy_at;
    std::uint64_t sent_occupied = 0;
    std::uint64_t sent_wanted = 0;
    GrantNumber sent_applied_grant;
    QuotaSession session;
    core::TimePoint sent_at;
    bool must_send = false;
  };

  static void ReleaseIdle(QuotaState& quota, core::TimePoint now);
  static std::optional<QuotaDemand> MakeDemand(const QuotaKey& key,
                                               QuotaState& quota,
                                               core::TimePoint now);
  QuotaState& GetQuota(const QuotaKey& key);

  std::uint64_t m_next_session;
  std::map<QuotaKey, QuotaState> m_quotas;
  std::set<QuotaKey> m_dirty;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_QUOTA_BORROWER_H_
