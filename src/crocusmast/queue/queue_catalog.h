#ifndef CROCUSMAST_QUEUE_QUEUE_CATALOG_H_
#define CROCUSMAST_QUEUE_QUEUE_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::queue {

/** @brief Ticket settings of a queue whose starts require tickets. */
struct TicketPolicy {
  /** @brief Time for which a ticket is valid. */
  std::chrono::milliseconds validity{};
};

/** @brief Settings of a job queue. */
struct Queue {
  /** @brief Id of the queue. */
  core::QueueId id;
  /** @brief Host name at which callers reach the queue. */
  std::string host;
  /** @brief Path prefix of the queue's jobs. */
  std::string prefix;
  /** @brief Pool that runs the queue's tasks. */
  core::PoolId pool;
  /** @brief Priority; 0 is the highest and may preempt the others. */
  std::uint32_t priority = 0;
  /** @brief Maximum number of failed runs of a task; 0 for no limit. */
  std::uint32_t max_attempts = 0;
  /**
   * @brief Factor of a job's completion objective: multiplies the length of
   * its critical path.
   */
  double slack_factor = 1.0;
  /**
   * @brief Constant part of a job's completion objective, added to the scaled
   * critical path.
   */
  std::chrono::milliseconds slack{};
  /** @brief Set if starting a run requires a ticket. */
  std::optional<TicketPolicy> tickets;
};

/** @brief Settings of a pool of workers. */
struct Pool {
  /** @brief Id of the pool. */
  core::PoolId id;
  /** @brief True if the workers reject runs that exceed their capacity. */
  bool enforces_capacity = false;
  /** @brief True if the pool's instances are switched off and cost nothing. */
  bool is_standby = false;
};

/** @brief Limits on requests of callers. */
struct CallerLimits {
  /** @brief Maximum size of the request header. */
  core::Bytes header{std::uint64_t{16} * 1024};
  /** @brief Maximum size of the request body. */
  core::Bytes body{std::uint64_t{256} * 1024};
  /** @brief Time in which a caller must send the request header. */
  std::chrono::milliseconds header_timeout{3000};
  /** @brief Time after which an idle connection is closed. */
  std::chrono::milliseconds idle_timeout{15000};
};

/** @brief All queues and pools of one version of the configuration. */
class QueueCatalog {
 public:
  /**
   * @brief Creates an empty catalog of version 0, which is lower than the
   * version of any loaded catalog.
   */
  QueueCatalog() = default;

  /**
   * @brief Creates the catalog of a version.
   * @param version Version of the configuration.
   * @param queues Queues.
   * @param pools Pools.
   * @param limits Limits on requests of callers.
   */
  QueueCatalog(core::Revision version,
               std::vector<Queue> queues,
               std::vector<Pool> pools,
               CallerLimits limits);

  /** @brief Returns the version of the configuration; 0 if none is loaded. */
  core::Revision Version() const { return m_version; }

  /**
   * @brief Finds the queue of a host whose prefix is the longest that matches a
   * path.
   * @param host Host without the port.
   * @param path Path of the request.
   * @return The queue, or null.
   */
  const Queue* Match(std::string_view host, std::string_view path) const;

  /**
   * @brief Finds a queue by its id.
   * @param id Id of the queue.
   * @return The queue, or null.
   */
  const Queue* Find(const core::QueueId& id) const;

  /**
   * @brief Finds a pool by its id.
   * @param id Id of the pool.
   * @return The pool, or null.
   */
  const Pool* FindPool(const core::PoolId& id) const;

  /** @brief Returns the queues. */
  const std::map<core::QueueId, Queue>& Queues() const { return m_queues; }
  /** @brief Returns the pools. */
  const std::map<core::PoolId, Pool>& Pools() const { return m_pools; }
  /** @brief Returns the limits on requests of callers. */
  const CallerLimits& Limits() const { return m_limits; }

 private:
  core::Revision m_version;
  std::map<core::QueueId, Queue> m_queues;
  std::map<core::PoolId, Pool> m_pools;
  std::map<std::string, std::vector<core::QueueId>, std::less<>> m_by_host;
  CallerLimits m_limits;
};

}  // namespace crocusmast::queue

#endif  // CROCUSMAST_QUEUE_QUEUE_CATALOG_H_
