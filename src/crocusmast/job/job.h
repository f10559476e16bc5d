#ifndef CROCUSMAST_JOB_JOB_H_
#define CROCUSMAST_JOB_JOB_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/earlier_placements.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/progress.h"
#include "crocusmast/job/run.h"
#include "crocusmast/job/started_pools.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::job {

/** @brief Outcome of a run. */
enum class RunOutcome {
  kDone,
  /** @brief The task or its worker reported a failure. */
  kFailed,
  /** @brief Stopped by a command. */
  kStopped,
  /** @brief The worker's lease expired. */
  kLeaseExpired,
  /** @brief Ended because another member of the gang ended. */
  kGangBroken,
  /** @brief The other members of the gang did not start in time. */
  kGangIncomplete,
  /** @brief The start command was rejected; the task did not run. */
  kRejected,
  /** @brief The worker failed or no longer reports the run. */
  kLost,
  /** @brief The worker crashed, and the run may have caused it. */
  kWorkerCrashed,
};

/**
 * @brief Returns the name of a run's outcome for logs.
 * @param outcome The outcome.
 */
std::string_view RunOutcomeName(RunOutcome outcome);

/** @brief How certain it is that a run crashed its worker. */
enum class CrashEvidence {
  /** @brief The start was not confirmed, so the worker may have crashed before
   * it. */
  kUnconfirmed,
  /** @brief Other workers of the rack ended at the same time, or a task that no
   * worker has survived yet was starting beside a suspect. */
  kWeak,
  /** @brief Other runs on the worker may have caused it. */
  kShared,
  /** @brief No other run on the worker may have caused it. */
  kAlone,
};

/**
 * @brief Returns the name of a degree of evidence for logs.
 * @param evidence The evidence.
 */
std::string_view CrashEvidenceName(CrashEvidence evidence);

/**
 * @brief Crashed workers after which a task is given up.
 *
 * The job interface allows giving up after two, and forbids a third further
 * start after three.
 */
inline constexpr std::size_t kMaxCrashesAlone = 2;
inline constexpr std::size_t kMaxCrashesShared = 3;
inline constexpr std::size_t kMaxCrashesWeak = 4;

/** @brief State of one task of an open occurrence. */
struct Task {
  /** @brief A run of it succeeded. */
  bool is_done = false;
  /** @brief Highest attempt number used. */
  core::Attempt attempt;
  /**
   * @brief Attempts that failed; those of a gang are kept at its first member.
   *
   * Attempts are stored to detect duplicates: a worker reports an ended run
   * until it is acknowledged, so that a successor may receive the same report
   * again.
   */
  std::vector<core::Attempt> failed_attempts;
  /**
   * @brief Successive attempts under which a worker crashed; those of a gang
   * are kept at its first member.
   */
  std::vector<core::Attempt> crashed_attempts;
  /** @brief A run of one of them was confirmed before the crash. */
  bool has_confirmed_crash = false;
  /** @brief A worker survived the start of a run of it. */
  bool has_survived_start = false;
  /** @brief Latest checkpoint; empty for none. */
  std::string checkpoint;
  /** @brief Runs that may be active. */
  std::vector<Run> runs;
};

/** @brief State of one step of an open occurrence. */
struct StepState {
  /** @brief The tasks of the step. */
  std::vector<Task> tasks;
  /** @brief Number of tasks that are done. */
  std::uint32_t done_count = 0;
  /** @brief Number of tasks with crashed attempts. */
  std::uint32_t suspect_count = 0;
  /** @brief A task of the step survived its start on a worker. */
  bool has_survivor = false;

  /** @brief Tells whether every task is done. */
  bool IsDone() const { return done_count == tasks.size(); }
};

/** @brief One execution of all steps of a job. */
struct Occurrence {
  /** @brief The steps of the job. */
  std::vector<StepState> steps;

  /** @brief Tells whether every step is done. */
  bool IsDone() const;
};

/**
 * @brief An accepted job and the state of its tasks.
 *
 * Invariants: a step begins after the steps that it depends on; a task has one
 * run at a time unless speculative copies are allowed; attempt numbers only
 * increase; a final state never changes.
 */
