#ifndef CROCUSMAST_JOB_JOB_H_
#define CROCUSMAST_JOB_JOB_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/job_spec.h"
#include "crocusmast/job/progress.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::job {

/** @brief How a run ended. */
enum class RunEnd {
  kDone,
  /** @brief By the task's or the worker's fault. */
  kFailed,
  /** @brief On an order. */
  kStopped,
  /** @brief The worker's lease ran out. */
  kLapsed,
  /** @brief Another member of the gang ended. */
  kBroken,
  /** @brief The other members of the gang did not come in time. */
  kAlone,
  /** @brief The order was rejected: nothing ran. */
  kRejected,
  /** @brief The worker died or no longer knows the run. */
  kLost,
};

/**
 * @brief Names an end for logs.
 * @param end The end.
 */
std::string_view RunOutcomeName(RunEnd end);

/** @brief One start of a task on one worker. */
struct Run {
  /** @brief Where it runs. */
  core::InstanceId worker;
  /** @brief Which start of the task it is. */
  core::Attempt attempt;
  /** @brief When it was ordered. */
  core::TimePoint ordered_at;
  /** @brief The share of its work that is done, or of its speed. */
  std::uint32_t percent = 0;
  /** @brief When it was last seen at full work. */
  core::TimePoint last_at_full_speed;
  /** @brief It has been told to stop. */
  bool is_stopping = false;
};

/** @brief One task of an open occurrence. */
struct Task {
  /** @brief It ended as done. */
  bool is_done = false;
  /** @brief The highest attempt used. */
  core::Attempt attempt;
  /**
   * @brief The attempts that failed; of a gang kept at its first member.
   *
   * A worker lists an end until it is told that it is recorded, so a successor
   * may see the same end again.
   */
  std::vector<core::Attempt> failed;
  /** @brief The newest saved work; empty for none. */
  std::string checkpoint;
  /** @brief Runs that may be going on. */
  std::vector<Run> runs;
};

/** @brief One step of an open occurrence. */
struct StepState {
  /** @brief The tasks. */
  std::vector<Task> tasks;
  /** @brief How many are done. */
  std::uint32_t done = 0;

  /** @brief Tells whether every task is done. */
  bool IsDone() const { return done == tasks.size(); }
};

/** @brief One run of all steps. */
struct Occurrence {
  /** @brief The steps. */
  std::vector<StepState> steps;

  /** @brief Tells whether every step is done. */
  bool IsDone() const;
};

/**
 * @brief An accepted job and all that is known of its tasks.
 *
 * Its rules: a step begins after all steps before it; a task has one run at a
 * time unless copies are allowed; attempts only rise; a final state stays.
 */
class Job {
 public:
  /**
   * @brief Makes a job.
   * @param accepted What was accepted; its spec is valid.
   * @param stored What the store holds of its progress; null for nothing.
   * @param last_attempt Attempts that an earlier holder may have used.
   */
  static Job Create(AcceptedJob accepted,
                    const JobProgress* stored,
                    core::Attempt last_attempt);

  /** @brief Returns what was accepted. */
  const AcceptedJob& Accepted() const { return m_accepted; }
  /** @brief Returns the job's id. */
  const core::JobId& Id() const { return m_accepted.id; }
  /** @brief Returns where the job stands. */
  JobState State() const { return m_state; }
  /** @brief Returns the open occurrences by number. */
  const std::map<std::uint32_t, Occurrence>& OpenOccurrences() const {
    return m_open;
  }

  /**
   * @brief Opens the occurrences whose time has come.
   * @param now The calendar time.
   * @return True if one was opened.
   */
  bool OpenDueOccurrences(core::WallTime now);

  /** @brief Takes a task that can be started: its place and its step. */
  using TaskVisitor = std::function<void(const TaskKey&, const Step&)>;
  /**
   * @brief Names the tasks that are neither done nor running, in order.
   * @param visit Called for each; must not change the job.
   */
  void ForEachReady(const TaskVisitor& visit) const;

  /**
   * @brief Returns a task.
   * @param key Its place.
   * @return The task, or null if its occurrence is not open.
   */
  const Task* Find(const TaskKey& key) const;

  /**
   * @brief Returns the step of a task.
   * @param key The task's place; valid.
   */
  const Step& StepOf(const TaskKey& key) const {
    return m_accepted.spec.steps[key.step];
  }

  /**
   * @brief Returns the attempt that the next start of a task has.
   * @param key The task's place; open.
   */
  core::Attempt NextAttempt(const TaskKey& key) const;

  /**
   * @brief Returns the saved work that the next start goes on from.
   *
   * The members of a gang all go on from the same.
   * @param key The task's place; open.
   */
  const std::string& CheckpointOf(const TaskKey& key) const;

  /**
   * @brief Takes in that a task is started.
   * @param key The task's place; open.
   * @param run The run; its attempt is NextAttempt or was found at a worker.
   */
  void BeginRun(const TaskKey& key, Run run);

  /**
   * @brief Takes in what a worker says of a run.
   * @param key The task's place.
   * @param attempt The run.
   * @param percent The share of its work or speed.
   * @param checkpoint The saved work; empty for none.
   * @param now The time.
   */
  void UpdateRun(const TaskKey& key,
                 core::Attempt attempt,
                 std::uint32_t percent,
                 const std::string& checkpoint,
                 core::TimePoint now);

  /**
   * @brief Takes in that a run was told to stop.
   * @param key The task's place.
   * @param attempt The run.
   */
  void MarkRunStopping(const TaskKey& key, core::Attempt attempt);

  /**
   * @brief Takes in that a run has ended.
   * @param key The task's place.
   * @param attempt The run.
   * @param end How it ended.
   * @param checkpoint The saved work; empty for none.
   * @param max_attempts How many runs of a task may fail.
   * @return True if what has to be remembered has changed.
   */
  bool EndRun(const TaskKey& key,
              core::Attempt attempt,
              RunEnd end,
              const std::string& checkpoint,
              std::uint32_t max_attempts);

  /** @brief Takes in that the caller cancelled; a final state stays. */
  void Cancel();

  /** @brief Tells whether a run may be going on. */
  bool HasRuns() const;

  /** @brief Takes a run that may be going on. */
  using RunVisitor = std::function<void(const TaskKey&, const Run&)>;
  /**
   * @brief Names the runs that may be going on.
   * @param visit Called for each; must not change the job.
   */
  void ForEachRun(const RunVisitor& visit) const;

  /** @brief Returns what a successor has to know. */
  JobProgress Progress() const;

 private:
  Job(AcceptedJob accepted, core::Attempt last_attempt)
      : m_accepted(std::move(accepted)), m_last_attempt(last_attempt) {}

  Task* FindTask(const TaskKey& key);
  void Restore(const JobProgress& stored);
  Occurrence MakeOccurrence() const;
  bool ArePredecessorsDone(const Occurrence& occurrence,
                           const Step& step) const;
  void CompleteTask(const TaskKey& key);
  void CountFailure(const TaskKey& key,
                    core::Attempt attempt,
                    std::uint32_t max_attempts);

  AcceptedJob m_accepted;
  core::Attempt m_last_attempt;
  JobState m_state = JobState::kQueued;
  std::uint32_t m_opened = 0;
  std::map<std::uint32_t, Occurrence> m_open;
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_JOB_H_
