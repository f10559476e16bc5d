#ifndef CROCUSMAST_ROUTING_CLAIM_DIRECTORY_H_
#define CROCUSMAST_ROUTING_CLAIM_DIRECTORY_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/request/claim_registry.h"

namespace crocusmast::routing {

/** @brief Number of entry instances that store the claim on a request id. */
inline constexpr std::size_t kClaimReplicas = 2;

/**
 * @brief Determines which entry instances store the claim on a request id, and
 * stores the claims of this instance.
 *
 * An id is claimed on its replicas one after the other, in the same order on
 * every instance. Of two concurrent claimants, one therefore finds the claim of
 * the other.
 */
class ClaimDirectory {
 public:
  /**
   * @brief Replaces the entry instances that are up.
   * @param entries The entry instances.
   */
  void SetEntries(std::vector<core::InstanceId> entries);

  /**
   * @brief Finds the next replica on which to claim an id.
   * @param id The request id.
   * @param claimed_replicas The replicas that already store the claim.
   * @return The replica, or nothing if all replicas store the claim.
   */
  std::optional<core::InstanceId> NextReplica(
      const core::RequestId& id,
      const std::set<core::InstanceId>& claimed_replicas) const;

  /** @brief Returns the claims that this instance stores. */
  request::ClaimRegistry& Registry() { return m_registry; }

 private:
  std::vector<core::InstanceId> m_entries;
  request::ClaimRegistry m_registry;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_CLAIM_DIRECTORY_H_
