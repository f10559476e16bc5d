#ifndef CROCUSMAST_JOB_STARTED_POOLS_H_
#define CROCUSMAST_JOB_STARTED_POOLS_H_

#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/ids.h"

namespace crocusmast::job {

/**
 * @brief Pools in which tasks of a job may have been started.
 *
 * A pool is stored before the first start command to it, since a configuration
 * may have moved the job's queue to another pool by the time a successor
 * begins.
 */
class StartedPools {
 public:
  /** @brief Creates the pools of a job that no leader started. */
  StartedPools() = default;

  /**
   * @brief Creates the pools that an earlier leader stored.
   * @param stored The stored pools; absent or empty if they are unknown.
   */
  static StartedPools Restore(
      const std::optional<std::vector<core::PoolId>>& stored);

  /** @brief Returns the pools to store, or the stored ones; absent if unknown.
   */
  std::optional<std::vector<core::PoolId>> List() const;

  /**
   * @brief Adds a pool; unknown pools stay unknown.
   * @param pool The pool.
   * @return True if the pool has to be stored.
   */
  bool Add(const core::PoolId& pool);

  /**
   * @brief Tells whether a successor will know of tasks in a pool.
   * @param pool The pool.
   */
  bool IsStored(const core::PoolId& pool) const;

  /** @brief Remembers which pools the progress that is to be stored contains.
   */
  void Capture() { m_captured = m_added; }

  /** @brief Marks the pools that were captured last as stored. */
  void MarkCapturedStored();

 private:
  bool m_are_known = true;
  std::set<core::PoolId> m_added;
  std::set<core::PoolId> m_captured;
  std::set<core::PoolId> m_stored;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_STARTED_POOLS_H_
