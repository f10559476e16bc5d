#ifndef CROCUSMAST_REQUEST_CLAIM_REGISTRY_H_
#define CROCUSMAST_REQUEST_CLAIM_REGISTRY_H_

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::request {

/** @brief The outcome of claiming a request id. */
enum class ClaimOutcome {
  /** @brief The claimant, and no other, may run the request. */
  kGranted,
  /** @brief Another request has claimed the id. */
  kAlreadyClaimed,
  /** @brief The registry is full; nothing was claimed. */
  kFull,
};

/** @brief Identifies the request that claims an id. */
struct ClaimToken {
  /** @brief The entry instance that received the request. */
  core::InstanceId claimant;
  /** @brief The request's key on that instance. */
  core::RequestKey key;

  friend bool operator==(const ClaimToken& left, const ClaimToken& right) {
    return left.claimant == right.claimant && left.key == right.key;
  }
};

/** @brief Stores the ids of at-most-once requests, to detect duplicates. */
class ClaimRegistry {
 public:
  /** @brief How long a claim is stored. */
  static constexpr std::chrono::minutes kRetentionTime{10};
  /**
   * @brief Maximum number of claims made within the retention time. Released
   * claims count until that time has passed.
   */
  static constexpr std::size_t kCapacity = 200000;

  /**
   * @brief Claims a request id.
   * @param id The request id.
   * @param token The claimant. Repeating a claim with the same token succeeds.
   * @param now The current time.
   * @return Whether the claimant may run the request.
   */
  ClaimOutcome Claim(const core::RequestId& id,
                     const ClaimToken& token,
                     core::TimePoint now);

  /**
   * @brief Removes the claim of a request that certainly did not run.
   * @param id The request id.
   * @param token The claimant; a claim of another one is not removed.
   */
  void Release(const core::RequestId& id, const ClaimToken& token);

  /** @brief Returns the number of stored claims. */
  std::size_t Size() const { return m_claims.size(); }

 private:
  /** @brief A claim and the time when it was made. */
  struct ClaimEntry {
    ClaimToken token;
    core::TimePoint claimed_at;
  };

  void RemoveExpired(core::TimePoint now);

  std::unordered_map<core::RequestId, ClaimEntry> m_claims;
  std::deque<std::pair<core::TimePoint, core::RequestId>> m_expiry_order;
};

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_CLAIM_REGISTRY_H_
