#include "crocusmast/queue/queue_catalog.h"

#include <algorithm>
#include <utility>

namespace crocusmast::queue {

QueueCatalog::QueueCatalog(core::Revision version,
                           std::vector<Queue> queues,
                           std::vector<Pool> pools,
                           CallerLimits limits)
    : m_version(version), m_limits(limits) {
  for (Queue& queue : queues) {
    m_by_host[queue.host].push_back(queue.id);
    const core::QueueId id = queue.id;
    m_queues.emplace(id, std::move(queue));
  }
  for (Pool& pool : pools) {
    const core::PoolId id = pool.id;
    m_pools.emplace(id, std::move(pool));
  }
  // Sorted by descending length, so that the first matching prefix is the
  // longest one.
  for (auto& [host, ids] : m_by_host) {
    std::sort(ids.begin(), ids.end(),
              [this](const core::QueueId& left, const core::QueueId& right) {
                return m_queues.at(left).prefix.size() >
                       m_queues.at(right).prefix.size();
              });
  }
}

const Queue* QueueCatalog::Match(std::string_view host,
                                 std::string_view path) const {
  const auto ids = m_by_host.find(host);
  if (ids == m_by_host.end()) {
    return nullptr;
  }
  for (const core::QueueId& id : ids->second) {
    const Queue& queue = m_queues.at(id);
    if (path.substr(0, queue.prefix.size()) == queue.prefix) {
      return &queue;
    }
  }
  return nullptr;
}

const Queue* QueueCatalog::Find(const core::QueueId& id) const {
  const auto queue = m_queues.find(id);
  return queue == m_queues.end() ? nullptr : &queue->second;
}

const Pool* QueueCatalog::FindPool(const core::PoolId& id) const {
  const auto pool = m_pools.find(id);
  return pool == m_pools.end() ? nullptr : &pool->second;
}

}  // namespace crocusmast::queue
