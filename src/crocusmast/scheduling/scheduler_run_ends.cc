#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// The end of runs.

namespace crocusmast::scheduling {
namespace internal {

bool MayHaveMadeReady(const ActiveJob& active,
                      const job::TaskKey& ended,
                      job::RunOutcome outcome) {
  const auto occurrence = active.job.OpenOccurrences().find(ended.occurrence);
  // The end of one of several tasks of a step lets no other task start.
  return outcome != job::RunOutcome::kDone ||
         job::IsFinal(active.job.State()) ||
         occurrence == active.job.OpenOccurrences().end() ||
         active.job.StepOf(ended).is_long_running ||
         occurrence->second.steps[ended.step].IsDone();
}

}  // namespace internal

using execution::RunKey;
using execution::Worker;

// Run ends that a worker reports in a poll are logged together.
void Scheduler::LogRunEnd(Worker& worker,
                          const RunKey& key,
                          const RunEnd& end) const {
  const bool is_reported = end.outcome != job::RunOutcome::kLost &&
                           end.outcome != job::RunOutcome::kWorkerCrashed &&
                           end.outcome != job::RunOutcome::kRejected;
  if (is_reported || !m_ports.logger.IsEnabled(core::Severity::kInfo)) {
    return;
  }
  const execution::AssignedRun* run = worker.Find(key);
  if (run == nullptr) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const auto milliseconds = [](core::Duration time) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  const bool is_sent = run->start_sent_at != core::TimePoint();
  const bool has_lease = worker.LeaseExpiresAt() != core::TimePoint();
  Log(core::Severity::kInfo,
      "Task " + Describe(key.task) + " ended on " + worker.Record().id.Text() +
          ": " + std::string(job::RunOutcomeName(end.outcome)) + ", because " +
          std::string(end.evidence) + ".",
      {{"event", "task_ended"},
       {"job", key.task.job.Text()},
       {"task", Describe(key.task)},
       {"attempt", std::to_string(key.attempt.Count())},
       {"worker", worker.Record().id.Text()},
       {"incarnation", std::to_string(worker.Record().incarnation.Count())},
       {"end", std::string(job::RunOutcomeName(end.outcome))},
       {"evidence", std::string(end.evidence)},
       {"start", std::string(StartStateName(run->GetStartState()))},
       {"sent_ms", is_sent ? milliseconds(now - run->start_sent_at) : ""},
       {"lease_left_ms",
        has_lease ? milliseconds(worker.LeaseExpiresAt() - now) : ""},
       {"failed_polls", std::to_string(worker.failed_polls)},
       {"token", std::to_string(m_term.token.Count())}});
}

// A later incarnation may execute a start command that is still on its way,
// though the known one does not run the task.
bool Scheduler::MustHold(const Worker& worker,
                         const RunKey& key,
                         const RunEnd& end) const {
  if (end.is_certain) {
    return false;
  }
  const auto run = worker.Runs().find(key);
  const auto active = m_jobs.find(key.task.job);
  if (run == worker.Runs().end() || run->second.has_reported_end ||
      run->second.is_stop_acknowledged || active == m_jobs.end() ||
      !run->second.HasOpenStart(m_ports.clock.Now())) {
    return false;
  }
  const job::Job& job = active->second.job;
  const job::Task* task = job.Find(key.task.key);
  return task != nullptr && !task->is_done && task->runs.size() == 1 &&
         task->runs.front().attempt == key.attempt &&
         !job::IsFinal(job.State()) && !job.StepOf(key.task.key).is_gang;
}

void Scheduler::EndRun(Worker& worker, const RunKey& key, const RunEnd& end) {
  if (MustHold(worker, key, end)) {
    worker.HoldRun(key, m_term.max_worker_lease);
    return;
  }
  const execution::AssignedRun* assigned = worker.Find(key);
  const bool was_stopped =
      assigned != nullptr && assigned->is_stop_acknowledged;
  LogRunEnd(worker, key, end);
  if (assigned != nullptr) {
    m_start_waits.End(worker.Record().id, key, *assigned,
                      StartWaitEnd::kGivenUp);
  }
  ActiveJob* active = FindJob(key.task.job);
  if (active != nullptr && active->job.MayRunAgain(key.task.key, end.outcome)) {
    AddOpenStart(worker, key);
  }
  worker.Remove(key);
  UpdateCapacity(worker);
  m_crashes.EndProbation(worker.Record().id, key);
  m_pools_to_place.insert(worker.Record().pool);
  if (active == nullptr) {
    return;
  }
  const bool is_changed =
      active->job.EndRun(key.task.key, key.attempt, end.outcome, end.checkpoint,
                         active->max_attempts);
  if (internal::MayHaveMadeReady(*active, key.task.key, end.outcome)) {
    MarkForPlacement(*active);
  }
  if (!was_stopped) {
    ReportCancelSettled(*active);
  }
  const bool was_presumed_crash = !job::IsFinal(active->job.State()) &&
                                  active->job.CrashCount(key.task.key) > 0;
  if (is_changed || was_presumed_crash) {
    m_committer.MarkChanged(key.task.job);
  }
  if (job::IsFinal(active->job.State())) {
    HandleFinalState(*active, key.task);
    return;
  }
  if (end.outcome == job::RunOutcome::kRejected) {
    GiveUpOtherGangMembers(key);
  }
  // Speculative copies of a finished task are stopped.
  const job::Task* task = active->job.Find(key.task.key);
  if (task != nullptr && task->is_done) {
    for (const job::Run& run : std::vector<job::Run>(task->runs)) {
      if (Worker* other = FindWorker(run.worker); other != nullptr) {
        SendStop(*other, {key.task, run.attempt});
      }
    }
  }
}

}  // namespace crocusmast::scheduling
