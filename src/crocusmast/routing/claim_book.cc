#include "crocusmast/routing/claim_book.h"

#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::routing {

void ClaimBook::SetEntries(std::vector<core::InstanceId> entries) {
  m_entries = std::move(entries);
}

std::optional<core::InstanceId> ClaimBook::NextHolder(
    const core::RequestId& id,
    const std::set<core::InstanceId>& held) const {
  for (const core::InstanceId& holder :
       membership::RankByRendezvous(id.Text(), m_entries, kClaimHolders)) {
    if (held.count(holder) == 0) {
      return holder;
    }
  }
  return std::nullopt;
}

}  // namespace crocusmast::routing
