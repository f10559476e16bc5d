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
#include "crocusmast/execution/worker.h"
#include "crocusmast/job/job_store.h"
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

  /**
   * @brief Returns until when a task that must not run twice waits for it,
   * whatever its worker is known to reject: a later incarnation rejects
   * nothing.
   * @param known What is known of the worker; null for nothing.
   */
  core::TimePoint BlocksUntil(const execution::Worker* known) const;
};

/**
 * @brief Open starts of runs that have ended and of earlier leaders.
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
   * @brief Creates the set that an earlier leader handed over.
   * @param stored What it stored.
   * @param ended_at When its term had ended.
   */
  static OpenStarts Restore(const job::HandoverState& stored,
                            core::TimePoint ended_at);

  /** @brief Tells whether all open starts of earlier leaders were handed over.
   */
  bool AreEarlierKnown() const { return m_are_earlier_known; }

  /**
   * @brief Adds a start, or extends the time of a known one.
   * @param start The start.
   */
  void Add(const OpenStart& start);

  /** @brief Tells whether there is none. */
  bool IsEmpty() const { return m_by_worker.empty(); }

  /**
   * @brief Returns the workers of starts that are not settled, each with the
   * task of one of them.
   * @param now The current time.
   */
  std::map<core::InstanceId, job::TaskId> Workers(core::TimePoint now) const;

  /**
   * @brief Finds a start.
   * @param worker The worker that it was sent to.
   * @param key The run.
   * @return The start, or null.
   */
  const OpenStart* Find(const core::InstanceId& worker,
                        const execution::RunKey& key) const;

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
   * @brief Tells whether the time of a start to a worker has passed since its
   * runs were last listed, so that a run that it began may be unknown.
   * @param worker The worker.
   * @param runs_known_at When the runs of the worker were last listed.
   * @param now The current time.
   */
  bool HasUnobserved(const core::InstanceId& worker,
                     core::TimePoint runs_known_at,
                     core::TimePoint now) const;

  /**
   * @brief Removes a start that was executed.
   * @param worker The worker that it was sent to.
   * @param key The run.
   * @return True if it was known.
   */
  bool Remove(const core::InstanceId& worker, const execution::RunKey& key);

  /**
   * @brief Ends the wait for a worker in whose place another one replies, which
   * rejects the starts to it.
   * @param worker The worker.
   * @param now The current time.
   */
  void HandleReplacement(const core::InstanceId& worker, core::TimePoint now);

  /**
   * @brief Shortens the wait for a worker whose machine ran nothing: only an
   * incarnation that started even later could execute a start that was sent
   * before. That is not waited for, but for a task that must not run twice and
   * a machine that may have the worker again.
   * @param worker The worker.
   * @param absence When the machine ran nothing.
   * @param max_lease The longest lease that a worker grants, in real time.
   * @return True if a wait was shortened.
   */
  bool HandleAbsence(const core::InstanceId& worker,
                     const execution::Absence& absence,
                     core::Duration max_lease);

  /**
   * @brief Waits for the starts to a worker again, since a later incarnation of
   * it exists that may execute them.
   * @param worker The worker.
   * @param max_lease The longest lease that a worker grants, in real time.
   */
  void HandleLaterIncarnation(const core::InstanceId& worker,
                              core::Duration max_lease);

  /**
   * @brief Removes the starts that have been settled by time.
   * @param now The current time.
   */
  void RemoveSettled(core::TimePoint now);

  /**
   * @brief Appends the starts with the time that they have left.
   * @param now The current time.
   * @param starts Where to append them.
   */
  void AppendTo(core::TimePoint now, std::vector<job::OpenStart>& starts) const;

 private:
  using StartsOfWorker = std::map<execution::RunKey, OpenStart>;

  void RemoveFromIndex(const OpenStart& start);

  bool m_are_earlier_known = false;
  std::map<core::InstanceId, StartsOfWorker> m_by_worker;
  std::map<job::TaskId, std::set<core::InstanceId>> m_workers_by_task;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_OPEN_STARTS_H_
