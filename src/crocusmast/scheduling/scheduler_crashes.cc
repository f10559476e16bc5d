#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Ends of worker incarnations, and the crashes that are counted against tasks.

namespace crocusmast::scheduling {

using execution::RunKey;
using execution::Worker;

void Scheduler::EndIncarnation(Worker& worker,
                               IncarnationEnd end,
                               const char* reason) {
  const core::InstanceId& id = worker.Record().id;
  const core::TimePoint now = m_ports.clock.Now();
  if (!worker.Runs().empty()) {
    Log(core::Severity::kWarning,
        "All runs on worker " + id.Text() + " are lost: " + reason + ".",
        {{"event", "worker_lost"},
         {"worker", id.Text()},
         {"evidence", reason},
         {"runs", std::to_string(worker.Runs().size())}});
  }
  Blame blame;
  if (end == IncarnationEnd::kLeaseExpired) {
    // The worker may be cut off rather than crashed.
    m_crashes.HandleLeaseExpiry(worker, now);
  } else {
    blame = m_crashes.FindBlame(worker, now);
  }
  for (const RunKey& key : worker.Keys()) {
    if (end == IncarnationEnd::kReplaced &&
        worker.Find(key)->MayStartOnLaterIncarnation()) {
      continue;
    }
    const bool is_blamed = std::any_of(
        blame.runs.begin(), blame.runs.end(), [&key](const RunKey& run) {
          return run.task == key.task && run.attempt == key.attempt;
        });
    EndRun(worker, key,
           is_blamed ? job::RunOutcome::kWorkerCrashed : job::RunOutcome::kLost,
           "");
  }
  CountCrashes(id, blame);
  if (end != IncarnationEnd::kReplaced) {
    MarkReconciled(id, reason);
  }
}

void Scheduler::HandleOtherWorker(Worker& worker) {
  const core::Incarnation known = worker.Record().incarnation;
  EndIncarnation(worker, IncarnationEnd::kAddressTaken,
                 "another worker replied at its address");
  worker.MarkUnlisted();
  SettleCrash(worker.Record().id, known + core::Incarnation(1));
}

void Scheduler::HandleOtherIncarnation(Worker& worker,
                                       core::Incarnation replying) {
  // The known record is of a later incarnation, so there is no later one to
  // expect commands to reach.
  if (replying < worker.Record().incarnation) {
    HandleOtherWorker(worker);
    return;
  }
  execution::WorkerRecord record = worker.Record();
  record.incarnation = replying;
  record.clock = {};
  BeginIncarnation(worker, std::move(record),
                   "a later incarnation replied at its address");
  // Its capacity is not known until its own record arrives.
  worker.MarkUnlisted();
  UpdateCapacity(worker);
}

// A start command whose reply is missing, or may have come from the later
// incarnation, may be executed by that one. The run is kept until the later
// incarnation has confirmed a stop, after which it rejects such a command.
void Scheduler::BeginIncarnation(Worker& worker,
                                 execution::WorkerRecord record,
                                 const char* reason) {
  const core::TimePoint now = m_ports.clock.Now();
  const core::InstanceId id = record.id;
  const core::Incarnation incarnation = record.incarnation;
  EndIncarnation(worker, IncarnationEnd::kReplaced, reason);
  const std::map<RunKey, execution::AssignedRun> runs = RunsToStopOn(worker);
  worker.Update(std::move(record), now);
  SettleCrash(id, incarnation);
  if (!runs.empty()) {
    Log(core::Severity::kWarning,
        "Stopping " + std::to_string(runs.size()) +
            " runs that may have started on the later incarnation of worker " +
            id.Text() + ".",
        {{"event", "late_starts_stopped"},
         {"worker", id.Text()},
         {"incarnation", std::to_string(incarnation.Count())},
         {"runs", std::to_string(runs.size())}});
    worker.AssumeLeaseUntil(now +
                            execution::WithClockDrift(m_term.max_worker_lease));
  }
  for (const auto& [key, run] : runs) {
    worker.Add(key, run);
    SendStop(worker, key);
  }
  if (m_has_worker_list) {
    StoreHandover();
  }
}

std::map<RunKey, execution::AssignedRun> Scheduler::RunsToStopOn(
    const Worker& replaced) const {
  std::map<RunKey, execution::AssignedRun> runs;
  const auto add = [this, &runs](const RunKey& key) {
    const auto job = m_jobs.find(key.task.job);
    execution::AssignedRun run;
    run.reserves_whole_worker = true;
    if (job != m_jobs.end() && job->second.job.Find(key.task.key) != nullptr) {
      run = MakeAssignedRun(job->second.job.StepOf(key.task.key));
    }
    run.has_unanswered_start = true;
    run.may_start_late = true;
    runs.emplace(key, run);
  };
  for (const auto& [key, run] : replaced.Runs()) {
    add(key);
  }
  for (const RunKey& key :
       m_unanswered_starts.Find(replaced.Record().id, m_ports.clock.Now())) {
    add(key);
  }
  return runs;
}

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
