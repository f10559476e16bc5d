#ifndef CROCUSMAST_ROUTING_CLAIM_BOOK_H_
#define CROCUSMAST_ROUTING_CLAIM_BOOK_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/request/id_register.h"

namespace crocusmast::routing {

/** @brief How many entry instances remember each id. */
inline constexpr std::size_t kClaimReplicas = 2;

/**
 * @brief Knows which entry instances remember an id, and remembers its own.
 *
 * An id is claimed at its holders one after the other, in the same order
 * everywhere, so of two claimants one finds the other's claim.
 */
class ClaimDirectory {
 public:
  /**
   * @brief Takes in which entry instances are up.
   * @param entries The instances.
   */
  void SetEntries(std::vector<core::InstanceId> entries);

  /**
   * @brief Finds the next holder to claim an id at.
   * @param id The id.
   * @param claimed_at The holders at which it is claimed already.
   * @return The holder, or nothing if all hold it.
   */
  std::optional<core::InstanceId> NextReplica(
      const core::RequestId& id,
      const std::set<core::InstanceId>& claimed_at) const;

  /** @brief Returns the ids that this instance remembers. */
  request::ClaimRegistry& Registry() { return m_registry; }

 private:
  std::vector<core::InstanceId> m_entries;
  request::ClaimRegistry m_registry;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_CLAIM_BOOK_H_
