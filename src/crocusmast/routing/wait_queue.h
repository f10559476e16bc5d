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
#include "crocusmast/routing/share_key.h"

namespace crocusmast::routing {

/** @brief Where a request waits. */
struct QueueKey {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief How soon it has to start. */
  request::Urgency urgency = request::Urgency::kNormal;
  /** @brief The plan and the kind of work. */
  ShareKey quota;
  /** @brief True if a peer handed the request on and keeps its share. */
  bool is_forwarded = false;
};

/**
 * @brief Requests that wait for a slot, per pool, urgency, plan and kind.
 *
 * Urgent work goes first, but every few turns the order starts with work that
 * can wait, so that this finishes too. Within an urgency the plans take turns.
 */
class WaitQueue {
 public:
  /** @brief The most requests that wait for a pool. */
  static constexpr std::size_t kMaxPerPool = 512;
  /** @brief The most requests of a plan and kind that wait, per urgency. */
  static constexpr std::size_t kMaxPerFlow = 128;
  /** @brief Every turn of this number starts with work that can wait. */
  static constexpr std::uint64_t kDeferrableFirstInterval = 8;

  /**
   * @brief Adds a request.
   * @param queue_key Where it waits.
   * @param request The request.
   * @return False if a bound is reached.
   */
  bool Push(const QueueKey& queue_key, core::RequestKey request);

  /**
   * @brief Removes a request.
   * @param queue_key Where it waits.
   * @param request The request.
   */
  void Remove(const QueueKey& queue_key, core::RequestKey request);

  /** @brief Tries to start a request; true if it started. */
  using Start = std::function<bool(core::RequestKey)>;

  /**
   * @brief Starts one waiting request of a pool, if one can start.
   *
   * The first request of each plan and kind is tried; one that does not start
   * stays in its place.
   *
   * @param pool The pool.
   * @param start Tries to start a request.
   * @return True if one started.
   */
  bool StartNext(const core::PoolId& pool, const Start& start);

  /**
   * @brief Counts the requests of a plan and kind that wait for a share.
   * @param quota The plan and kind.
   */
  std::size_t WaitingForQuota(const ShareKey& quota) const;

  /**
   * @brief Counts the requests that wait for a pool.
   * @param pool The pool.
   */
  std::size_t WaitingForPool(const core::PoolId& pool) const;

  /** @brief Lists the pools for which requests wait. */
  std::vector<core::PoolId> Pools() const;

 private:
  /** @brief Names a row: plan and kind, and whether it needs a share. */
  using FlowKey = std::pair<ShareKey, bool>;

  /** @brief The requests of one urgency, by plan and kind. */
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
  std::map<ShareKey, std::size_t> m_waiting;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_WAIT_QUEUE_H_
