#include "crocusmast/request/claim_registry.h"

namespace crocusmast::request {

ClaimOutcome ClaimRegistry::Claim(const core::RequestId& id,
                                  const ClaimToken& token,
                                  core::TimePoint now) {
  RemoveExpired(now);
  const auto found = m_claims.find(id);
  if (found != m_claims.end()) {
    return found->second.token == token ? ClaimOutcome::kGranted
                                        : ClaimOutcome::kAlreadyClaimed;
  }
  if (m_expiry_order.size() >= kCapacity) {
    return ClaimOutcome::kFull;
  }
  m_claims.emplace(id, ClaimEntry{token, now});
  m_expiry_order.emplace_back(now, id);
  return ClaimOutcome::kGranted;
}

void ClaimRegistry::Release(const core::RequestId& id,
                            const ClaimToken& token) {
  const auto found = m_claims.find(id);
  if (found != m_claims.end() && found->second.token == token) {
    m_claims.erase(found);
  }
}

void ClaimRegistry::RemoveExpired(core::TimePoint now) {
  while (!m_expiry_order.empty() &&
         m_expiry_order.front().first + kRetentionTime <= now) {
    const auto found = m_claims.find(m_expiry_order.front().second);
    if (found != m_claims.end() &&
        found->second.claimed_at == m_expiry_order.front().first) {
      m_claims.erase(found);
    }
    m_expiry_order.pop_front();
  }
}

}  // namespace crocusmast::request