class Job {
 public:
  /**
   * @brief Creates a job.
   * @param accepted The accepted job; its spec is valid.
   * @param stored Its stored progress; null for none.
   * @param last_attempt Highest attempt that an earlier leader may have used.
   */
  static Job Create(AcceptedJob accepted,
                    const JobProgress* stored,
                    core::Attempt last_attempt);

  /** @brief Returns the accepted job. */
  const AcceptedJob& Accepted() const { return m_accepted; }
  /** @brief Returns the id of the job. */
  const core::JobId& Id() const { return m_accepted.id; }
  /** @brief Returns the state of the job. */
  JobState State() const { return m_state; }
  /** @brief Returns the open occurrences by number. */
  const std::map<std::uint32_t, Occurrence>& OpenOccurrences() const {
    return m_open_occurrences;
  }

  /**
   * @brief Opens the occurrences that are due.
   * @param now The current calendar time.
   * @return True if an occurrence was opened.
   */
  bool OpenDueOccurrences(core::WallTime now);

  /** @brief Receives the key and the step of a task. */
  using TaskVisitor = std::function<void(const TaskKey&, const Step&)>;
  /**
   * @brief Visits the tasks that are ready: neither done nor running, while all
   * steps that their step depends on are done.
   * @param visit Called for each; must not change the job.
   */
  void ForEachReady(const TaskVisitor& visit) const;

  /**
   * @brief Finds a task.
   * @param key The task.
   * @return The task, or null if its occurrence is not open.
   */
  const Task* Find(const TaskKey& key) const;

  /**
   * @brief Returns the step that a task belongs to.
   * @param key The task; valid.
   */
  const Step& StepOf(const TaskKey& key) const {
    return m_accepted.spec.steps[key.step];
  }

  /**
   * @brief Returns the attempt number of the next run of a task.
   * @param key The task; its occurrence is open.
   */
  core::Attempt NextAttempt(const TaskKey& key) const;

  /**
   * @brief Returns the checkpoint that the next run of a task resumes from.
   *
   * All members of a gang resume from the same checkpoint.
   * @param key The task; its occurrence is open.
   */
  const std::string& CheckpointOf(const TaskKey& key) const;

  /**
   * @brief Adds a run of a task.
   * @param key The task; ignored unless its occurrence is open.
   * @param run The run; its attempt is NextAttempt or was reported by a worker.
   */
  void BeginRun(const TaskKey& key, Run run);

  /**
   * @brief Updates a run from a worker's report.
   * @param key The task.
   * @param attempt The attempt number of the run.
   * @param percent Its progress or speed in per cent.
   * @param checkpoint Its latest checkpoint; empty for none.
   * @param now The current time.
   */
  void UpdateRun(const TaskKey& key,
                 core::Attempt attempt,
                 std::uint32_t percent,
                 const std::string& checkpoint,
                 core::TimePoint now);

  /**
   * @brief Marks a run as stopping.
   * @param key The task.
   * @param attempt The attempt number of the run.
   */
  void MarkRunStopping(const TaskKey& key, core::Attempt attempt);

  /** @brief Registers that a task has begun; returns whether none had. */
  bool MarkBegun() { return !std::exchange(m_has_begun, true); }

  /**
   * @brief Registers that no start command for a run may be executed any more.
   * @param key The task.
   * @param attempt The attempt number of the run.
   * @return True if the progress to store has changed.
   */
  bool MarkStartSettled(const TaskKey& key, core::Attempt attempt);

  /**
   * @brief Moves a run to a later incarnation of its worker.
   * @param key The task.
   * @param attempt The attempt number of the run.
   * @param incarnation The incarnation that is told to start it.
   * @return True if its placement there is stored.
   */
  bool MoveRun(const TaskKey& key,
               core::Attempt attempt,
               core::Incarnation incarnation);

  /**
   * @brief Ends a run and updates the state of its task and the job.
   * @param key The task.
   * @param attempt The attempt number of the run.
   * @param outcome The outcome of the run.
   * @param checkpoint Its latest checkpoint; empty for none.
   * @param max_attempts Failed attempts of a task at which the job fails; 0 for
   * no limit.
   * @return True if the progress to store has changed.
   */
  bool EndRun(const TaskKey& key,
              core::Attempt attempt,
              RunOutcome outcome,
              const std::string& checkpoint,
              std::uint32_t max_attempts);

