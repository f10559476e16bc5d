#include "crocusmast/routing/wait_queue.h"

#include <algorithm>

namespace crocusmast::routing {

bool WaitQueue::Push(const WaitPlace& place, core::RequestKey request) {
  PoolQueue& queue = m_pools[place.pool];
  Lane& lane = queue.lanes[static_cast<std::size_t>(place.urgency)];
  const RowKey key(place.share, place.is_forwarded);
  std::deque<core::RequestKey>& row = lane.rows[key];
  if (queue.size >= kPoolBound || row.size() >= kPlanBound) {
    if (row.empty()) {
      lane.rows.erase(key);
    }
    return false;
  }
  row.push_back(request);
  ++queue.size;
  if (!place.is_forwarded) {
    ++m_waiting[place.share];
  }
  return true;
}

void WaitQueue::Remove(const WaitPlace& place, core::RequestKey request) {
  const auto queue = m_pools.find(place.pool);
  if (queue == m_pools.end()) {
    return;
  }
  Lane& lane = queue->second.lanes[static_cast<std::size_t>(place.urgency)];
  const RowKey key(place.share, place.is_forwarded);
  const auto row = lane.rows.find(key);
  if (row == lane.rows.end()) {
    return;
  }
  const auto found = std::find(row->second.begin(), row->second.end(), request);
  if (found == row->second.end()) {
    return;
  }
  row->second.erase(found);
  if (row->second.empty()) {
    lane.rows.erase(row);
  }
  --queue->second.size;
  Forget(key);
}

void WaitQueue::Forget(const RowKey& row) {
  if (row.second) {
    return;
  }
  const auto count = m_waiting.find(row.first);
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
  const std::size_t count = queue.lanes.size();
  const bool starts_last = (queue.turn + 1) % kDeferrableTurn == 0;
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t lane = starts_last ? count - 1 - index : index;
    if (StartFromLane(queue, queue.lanes[lane], start)) {
      ++queue.turn;
      return true;
    }
  }
  return false;
}

bool WaitQueue::StartFromLane(PoolQueue& queue,
                              Lane& lane,
                              const Start& start) {
  auto row = lane.rows.upper_bound(lane.last_served);
  for (std::size_t tried = lane.rows.size(); tried > 0; --tried) {
    if (row == lane.rows.end()) {
      row = lane.rows.begin();
    }
    if (!start(row->second.front())) {
      ++row;
      continue;
    }
    const RowKey key = row->first;
    lane.last_served = key;
    row->second.pop_front();
    if (row->second.empty()) {
      lane.rows.erase(row);
    }
    --queue.size;
    Forget(key);
    return true;
  }
  return false;
}

std::size_t WaitQueue::Waiting(const ShareKey& share) const {
  const auto found = m_waiting.find(share);
  return found == m_waiting.end() ? 0 : found->second;
}

std::size_t WaitQueue::WaitingFor(const core::PoolId& pool) const {
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
