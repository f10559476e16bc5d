#include "crocusmast/job/started_pools.h"

#include <utility>

namespace crocusmast::job {

StartedPools StartedPools::Restore(
    const std::optional<std::vector<core::PoolId>>& stored) {
  StartedPools pools;
  pools.m_are_known = stored && !stored->empty();
  if (pools.m_are_known) {
    pools.m_added.insert(stored->begin(), stored->end());
    pools.m_captured = pools.m_stored = pools.m_added;
  }
  return pools;
}

std::optional<std::vector<core::PoolId>> StartedPools::List() const {
  if (!m_are_known) {
    return std::nullopt;
  }
  return std::vector<core::PoolId>(m_added.begin(), m_added.end());
}

bool StartedPools::Add(const core::PoolId& pool) {
  return m_are_known && m_added.insert(pool).second;
}

bool StartedPools::IsStored(const core::PoolId& pool) const {
  return !m_are_known || m_stored.count(pool) > 0;
}

void StartedPools::MarkCapturedStored() {
  m_stored = m_captured;
}

}  // namespace crocusmast::job
