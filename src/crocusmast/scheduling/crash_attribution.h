#ifndef CROCUSMAST_SCHEDULING_CRASH_ATTRIBUTION_H_
#define CROCUSMAST_SCHEDULING_CRASH_ATTRIBUTION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/job/job.h"

namespace crocusmast::scheduling {

/** @brief How long a worker has to survive the start of a run until the run is
 * not blamed for a crash; a task that crashes its worker does so right after
 * its start. */
inline constexpr std::chrono::milliseconds kStartProbation{250};
/** @brief Workers of one rack that fall silent within this time may share a
 * cause; well above the time-out of a poll. */
inline constexpr std::chrono::seconds kCorrelationWindow{2};
/** @brief Other silent workers of the rack from which on a crash counts as
 * correlated. */
inline constexpr std::size_t kCorrelatedWorkers = 2;
/** @brief How long a crash that is not certain is remembered; a crashed worker
 * is back after some seconds. */
inline constexpr std::chrono::seconds kUncertainCrashRetention{30};
/** @brief The most workers that silences or uncertain crashes are remembered
 * of. */
inline constexpr std::size_t kMaxRememberedWorkers = 512;

/** @brief The runs that may have crashed a worker. */
struct Blame {
  std::vector<execution::RunKey> runs;
  job::CrashEvidence evidence = job::CrashEvidence::kShared;
};

/**
 * @brief Decides which tasks are blamed for the crash of a worker, and where
 * suspects may start.
 *
 * A task that crashes workers does so each time right after its start, so only
 * runs that their worker is not known to have survived can be the cause, and a
 * task that a worker survived is cleared. Starting a suspect as the only new
 * run on a worker, and one suspect of a step before the others, makes the next
 * crash certain and costs one worker at a time.
 */
class CrashAttribution {
 public:
  /** @brief Finds an active job; returns null if there is none. */
  using JobFinder = std::function<const job::Job*(const core::JobId&)>;

  /**
   * @brief Creates the state of a scheduler outside a term.
   * @param find_job Finds the jobs that the methods refer to.
   */
  explicit CrashAttribution(JobFinder find_job)
      : m_find_job(std::move(find_job)) {}

  /** @brief Discards all state at the end of a leadership term. */
  void Clear();

  /**
   * @brief Tells whether a worker is known to have survived the start of a run.
   * @param worker The worker.
   * @param run The run.
   */
  static bool HasSurvivedStart(const execution::Worker& worker,
                               const execution::AssignedRun& run);

  /**
   * @brief Tells whether a task may crash the worker that starts it.
   * @param task The task.
   */
  bool IsSuspect(const job::TaskId& task) const;

  /**
   * @brief Tells whether a task has to wait for the start of another suspect of
   * its step.
   * @param task The task.
   */
  bool MustWait(const job::TaskId& task) const;

  /**
   * @brief Tells whether no task may be placed on a worker, because a suspect
   * is starting there.
   * @param worker The worker.
   */
  bool IsReserved(const core::InstanceId& worker) const {
    return m_starting_suspects.count(worker) > 0;
  }

  /**
   * @brief Tells whether a worker is better for the start of a suspect than
   * another: no other run is starting there, then fewer runs are lost with it.
   * @param left The worker.
   * @param right The other worker.
   */
  static bool IsBetterForSuspect(const execution::Worker& left,
                                 const execution::Worker& right);

  /**
   * @brief Registers a run that was assigned to a worker or found there.
   * @param worker The worker.
   * @param key The run.
   */
  void BeginRun(const core::InstanceId& worker, const execution::RunKey& key);
  /**
   * @brief Registers that a run has ended or that its worker survived its
   * start.
   * @param worker The worker.
   * @param key The run.
   * @return True if it was the start of a suspect.
   */
  bool EndProbation(const core::InstanceId& worker,
                    const execution::RunKey& key);
  /**
   * @brief Drops uncertain crashes under a task that a worker survived.
   * @param task The task.
   */
  void ClearTask(const job::TaskId& task);

  /**
   * @brief Registers that a worker does not reply.
   * @param worker The worker.
   * @param now The current time.
   */
  void HandleSilence(const execution::Worker& worker, core::TimePoint now);
  /**
   * @brief Registers a reply of the incarnation that was silent, or whose lease
   * has expired: it did not crash.
   * @param worker The worker.
   */
  void HandleReply(const execution::Worker& worker);

  /**
   * @brief Returns the runs that are blamed for the end of an incarnation; none
   * if its end was planned.
   * @param worker The worker with the runs that it had.
   * @param now The current time.
   */
  Blame FindBlame(const execution::Worker& worker, core::TimePoint now) const;

  /**
   * @brief Remembers the blame for a worker whose lease has expired; it may be
   * cut off rather than crashed.
   * @param worker The worker with the runs that it had.
   * @param now The current time.
   */
  void HandleLeaseExpiry(const execution::Worker& worker, core::TimePoint now);

  /**
   * @brief Settles what was remembered of a worker.
   * @param worker The worker.
   * @param seen The incarnation that exists now.
   * @return The blame, if a later incarnation shows that the worker crashed.
   */
  std::optional<Blame> Settle(const core::InstanceId& worker,
                              core::Incarnation seen);

  /**
   * @brief Drops uncertain crashes that nothing has settled for too long.
   * @param now The current time.
   */
  void Forget(core::TimePoint now);

  /** @brief Tells whether it is open if a worker has crashed. */
  bool IsUncertain(const core::InstanceId& worker) const {
    return m_uncertain.count(worker) > 0;
  }

 private:
  struct Silence {
    core::TimePoint since;
    std::string rack;
    /** @brief A suspect was starting, which explains the silence. */
    bool is_explained = false;
  };
  struct UncertainCrash {
    core::Incarnation incarnation;
    Blame blame;
    core::TimePoint forget_at;
  };

  bool IsCorrelated(const execution::Worker& worker, core::TimePoint now) const;
  bool IsSameUnit(const job::TaskId& left, const job::TaskId& right) const;

  JobFinder m_find_job;
  /** @brief Runs of suspects that their worker is not known to have survived.
   */
  std::map<core::InstanceId, std::set<execution::RunKey>> m_starting_suspects;
  std::map<core::InstanceId, Silence> m_silences;
  std::map<core::InstanceId, UncertainCrash> m_uncertain;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_CRASH_ATTRIBUTION_H_
