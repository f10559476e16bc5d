#ifndef CROCUSMAST_REQUEST_ID_REGISTER_H_
#define CROCUSMAST_REQUEST_ID_REGISTER_H_

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::request {

/** @brief What came of claiming a request id. */
enum class ClaimOutcome {
  /** @brief The claimant, and it alone, may run the request. */
  kFresh,
  /** @brief The id was claimed before. */
  kSeen,
  /** @brief The register cannot hold another id; nothing was claimed. */
  kFull,
};

/** @brief Names the one request that claims an id. */
struct ClaimToken {
  /** @brief The entry instance that took the request. */
  core::InstanceId claimant;
  /** @brief The request's number there. */
  core::RequestKey key;

  friend bool operator==(const ClaimToken& left, const ClaimToken& right) {
    return left.claimant == right.claimant && left.key == right.key;
  }
};

/** @brief Remembers the ids of requests that run at most once. */
class ClaimRegistry {
 public:
  /** @brief How long an id is remembered. */
  static constexpr std::chrono::minutes kRetentionTime{10};
  /** @brief How many ids fit. */
  static constexpr std::size_t kCapacity = 200000;

  /**
   * @brief Claims an id.
   * @param id The id.
   * @param token The claimant; a claim made again by the same one is fresh.
   * @param now The time.
   */
  ClaimOutcome Claim(const core::RequestId& id,
                     const ClaimToken& token,
                     core::TimePoint now);

  /**
   * @brief Gives an id back whose request surely did not run.
   * @param id The id.
   * @param token The claimant; somebody else's claim stays.
   */
  void Release(const core::RequestId& id, const ClaimToken& token);

  /** @brief Returns how many ids are remembered. */
  std::size_t Size() const { return m_claims.size(); }

 private:
  /** @brief Who claimed an id and when. */
  struct ClaimEntry {
    ClaimToken token;
    core::TimePoint at;
  };

  void RemoveExpired(core::TimePoint now);

  std::unordered_map<core::RequestId, ClaimEntry> m_claims;
  std::deque<std::pair<core::TimePoint, core::RequestId>> m_expiry_order;
};

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_ID_REGISTER_H_
