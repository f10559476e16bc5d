#ifndef CROCUSMAST_JOB_EARLIER_PLACEMENTS_H_
#define CROCUSMAST_JOB_EARLIER_PLACEMENTS_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "crocusmast/job/progress.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::job {

/**
 * @brief Workers on which runs of a job's tasks that an earlier leader began
 * may be active; of finite tasks only those whose start may not be executed
 * yet.
 *
 * A placement stays until its worker is known to run nothing else of an earlier
 * leader, and no start command of one may be executed any more. Unknown
 * placements may be on any worker of the job's pool.
 */
class EarlierPlacements {
 public:
  /** @brief Creates the placements of a job that no earlier leader started. */
  EarlierPlacements() = default;

  /**
   * @brief Creates the placements that an earlier leader stored.
   * @param stored The stored placements; absent if they are unknown.
   */
  static EarlierPlacements Restore(
      const std::optional<std::vector<TaskPlacement>>& stored);

  /** @brief Creates placements that are unknown. */
  static EarlierPlacements Unknown() { return Restore(std::nullopt); }

  /** @brief Tells whether the placements are known. */
  bool AreKnown() const { return m_are_known; }
  /** @brief Tells whether no run of an earlier leader is left to settle. */
  bool AreSettled() const { return m_are_known && m_placements.empty(); }

  /**
   * @brief Tells whether an earlier run of a task may be active.
   * @param task The task.
   */
  bool MayBeRunning(const TaskKey& task) const {
    return !m_are_known || m_placements.count(task) > 0;
  }

  /**
   * @brief Tells whether a task has a known placement.
   * @param task The task.
   */
  bool HasPlacement(const TaskKey& task) const {
    return m_placements.count(task) > 0;
  }

  /** @brief Tells whether a run that was placed earlier may be active. */
  using ActivityCheck = std::function<bool(const TaskPlacement&)>;
  /**
   * @brief Removes the placements whose run is not active or is known as a run
   * of its job.
   * @param may_be_active Checks a placement.
   * @return True if a placement was removed.
   */
  bool Settle(const ActivityCheck& may_be_active);

  /** @brief Returns the placements with a start that may still be executed. */
  std::vector<TaskPlacement> Open() const;

  /**
   * @brief Tells whether a start command of a run may still be executed.
   * @param task The task.
   * @param attempt The attempt number of the run.
   */
  bool IsOpen(const TaskKey& task, core::Attempt attempt) const;

  /**
   * @brief Removes the placements of a task, which has a known run now.
   * @param task The task.
   */
  void Remove(const TaskKey& task) { m_placements.erase(task); }

  /**
   * @brief Removes the placement of a run whose start was executed.
   * @param task The task.
   * @param attempt The attempt number of the run.
   */
  void RemoveStart(const TaskKey& task, core::Attempt attempt);

  /**
   * @brief Makes unknown placements known to be none, since every worker that
   * may have had a run is reconciled.
   * @return True if they were unknown.
   */
  bool SettleUnknown();

  /**
   * @brief Appends the placements, which are known.
   * @param placements Where to append them.
   */
  void AppendTo(std::vector<TaskPlacement>& placements) const;

 private:
  bool m_are_known = true;
  std::multimap<TaskKey, TaskPlacement> m_placements;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_EARLIER_PLACEMENTS_H_
