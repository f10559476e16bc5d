#include "crocusmast/request/id_register.h"

namespace crocusmast::request {

ClaimOutcome IdRegister::Claim(const core::RequestId& id,
                               const ClaimToken& token,
                               core::TimePoint now) {
  Forget(now);
  const auto found = m_claims.find(id);
  if (found != m_claims.end()) {
    return found->second.token == token ? ClaimOutcome::kFresh
                                        : ClaimOutcome::kSeen;
  }
  if (m_order.size() >= kCapacity) {
    return ClaimOutcome::kFull;
  }
  m_claims.emplace(id, Claimed{token, now});
  m_order.emplace_back(now, id);
  return ClaimOutcome::kFresh;
}

void IdRegister::Release(const core::RequestId& id, const ClaimToken& token) {
  const auto found = m_claims.find(id);
  if (found != m_claims.end() && found->second.token == token) {
    m_claims.erase(found);
  }
}

void IdRegister::Forget(core::TimePoint now) {
  while (!m_order.empty() && m_order.front().first + kMemory <= now) {
    const auto found = m_claims.find(m_order.front().second);
    if (found != m_claims.end() && found->second.at == m_order.front().first) {
      m_claims.erase(found);
    }
    m_order.pop_front();
  }
}

}  // namespace crocusmast::request
