#ifndef CROCUSMAST_SCHEDULING_OPEN_STARTS_H_
#define CROCUSMAST_SCHEDULING_OPEN_STARTS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/execution/assigned_run.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::scheduling {

/** @brief The most open starts of a worker that are remembered. */
inline constexpr std::size_t kMaxOpenStarts = 1024;

/** @brief A start command without a reply that may still be executed. */
struct OpenStart {
  /** @brief The worker that it was sent to. */
  core::InstanceId worker;
  execution::RunKey key;
  /** @brief Until when an incarnation of the worker may execute it. */
  core::TimePoint until;
  /** @brief When a run that it began on an unknown incarnation has ended for
   * certain. */
  core::TimePoint settled_at;

  /**
   * @brief Creates the open start of a run.
   * @param worker The worker of the run.
   * @param key The run.
   * @param run Its state.
   * @param max_lease The longest lease that a worker grants.
   */
  static OpenStart Of(const core::InstanceId& worker,
                      const execution::RunKey& key,
                      const execution::AssignedRun& run,
                      std::chrono::milliseconds max_lease);
};

/**
 * @brief Open starts of runs that have ended.
 *
 * An incarnation of the worker that has not replied yet may execute them. Until
 * then their tasks start nowhere else: the known incarnation rejects them, so
 * that a task may start there again.
 */
class OpenStarts {
 public:
  /** @brief Creates an empty set. */
  OpenStarts() = default;

  /**
   * @brief Adds a start, or extends the time of a known one.
   * @param start The start.
   */
  void Add(const OpenStart& start);

  /** @brief Tells whether there is none. */
  bool IsEmpty() const { return m_by_worker.empty(); }

  /** @brief Returns the workers of the starts, each with one of their tasks. */
  std::map<core::InstanceId, job::TaskId> Workers() const;

  /**
   * @brief Returns the starts that a worker may still execute.
   * @param worker The worker.
   * @param now The current time.
   */
  std::vector<OpenStart> OfWorker(const core::InstanceId& worker,
                                  core::TimePoint now) const;

  /**
   * @brief Returns the starts of a task.
   * @param task The task.
   */
  std::vector<OpenStart> OfTask(const job::TaskId& task) const;

  /**
   * @brief Shortens the wait for a worker whose machine ran nothing: only an
   * incarnation that started even later could execute a start that was sent
   * before, and that is not waited for.
   * @param worker The worker.
   * @param absent_at When the machine ran nothing.
   * @param max_lease The longest lease that a worker grants, in real time.
   * @return True if a wait was shortened.
   */
  bool HandleAbsence(const core::InstanceId& worker,
                     core::TimePoint absent_at,
                     core::Duration max_lease);

  /**
   * @brief Removes the starts that have been settled by time.
   * @param now The current time.
   */
  void RemoveSettled(core::TimePoint now);

 private:
  using StartsOfWorker = std::map<execution::RunKey, OpenStart>;

  void RemoveFromIndex(const OpenStart& start);

  std::map<core::InstanceId, StartsOfWorker> m_by_worker;
  std::map<job::TaskId, std::set<core::InstanceId>> m_workers_by_task;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_OPEN_STARTS_H_
