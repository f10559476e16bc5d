#include "crocusmast/routing/claim_directory.h"

#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::routing {

void ClaimDirectory::SetEntries(std::vector<core::InstanceId> entries) {
  m_entries = std::move(entries);
}

std::optional<core::InstanceId> ClaimDirectory::NextReplica(
    const core::RequestId& id,
    const std::set<core::InstanceId>& claimed_replicas) const {
  for (const core::InstanceId& replica :
       membership::RankByRendezvous(id.Text(), m_entries, kClaimReplicas)) {
    if (claimed_replicas.count(replica) == 0) {
      return replica;
    }
  }
  return std::nullopt;
}

}  // namespace crocusmast::routing
