#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Polls of workers: ended runs, active runs and best-effort throttling.

namespace crocusmast::scheduling {
namespace internal {

/** @brief Best-effort runs slow down above this share of a latency target. */
constexpr std::int64_t kHighLatencyPercent = 80;
/** @brief Best-effort runs speed up below this share of all latency targets. */
constexpr std::int64_t kLowLatencyPercent = 55;
/** @brief Increase of the best-effort share after a poll with low latencies, in
 * percentage points. */
constexpr std::uint64_t kShareIncreasePercent = 10;
/** @brief A best-effort share below this is set to zero, in per cent. */
constexpr std::uint64_t kMinSharePercent = 15;
constexpr std::uint64_t kFullSharePercent = 100;

}  // namespace internal

using execution::AssignedRun;
using execution::RunKey;
using execution::Worker;
using execution::WorkerCallOutcome;

void Scheduler::Handle(const execution::PollReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  if (!m_is_active || worker == nullptr || !worker->is_poll_pending ||
      worker->poll_sequence != reply.sequence ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  worker->is_poll_pending = false;
  m_workers_to_poll.insert(reply.worker);
  if (reply.outcome == WorkerCallOutcome::kFenced) {
    m_was_fenced = true;
    return;
  }
  if (reply.outcome == WorkerCallOutcome::kIncarnationMismatch) {
    HandleOtherWorker(*worker);
    return;
  }
  if (reply.replying_incarnation &&
      *reply.replying_incarnation != reply.incarnation) {
    HandleOtherIncarnation(*worker, *reply.replying_incarnation);
    return;
  }
  if (reply.outcome != WorkerCallOutcome::kDone) {
    ++worker->failed_polls;
    m_may_have_silent_workers = true;
    const bool is_idle = worker->is_reconciled &&
                         (worker->Runs().empty() ||
                          (worker->HasOnlyHeldRuns() && !worker->IsListed()));
    worker->next_poll_at =
        now + (is_idle ? kIdlePollRetryDelay : kPollRetryDelay);
    worker->backoff_until = now + kWorkerBackoff;
    if (worker->failed_polls == 1) {
      worker->silent_since = now;
      m_crashes.HandleSilence(*worker, now);
      Log(core::Severity::kWarning,
          "Poll of worker " + reply.worker.Text() + " failed: " +
              std::string(WorkerCallOutcomeName(reply.outcome)) + ".",
          {{"event", "worker_silent"}, {"worker", reply.worker.Text()}});
    }
    return;
  }
  if (worker->failed_polls > 0) {
    Log(core::Severity::kInfo,
        "Worker " + reply.worker.Text() + " replies to polls again.",
        {{"event", "worker_answers"}, {"worker", reply.worker.Text()}});
  }
  if (worker->failed_polls > 0 || m_crashes.IsUncertain(reply.worker)) {
    m_crashes.HandleReply(*worker);
  }
  if (std::exchange(worker->failed_polls, 0) > 0 && worker->is_lease_frozen) {
    StoreHandover();
  }
  worker->acknowledged_end = worker->acknowledging_end;
  worker->next_poll_at = now;
  worker->has_unlisted_ends = !reply.lists_all_ends;
  if (reply.clock) {
    worker->UpdateClock(*reply.clock, now);
  }
  if (const InheritedWorkers::Worker* inherited =
          m_inherited_workers.Find(reply.worker);
      inherited != nullptr) {
    // The runs it reports are covered by leases of an earlier leader.
    worker->AssumeLeaseUntil(inherited->leased_until);
  }
  const bool outlives_lease =
      !reply.running.empty() && worker->HasLeaseExpired(now);
  if (!worker->is_reconciled || worker->HasHeldRuns() || outlives_lease) {
    // Commands to earlier incarnations, or of earlier leaders, may have
    // extended its lease until now.
    worker->AssumeLeaseUntil(
        now + execution::WithClockDrift(m_term.max_worker_lease));
  }
  ProcessEndedRuns(*worker, reply);
  // Nothing follows from a run's absence in a list that is not complete. An
  // earlier run of a task may be found in place of a held one.
  if (reply.lists_all_ends) {
    EndUnreportedHeldRuns(*worker, reply);
  }
  ProcessRunningRuns(*worker, reply);
  if (reply.lists_all_ends) {
    EndUnreportedRuns(*worker, reply);
    worker->runs_known_at = worker->poll_sent_at;
  }
  ThrottleBestEffortRuns(*worker, reply);
  if (!worker->is_reconciled && reply.lists_all_ends) {
    worker->is_reconciled = true;
    MarkReconciled(reply.worker, "it replied to a poll");
    m_pools_to_place.insert(worker->Record().pool);
  }
  UpdateCapacity(*worker);
}

void Scheduler::ProcessEndedRuns(Worker& worker,
                                 const execution::PollReply& reply) {
  const core::RunEndNumber before = worker.received_end;
  std::string ends;
  for (const execution::EndedRunReport& end : reply.ended) {
    if (!(worker.received_end < end.number)) {
      continue;
    }
    worker.received_end = end.number;
    TrackFailures(worker, end.outcome);
    MeasureRun(worker, end, reply);
    HandleExecutedStart(worker, {end.task, end.attempt});
    if (AssignedRun* run = worker.Find({end.task, end.attempt});
        run != nullptr) {
      run->MarkListed();
    }
    EndRun(worker, {end.task, end.attempt},
           {end.outcome, "the worker reported its end", end.checkpoint, true});
    ends += (ends.empty() ? "" : " ") + Describe(end.task) + '#' +
            std::to_string(end.attempt.Count()) + '=' +
            std::string(job::RunOutcomeName(end.outcome));
  }
  if (worker.received_end == before) {
    if (worker.recorded_end < worker.received_end) {
      worker.next_poll_at = m_ports.clock.Now() + kUnrecordedPollDelay;
    }
    return;
  }
  Log(core::Severity::kInfo,
      "Runs ended on worker " + worker.Record().id.Text() + ".",
      {{"event", "runs_ended"},
       {"worker", worker.Record().id.Text()},
       {"ends", std::move(ends)},
       {"number", std::to_string(worker.received_end.Count())}});
  if (m_committer.HasPending()) {
    m_committer.AddRunEnds(worker.Record().id, worker.received_end);
    worker.next_poll_at = m_ports.clock.Now() + kUnrecordedPollDelay;
  } else {
    worker.recorded_end = worker.received_end;
  }
}

void Scheduler::MeasureRun(Worker& worker,
                           const execution::EndedRunReport& end,
                           const execution::PollReply& reply) {
  const AssignedRun* run = worker.Find({end.task, end.attempt});
  if (run == nullptr || end.outcome != job::RunOutcome::kDone) {
    return;
  }
  const std::optional<core::Duration> run_time =
      EstimateRunTime(*run, reply.clock, worker.is_poll_waiting);
  if (!run_time) {
    return;
  }
  if (run->confirmed_at != core::TimePoint()) {
    m_run_monitor.HandleEnd(*run, *run_time, m_ports.clock.Now());
  }
  const ActiveJob* active = FindJob(end.task.job);
  if (active != nullptr && active->job.Find(end.task.key) != nullptr) {
    m_run_time_estimator.Observe(active->job.Accepted().queue,
                                 active->job.StepOf(end.task.key).estimate,
                                 *run_time);
  }
}

void Scheduler::LogReports() {
  std::vector<core::LogField> run_times =
      m_run_monitor.NextReport(m_ports.clock.Now());
  if (!run_times.empty()) {
    run_times.insert(run_times.begin(), {"event", "run_time_ratios"});
    run_times.push_back({"ratios", m_run_time_estimator.DescribeRatios()});
    run_times.push_back({"slopes", m_run_time_estimator.DescribeSlopes()});
    Log(core::Severity::kInfo, "Run times of the last second.",
        std::move(run_times));
  }
  for (std::vector<core::LogField>& fields :
       m_job_monitor.NextReports(m_ports.clock.Now())) {
    fields.insert(fields.begin(), {"event", "job_phases"});
    Log(core::Severity::kInfo, "Phases of the jobs that ended last.",
        std::move(fields));
  }
}

void Scheduler::TrackFailures(Worker& worker, job::RunOutcome outcome) {
  if (outcome == job::RunOutcome::kDone) {
    worker.failed_runs = 0;
  }
  if (outcome != job::RunOutcome::kFailed) {
    return;
  }
  ++worker.failed_runs;
  if (worker.failed_runs >= kFailedRunsForBackoff) {
    worker.backoff_until =
        m_ports.clock.Now() + kFailedRunBackoff * worker.failed_runs;
    Log(core::Severity::kWarning,
        "Worker " + worker.Record().id.Text() + " gets no new tasks for now: " +
            std::to_string(worker.failed_runs) + " consecutive runs failed.",
        {{"event", "worker_avoided"},
         {"worker", worker.Record().id.Text()},
         {"failed", std::to_string(worker.failed_runs)}});
  }
}

void Scheduler::ProcessRunningRuns(Worker& worker,
                                   const execution::PollReply& reply) {
  const core::TimePoint now = m_ports.clock.Now();
  for (const execution::RunReport& report : reply.running) {
    const RunKey key{report.task, report.attempt};
    AssignedRun* run = worker.Find(key);
    if (run != nullptr && run->is_held) {
      ResumeHeldRun(worker, key);
    }
    HandleExecutedStart(worker, key);
    if (run == nullptr) {
      AdoptRun(worker, report);
    } else if (!run->is_confirmed) {
      run->is_confirmed = true;
      run->confirmed_at_poll = reply.sequence;
      m_run_monitor.HandleConfirmation(*run, now);
    }
    if (run != nullptr) {
      run->MarkListed();
      MarkStartSettled(key, *run);
    }
    if (run != nullptr && !run->active_since) {
      run->active_since = reply.clock;
    }
    if (run != nullptr && reply.clock) {
      run->listed_at = reply.clock;
    }
    if (ActiveJob* active = FindJob(report.task.job); active != nullptr) {
      active->job.UpdateRun(report.task.key, report.attempt, report.percent,
                            report.checkpoint, now);
    }
    if (run != nullptr && !run->has_survived_start &&
        CrashAttribution::HasSurvivedStart(worker, *run)) {
      run->has_survived_start = true;
      MarkStartSurvived(worker, key);
    }
  }
}

void Scheduler::AdoptRun(Worker& worker, const execution::RunReport& report) {
  const RunKey key{report.task, report.attempt};
  ActiveJob* active = FindJob(report.task.job);
  const job::Task* task =
      active == nullptr ? nullptr : active->job.Find(report.task.key);
  AssignedRun run;
  if (task != nullptr) {
    run = MakeAssignedRun(active->job.StepOf(report.task.key));
  } else {
    run.reserves_whole_worker = true;
  }
  run.is_confirmed = true;
  run.is_listed = true;
  run.confirmed_at_poll = worker.poll_sequence;
  run.command_sent_at = m_ports.clock.Now();
  run.active_since = worker.AliveAt();
  if (active != nullptr && task != nullptr) {
    AdoptOpenStart(*active, worker.Record().id, key, run);
  }
  const bool is_wanted = task != nullptr &&
                         !job::IsFinal(active->job.State()) && !task->is_done &&
                         (task->runs.empty() ||
                          active->job.StepOf(report.task.key).is_speculative);
  worker.Add(key, run);
  GiveUpUnsentRunsOverCapacity(worker);
  Log(core::Severity::kInfo,
      "Found task " + Describe(report.task) + " running on worker " +
          worker.Record().id.Text() + (is_wanted ? "." : "; stopping it."),
      {{"event", is_wanted ? "run_adopted" : "run_unwanted"},
       {"job", report.task.job.Text()},
       {"task", Describe(report.task)},
       {"attempt", std::to_string(report.attempt.Count())},
       {"worker", worker.Record().id.Text()}});
  if (!is_wanted) {
    SendStop(worker, key);
    return;
  }
  job::Run adopted;
  adopted.worker = worker.Record().id;
  adopted.incarnation = worker.Record().incarnation;
  adopted.attempt = report.attempt;
  adopted.started_at = m_ports.clock.Now();
  adopted.has_open_start = run.HasOpenStart(adopted.started_at);
  active->job.BeginRun(report.task.key, std::move(adopted));
  if (active->job.StepOf(report.task.key).is_long_running) {
    m_committer.MarkChanged(report.task.job);
  }
  m_crashes.BeginRun(worker.Record().id, key);
}

void Scheduler::EndUnreportedRuns(Worker& worker,
                                  const execution::PollReply& reply) {
  for (const RunKey& key : worker.Keys()) {
    const AssignedRun* run = worker.Find(key);
    if (run == nullptr || !run->is_confirmed || run->is_held ||
        run->confirmed_at_poll >= reply.sequence) {
      continue;
    }
    if (!reply.IsRunning(key.task, key.attempt)) {
      EndRun(worker, key,
             {run->is_stopping ? job::RunOutcome::kStopped
                               : job::RunOutcome::kLost,
              "the worker does not list it any more"});
    }
  }
}

void Scheduler::HandleCpuShareReply(
    const execution::WorkerCommandReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  if (!m_is_active || worker == nullptr ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  AssignedRun* run = worker->Find({reply.task, reply.attempt});
  if (run != nullptr && (reply.outcome == WorkerCallOutcome::kNotSent ||
                         reply.outcome == WorkerCallOutcome::kUnknown)) {
    run->has_unanswered_cpu_share = true;
  }
}

void Scheduler::ThrottleBestEffortRuns(Worker& worker,
                                       const execution::PollReply& reply) {
  bool is_latency_high = false;
  bool is_latency_low = true;
  for (const execution::RunReport& report : reply.running) {
    const ActiveJob* active = FindJob(report.task.job);
    if (active == nullptr || active->job.Find(report.task.key) == nullptr) {
      continue;
    }
    const core::Duration target =
        active->job.StepOf(report.task.key).latency_target;
    if (target <= core::Duration::zero()) {
      continue;
    }
    is_latency_high =
        is_latency_high ||
        report.tail_latency * 100 > target * internal::kHighLatencyPercent;
    is_latency_low =
        is_latency_low &&
        report.tail_latency * 100 < target * internal::kLowLatencyPercent;
  }
  const std::uint64_t before = worker.best_effort_share.Count();
  std::uint64_t share = before;
  if (is_latency_high) {
    share = before / 2 < internal::kMinSharePercent ? 0 : before / 2;
  } else if (is_latency_low) {
    share = std::min(internal::kFullSharePercent,
                     before + internal::kShareIncreasePercent);
  }
  worker.best_effort_share = core::Percent(share);
  // A run has its full share from the start.
  const bool may_lack_share = share != internal::kFullSharePercent;
  for (const auto& [key, run] : worker.Runs()) {
    const bool is_due = share != before || run.has_unanswered_cpu_share ||
                        (may_lack_share && !run.has_cpu_share);
    if (run.is_best_effort && !run.is_stopping && is_due) {
      AssignedRun* assigned = worker.Find(key);
      assigned->has_cpu_share = true;
      assigned->has_unanswered_cpu_share = false;
      m_ports.workers.SetCpuShare({worker.Address(m_ports.clock.Now()),
                                   key.task, key.attempt,
                                   worker.best_effort_share});
    }
  }
}

}  // namespace crocusmast::scheduling
