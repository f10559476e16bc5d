#ifndef CROCUSMAST_ROUTING_WAIT_QUEUE_H_
#define CROCUSMAST_ROUTING_WAIT_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/quota_key.h"

namespace crocusmast::routing {

/** @brief Identifies the queue of a request. */
struct WaitQueueKey {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief How soon it has to start. */
  request::Urgency urgency = request::Urgency::kNormal;
  /** @brief The plan and the kind of work. */
  QuotaKey quota;
  /**
   * @brief True if a peer forwarded the request; the peer then holds its quota
   * slot.
   */
  bool is_forwarded = false;
};

/**
 * @brief Requests that wait for a slot, queued by pool, urgency, plan and kind.
 *
 * More urgent requests start first. Every kDeferrableFirstInterval starts, the
 * order is reversed once, so that deferrable requests are not starved. Within
 * an urgency the flows are served round-robin; a flow is a plan and a kind,
 * with forwarded requests apart.
 */
class WaitQueue {
 public:
  /** @brief The maximum number of requests that wait for a pool. */
  static constexpr std::size_t kMaxPerPool = 512;
  /**
   * @brief The maximum number of waiting requests of a plan and kind, for each
   * urgency.
   */
  static constexpr std::size_t kMaxPerFlow = 128;
  /**
   * @brief Interval, in starts, at which the deferrable requests are tried
   * first.
   */
  static constexpr std::uint64_t kDeferrableFirstInterval = 8;

  /**
   * @brief Adds a request.
   * @param queue_key Where to queue it.
   * @param request The request.
   * @return False if the queue is full.
   */
  bool Push(const WaitQueueKey& queue_key, core::RequestKey request);

  /**
   * @brief Removes a request.
   * @param queue_key Where it is queued.
   * @param request The request.
   */
  void Remove(const WaitQueueKey& queue_key, core::RequestKey request);

  /** @brief Tries to start a request; returns true if it started. */
  using Start = std::function<bool(core::RequestKey)>;

  /**
   * @brief Starts one waiting request of a pool, if any can start.
   *
   * Tries the first request of each plan and kind. A request that does not
   * start keeps its position.
   *
   * @param pool The pool.
   * @param start Tries to start a request.
   * @return True if one started.
   */
  bool StartNext(const core::PoolId& pool, const Start& start);

  /**
   * @brief Counts the waiting requests of a plan and kind that need a quota
   * slot.
   * @param quota The plan and the kind of work.
   */
  std::size_t WaitingForQuota(const QuotaKey& quota) const;

  /**
   * @brief Counts the requests that wait for a pool.
   * @param pool The pool.
   */
  std::size_t WaitingForPool(const core::PoolId& pool) const;

  /** @brief Lists the pools for which requests wait. */
  std::vector<core::PoolId> Pools() const;

 private:
  /**
   * @brief Identifies a flow: plan and kind, and whether a peer forwarded its
   * requests.
   */
  using FlowKey = std::pair<QuotaKey, bool>;

  /** @brief The requests of one urgency, by flow. */
  struct UrgencyQueue {
    std::map<FlowKey, std::deque<core::RequestKey>> flows;
    FlowKey last_served;
  };

  /** @brief The requests that wait for one pool. */
  struct PoolQueue {
    std::array<UrgencyQueue, request::kUrgencyCount> urgency_queues;
    std::size_t size = 0;
    std::uint64_t start_count = 0;
  };

  bool StartFromUrgencyQueue(PoolQueue& queue,
                             UrgencyQueue& urgency_queue,
                             const Start& start);
  void DecrementWaiting(const FlowKey& flow);

  std::map<core::PoolId, PoolQueue> m_pools;
  /** @brief Number of waiting requests that were not forwarded. */
  std::map<QuotaKey, std::size_t> m_waiting;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_WAIT_QUEUE_H_