  /**
   * @brief Tells whether a task may run again after the end of a run.
   * @param key The task.
   * @param outcome The outcome of the run.
   */
  bool MayRunAgain(const TaskKey& key, RunOutcome outcome) const;

  /**
   * @brief Counts the crash of a worker against a task; the job fails once the
   * crashes of a task reach the limit for the evidence.
   * @param key The task.
   * @param attempt The attempt number of the run.
   * @param evidence How certain it is that the run crashed the worker.
   * @return True if the progress to store has changed.
   */
  bool CountCrash(const TaskKey& key,
                  core::Attempt attempt,
                  CrashEvidence evidence);

  /**
   * @brief Fails the job if a task without runs has as many crashes as the
   * weakest evidence allows; not every crash was seen by a leader.
   * @return The task; empty if there is none.
   */
  std::optional<TaskKey> GiveUpExhaustedTask();

  /**
   * @brief Registers that a worker survived the start of a run, so that earlier
   * crashes under the task had another cause; of a gang, once all members have
   * survived.
   * @param key The task.
   * @param attempt The attempt number of the run.
   * @return True if crashes were counted against the task until now.
   */
  bool MarkStartSurvived(const TaskKey& key, core::Attempt attempt);

  /**
   * @brief Returns the number of successive attempts of a task, or of its gang,
   * under which a worker crashed.
   * @param key The task.
   */
  std::size_t CrashCount(const TaskKey& key) const;

  /**
   * @brief Tells whether a task may crash its worker at the start: one of its
   * own attempts did, or one of its step did and no task of the step survived.
   * @param key The task.
   */
  bool IsSuspect(const TaskKey& key) const;

  /**
   * @brief Tells whether a task of a step survived its start.
   * @param key A task of the step.
   */
  bool HasSurvivor(const TaskKey& key) const;

  /**
   * @brief Tells whether a worker survived the start of a task after the last
   * crash under it.
   * @param key The task.
   */
  bool HasSurvivedStart(const TaskKey& key) const;

  /** @brief Cancels the job unless its state is final. */
  void Cancel();

  /** @brief Tells whether any run may be active. */
  bool HasRuns() const;

  /** @brief Receives the key of a task and one of its runs. */
  using RunVisitor = std::function<void(const TaskKey&, const Run&)>;
  /**
   * @brief Visits the runs that may be active.
   * @param visit Called for each; must not change the job.
   */
  void ForEachRun(const RunVisitor& visit) const;

  /** @brief Returns the progress to store for a successor. */
  JobProgress Progress() const;

  /** @brief Returns the progress to store, and remembers which runs it
   * contains. */
  JobProgress CaptureProgress();

  /** @brief Marks the runs and pools that the progress captured last contains
   * as stored. */
  void MarkCapturedProgressStored();

  /** @brief Returns where runs of an earlier leader may be active. */
  EarlierPlacements& Earlier() { return m_earlier_placements; }
  const EarlierPlacements& Earlier() const { return m_earlier_placements; }
  /** @brief Returns the pools in which tasks may have been started. */
  StartedPools& Pools() { return m_pools; }
  const StartedPools& Pools() const { return m_pools; }

 private:
  Job(AcceptedJob accepted, core::Attempt last_attempt)
      : m_accepted(std::move(accepted)), m_last_attempt(last_attempt) {}

  Task* FindTask(const TaskKey& key);
  template <typename Visitor>
  void ForEachMutableRun(Visitor visit);
  const StepState* FindStep(const TaskKey& key) const;
  const Task* FindCrashCounter(const TaskKey& key) const;
  void Restore(const JobProgress& stored);
  Occurrence MakeOccurrence() const;
  bool AreDependenciesDone(const Occurrence& occurrence,
                           const Step& step) const;
  void CompleteTask(const TaskKey& key);
  void CountFailure(const TaskKey& key,
                    core::Attempt attempt,
                    std::uint32_t max_attempts);

  AcceptedJob m_accepted;
  /** @brief Highest attempt that an earlier leader may have used. */
  core::Attempt m_last_attempt;
  JobState m_state = JobState::kQueued;
  bool m_has_begun = false;
  /** @brief Number of occurrences that were opened so far. */
  std::uint32_t m_opened_count = 0;
  std::map<std::uint32_t, Occurrence> m_open_occurrences;
  EarlierPlacements m_earlier_placements;
  StartedPools m_pools;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_H_
