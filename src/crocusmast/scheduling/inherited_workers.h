#ifndef CROCUSMAST_SCHEDULING_INHERITED_WORKERS_H_
#define CROCUSMAST_SCHEDULING_INHERITED_WORKERS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/job_store.h"

namespace crocusmast::scheduling {

/**
 * @brief Workers that may still have runs of an earlier leader.
 *
 * A worker leaves when it is reconciled: it replied to this leader, which
 * fences it against earlier ones and tells its runs; no machine has it any
 * more; or every lease that it may hold has expired. That a later incarnation
 * of it has joined is no reason: a start command that an earlier leader sent
 * may still be executed by it.
 */
class InheritedWorkers {
 public:
  /** @brief A worker that is not reconciled yet. */
  struct Worker {
    core::Incarnation incarnation;
    core::PoolId pool;
    /** @brief When every lease of an earlier leader has expired. */
    core::TimePoint leased_until;
  };

  /** @brief Creates an empty set. */
  InheritedWorkers() = default;

  /**
   * @brief Creates the set of the workers that a predecessor handed over.
   * @param workers Workers that may hold leases of the predecessor.
   * @param ended_at When the predecessor's term had ended.
   */
  static InheritedWorkers Create(const std::vector<job::LeasedWorker>& workers,
                                 core::TimePoint ended_at);

  /**
   * @brief Finds a worker that is not reconciled.
   * @param id The worker.
   * @return The worker, or null if it is reconciled or was not handed over.
   */
  const Worker* Find(const core::InstanceId& id) const;

  /**
   * @brief Tells whether a run that an earlier leader placed may be active and
   * is not known yet.
   * @param placement The worker, in whichever incarnation.
   */
  bool MayStillRun(const job::TaskPlacement& placement) const;

  /**
   * @brief Tells whether every worker of a pool is reconciled.
   * @param pool The pool.
   */
  bool IsPoolReconciled(const core::PoolId& pool) const;

  /**
   * @brief Returns the workers of which every lease has expired.
   * @param now The current time.
   */
  std::vector<core::InstanceId> Expired(core::TimePoint now) const;

  /**
   * @brief Removes a worker that is reconciled.
   * @param id The worker.
   * @return The worker; empty if it was reconciled before.
   */
  std::optional<Worker> Remove(const core::InstanceId& id);

  /**
   * @brief Registers that no machine has a worker any more.
   * @param id The worker.
   */
  void MarkGone(const core::InstanceId& id) { m_gone.insert(id); }

  /**
   * @brief Tells whether no machine had a worker any more.
   * @param id The worker.
   */
  bool IsGone(const core::InstanceId& id) const { return m_gone.count(id) > 0; }

  /** @brief Returns the workers that are not reconciled. */
  const std::map<core::InstanceId, Worker>& All() const { return m_workers; }

 private:
  std::map<core::InstanceId, Worker> m_workers;
  std::set<core::InstanceId> m_gone;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_INHERITED_WORKERS_H_
