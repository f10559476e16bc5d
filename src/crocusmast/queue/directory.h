#ifndef CROCUSMAST_QUEUE_DIRECTORY_H_
#define CROCUSMAST_QUEUE_DIRECTORY_H_

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

/** @brief What a queue's policy service costs in time. */
struct TicketPolicy {
  /** @brief How long a ticket is valid. */
  std::chrono::milliseconds validity{};
};

/** @brief A queue of jobs. */
struct Queue {
  /** @brief The queue. */
  core::QueueId id;
  /** @brief The host under which callers reach it. */
  std::string host;
  /** @brief What the paths of its jobs begin with. */
  std::string prefix;
  /** @brief The pool that runs its tasks. */
  core::PoolId pool;
  /** @brief 0 goes first, and may displace others. */
  std::uint32_t priority = 0;
  /** @brief How many runs of a task may fail; 0 for any number. */
  std::uint32_t max_attempts = 0;
  /** @brief The objective of a job: this many times its longest chain. */
  double slack_factor = 1.0;
  /** @brief The objective of a job: this much more. */
  std::chrono::milliseconds slack{};
  /** @brief Starts need a ticket. */
  std::optional<TicketPolicy> tickets;
};

/** @brief A pool of workers. */
struct Pool {
  /** @brief The pool. */
  core::PoolId id;
  /** @brief Its workers refuse what does not fit. */
  bool guards_capacity = false;
  /** @brief Its instances are off and cost nothing. */
  bool is_standby = false;
};

/** @brief The bounds of what callers may send. */
struct CallerLimits {
  core::Bytes header{std::uint64_t{16} * 1024};
  core::Bytes body{std::uint64_t{256} * 1024};
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** @brief All queues and pools of one version of the configuration. */
class Directory {
 public:
  /** @brief Makes a directory without queues, older than any version. */
  Directory() = default;

  /**
   * @brief Makes the directory of a version.
   * @param version The version.
   * @param queues The queues.
   * @param pools The pools.
   * @param limits The bounds.
   */
  Directory(core::Revision version,
            std::vector<Queue> queues,
            std::vector<Pool> pools,
            CallerLimits limits);

  /** @brief Returns the version; 0 before the first. */
  core::Revision Version() const { return m_version; }

  /**
   * @brief Finds the queue of a path: the longest prefix of its host.
   * @param host The host, without a port.
   * @param path The path.
   * @return The queue, or null.
   */
  const Queue* Match(std::string_view host, std::string_view path) const;

  /**
   * @brief Returns a queue.
   * @param id The queue.
   * @return The queue, or null.
   */
  const Queue* Find(const core::QueueId& id) const;

  /**
   * @brief Returns a pool.
   * @param id The pool.
   * @return The pool, or null.
   */
  const Pool* FindPool(const core::PoolId& id) const;

  /** @brief Returns the queues. */
  const std::map<core::QueueId, Queue>& Queues() const { return m_queues; }
  /** @brief Returns the pools. */
  const std::map<core::PoolId, Pool>& Pools() const { return m_pools; }
  /** @brief Returns the bounds of what callers may send. */
  const CallerLimits& Limits() const { return m_limits; }

 private:
  core::Revision m_version;
  std::map<core::QueueId, Queue> m_queues;
  std::map<core::PoolId, Pool> m_pools;
  std::map<std::string, std::vector<core::QueueId>, std::less<>> m_by_host;
  CallerLimits m_limits;
};

}  // namespace crocusmast::queue

#endif  // CROCUSMAST_QUEUE_DIRECTORY_H_
