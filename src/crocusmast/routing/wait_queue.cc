#include "crocusmast/routing/wait_queue.h"

#include <algorithm>

namespace crocusmast::routing {

bool WaitQueue::Push(const WaitQueueKey& queue_key, core::RequestKey request) {
  PoolQueue& queue = m_pools[queue_key.pool];
  UrgencyQueue& urgency_queue =
      queue.urgency_queues[static_cast<std::size_t>(queue_key.urgency)];
  const FlowKey key(queue_key.quota, queue_key.is_forwarded);
  std::deque<core::RequestKey>& flow = urgency_queue.flows[key];
  if (queue.size >= kMaxPerPool || flow.size() >= kMaxPerFlow) {
    if (flow.empty()) {
      urgency_queue.flows.erase(key);
    }
    return false;
  }
  flow.push_back(request);
  ++queue.size;
  if (!queue_key.is_forwarded) {
    ++m_waiting[queue_key.quota];
  }
  return true;
}

void WaitQueue::Remove(const WaitQueueKey& queue_key,
                       core::RequestKey request) {
  const auto queue = m_pools.find(queue_key.pool);
  if (queue == m_pools.end()) {
    return;
  }
  UrgencyQueue& urgency_queue =
      queue->second.urgency_queues[static_cast<std::size_t>(queue_key.urgency)];
  const FlowKey key(queue_key.quota, queue_key.is_forwarded);
  const auto flow = urgency_queue.flows.find(key);
  if (flow == urgency_queue.flows.end()) {
    return;
  }
  const auto found =
      std::find(flow->second.begin(), flow->second.end(), request);
  if (found == flow->second.end()) {
    return;
  }
  flow->second.erase(found);
  if (flow->second.empty()) {
    urgency_queue.flows.erase(flow);
  }
  --queue->second.size;
  DecrementWaiting(key);
}

void WaitQueue::DecrementWaiting(const FlowKey& flow) {
  if (flow.second) {
    return;
  }
  const auto count = m_waiting.find(flow.first);
  if (--count->second == 0) {
    m_waiting.erase(count);
  }
}

bool WaitQueue::StartNext(const core::PoolId& pool, const Start& start) {
  const auto found = m_pools.find(pool);
  if (found == m_pools.end()) {
    return false;
  }
  PoolQueue& queue = found->second;
  const std::size_t count = queue.urgency_queues.size();
  const bool starts_with_deferrable =
      (queue.start_count + 1) % kDeferrableFirstInterval == 0;
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t urgency_index =
        starts_with_deferrable ? count - 1 - index : index;
    if (StartFromUrgencyQueue(queue, queue.urgency_queues[urgency_index],
                              start)) {
      ++queue.start_count;
      return true;
    }
  }
  return false;
}

bool WaitQueue::StartFromUrgencyQueue(PoolQueue& queue,
                                      UrgencyQueue& urgency_queue,
                                      const Start& start) {
  auto flow = urgency_queue.flows.upper_bound(urgency_queue.last_served);
  for (std::size_t remaining = urgency_queue.flows.size(); remaining > 0;
       --remaining) {
    if (flow == urgency_queue.flows.end()) {
      flow = urgency_queue.flows.begin();
    }
    if (!start(flow->second.front())) {
      ++flow;
      continue;
    }
    const FlowKey key = flow->first;
    urgency_queue.last_served = key;
    flow->second.pop_front();
    if (flow->second.empty()) {
      urgency_queue.flows.erase(flow);
    }
    --queue.size;
    DecrementWaiting(key);
    return true;
  }
  return false;
}

std::size_t WaitQueue::WaitingForQuota(const QuotaKey& quota) const {
  const auto found = m_waiting.find(quota);
  return found == m_waiting.end() ? 0 : found->second;
}

std::size_t WaitQueue::WaitingForPool(const core::PoolId& pool) const {
  const auto found = m_pools.find(pool);
  return found == m_pools.end() ? 0 : found->second.size;
}

std::vector<core::PoolId> WaitQueue::Pools() const {
  std::vector<core::PoolId> pools;
  for (const auto& [id, queue] : m_pools) {
    if (queue.size > 0) {
      pools.push_back(id);
    }
  }
  return pools;
}

}  // namespace crocusmast::routing
