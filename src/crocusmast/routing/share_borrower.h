#ifndef CROCUSMAST_ROUTING_SHARE_BORROWER_H_
#define CROCUSMAST_ROUTING_SHARE_BORROWER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/routing/share_key.h"

namespace crocusmast::routing {

/** @brief Slots that stay unused for this long are given back. */
inline constexpr std::chrono::milliseconds kIdleQuotaTimeout{100};
/** @brief While requests wait, the lender is told again after this long. */
inline constexpr std::chrono::milliseconds kDemandResendInterval{500};

/**
 * @brief The slots of plans that were lent to this instance.
 *
 * It starts no request beyond a ceiling, and tells the lender what it
 * occupies: the greater of ceiling and use.
 */
class QuotaBorrower {
 public:
  /**
   * @brief Makes a borrower that holds nothing.
   * @param first_session A number above that of any earlier run.
   */
  explicit QuotaBorrower(ShareSession first_session)
      : m_next_session(first_session.Count()) {}

  /**
   * @brief Takes a slot.
   * @param key The limit.
   * @param now The time.
   * @return False if the ceiling is reached.
   */
  bool TryAcquire(const ShareKey& key, core::TimePoint now);

  /**
   * @brief Gives a slot back.
   * @param key The limit.
   */
  void Release(const ShareKey& key);

  /**
   * @brief Notes how many requests wait for a slot.
   * @param key The limit.
   * @param waiting The number.
   */
  void SetWaiting(const ShareKey& key, std::uint64_t waiting);

  /**
   * @brief Takes in a grant.
   * @param grant The grant; one that is older than the latest, or of another
   * session, changes nothing.
   * @return True if more slots may be used than before.
   */
  bool HandleGrant(const ShareGrant& grant);

  /**
   * @brief Begins a session with another lender, and keeps what was lent.
   *
   * The new lender waits until it has heard what each borrower keeps.
   *
   * @param key The limit whose lender changed.
   */
  void ChangeLender(const ShareKey& key);

  /**
   * @brief Works out what the lenders have to be told.
   *
   * Looks at the limits that were touched since the last call.
   *
   * @param now The time.
   * @return The news, for each limit where something changed.
   */
  std::vector<ShareWant> TakeDemands(core::TimePoint now);

  /** @brief Makes the next call of TakeDemands look at limits with time to
   * pass.
   */
  void MarkAllDirty();

  /**
   * @brief Returns the slots in use.
   * @param key The limit.
   */
  core::Slots InUse(const ShareKey& key) const;

  /** @brief Lists the limits known. */
  std::vector<ShareKey> Keys() const;

 private:
  /** @brief What is held of one limit. */
  struct Account {
    std::uint64_t ceiling = 0;
    std::uint64_t in_use = 0;
    std::uint64_t waiting = 0;
    GrantNumber seen;
    core::TimePoint last_busy_at;
    std::uint64_t sent_occupied = 0;
    std::uint64_t sent_wanted = 0;
    GrantNumber sent_seen;
    ShareSession session;
    core::TimePoint sent_at;
    bool must_send = false;
  };

  static void ReleaseIdle(Account& account, core::TimePoint now);
  static std::optional<ShareWant> MakeDemand(const ShareKey& key,
                                             Account& account,
                                             core::TimePoint now);
  Account& GetAccount(const ShareKey& key);

  std::uint64_t m_next_session;
  std::map<ShareKey, Account> m_accounts;
  std::set<ShareKey> m_dirty;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_SHARE_BORROWER_H_
