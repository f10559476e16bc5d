#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Crashes of workers that are counted against tasks.

namespace crocusmast::scheduling {

using execution::RunKey;
using execution::Worker;

void Scheduler::SettleCrash(const core::InstanceId& worker,
                            core::Incarnation seen) {
  const std::optional<Blame> blame = m_crashes.Settle(worker, seen);
  if (blame) {
    CountCrashes(worker, *blame);
  }
}

void Scheduler::CountCrashes(const core::InstanceId& worker,
                             const Blame& blame) {
  if (blame.runs.empty()) {
    return;
  }
  const std::string evidence(job::CrashEvidenceName(blame.evidence));
  std::string counts;
  for (const RunKey& run : blame.runs) {
    ActiveJob* active = FindJob(run.task.job);
    if (active == nullptr ||
        !active->job.CountCrash(run.task.key, run.attempt, blame.evidence)) {
      continue;
    }
    m_committer.MarkChanged(run.task.job);
    counts += (counts.empty() ? "" : " ") + Describe(run.task) + '#' +
              std::to_string(run.attempt.Count()) + '=' +
              std::to_string(active->job.CrashCount(run.task.key));
    if (job::IsFinal(active->job.State())) {
      ReportGivenUp(*active, run.task, evidence.c_str());
    }
  }
  m_ports.meter.Add(core::Counter::kWorkersCrashed, 1);
  Log(core::Severity::kWarning,
      "Worker " + worker.Text() + " crashed right after the start of " +
          std::to_string(blame.runs.size()) + " runs.",
      {{"event", "worker_crashed"},
       {"worker", worker.Text()},
       {"evidence", evidence},
       {"crashes", counts}});
}

void Scheduler::MarkStartSurvived(Worker& worker, const RunKey& key) {
  if (m_crashes.EndProbation(worker.Record().id, key)) {
    m_pools_to_place.insert(worker.Record().pool);
  }
  ActiveJob* active = FindJob(key.task.job);
  if (active == nullptr) {
    return;
  }
  m_crashes.ClearTask(key.task);
  if (active->job.MarkStartSurvived(key.task.key, key.attempt)) {
    m_committer.MarkChanged(key.task.job);
    Log(core::Severity::kInfo,
        "Task " + Describe(key.task) + " is cleared: worker " +
            worker.Record().id.Text() + " survived its start.",
        {{"event", "task_cleared"},
         {"job", key.task.job.Text()},
         {"task", Describe(key.task)},
         {"worker", worker.Record().id.Text()}});
  }
}

bool Scheduler::GiveUpExhaustedTask(ActiveJob& active) {
  const std::optional<job::TaskKey> exhausted =
      active.job.GiveUpExhaustedTask();
  if (exhausted) {
    m_committer.MarkChanged(active.job.Id());
    ReportGivenUp(active, {active.job.Id(), *exhausted}, "presumed");
  }
  return exhausted.has_value();
}

void Scheduler::ReportGivenUp(ActiveJob& active,
                              const job::TaskId& task,
                              const char* evidence) {
  const std::string count = std::to_string(active.job.CrashCount(task.key));
  m_ports.meter.Add(core::Counter::kTasksGivenUp, 1);
  Log(core::Severity::kWarning,
      "Task " + Describe(task) + " is given up: " + count +
          " workers crashed under it.",
      {{"event", "task_given_up"},
       {"job", task.job.Text()},
       {"task", Describe(task)},
       {"crashes", count},
       {"evidence", evidence}});
  HandleFinalState(active, task);
}

void Scheduler::HandleFinalState(ActiveJob& active, const job::TaskId& last) {
  StopWaiting(active);
  const std::string state(job::JobStateName(active.job.State()));
  if (m_final_jobs.insert(active.job.Id()).second) {
    active.times.ended_at = m_ports.clock.Now();
    Log(core::Severity::kInfo,
        "Job " + active.job.Id().Text() + " ended: " + state + ".",
        {{"event", "job_ended"},
         {"job", active.job.Id().Text()},
         {"state", state},
         {"last", Describe(last)}});
  }
  StopRuns(active);
}

}  // namespace crocusmast::scheduling
