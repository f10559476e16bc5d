#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Start commands, and the commits that they wait for.

namespace crocusmast::scheduling {

using execution::RunKey;
using execution::Worker;

void Scheduler::StartTask(ActiveJob& active,
                          Worker& worker,
                          const job::TaskId& task,
                          core::Attempt attempt) {
  const core::TimePoint now = m_ports.clock.Now();
  const job::Step& step = active.job.StepOf(task.key);
  execution::AssignedRun assigned = MakeAssignedRun(step);
  assigned.placed_at = now;
  if (active.times.first_placed_at == core::TimePoint()) {
    active.times.first_placed_at = now;
  }
  active.times.last_placed_at = now;
  // A successor must know that the job has started, in which pools, and on
  // which worker each task may be started, but for speculative ones.
  const core::PoolId& pool = worker.Record().pool;
  active.job.Pools().Add(pool);
  assigned.is_waiting_for_commit = !active.is_start_recorded ||
                                   step.NeedsStoredPlacement() ||
                                   !active.job.Pools().IsStored(pool);
  worker.Add({task, attempt}, assigned);
  if (worker.received_end == worker.recorded_end) {
    worker.next_poll_at = std::min(worker.next_poll_at, now);
  }
  UpdateCapacity(worker);
  m_workers_to_poll.insert(worker.Record().id);
  m_committer.MarkChanged(task.job);
  job::Run run;
  run.worker = worker.Record().id;
  run.incarnation = worker.Record().incarnation;
  run.attempt = attempt;
  run.started_at = now;
  run.has_open_start = true;
  active.job.BeginRun(task.key, std::move(run));
  m_crashes.BeginRun(worker.Record().id, {task, attempt});
  worker.ExtendLease(kWorkerLeaseLength, now);
  m_placement_log.Add(task, attempt, worker);
  if (assigned.is_waiting_for_commit) {
    m_committer.MarkUrgent();
  } else {
    SendStart(worker, {task, attempt});
  }
}

void Scheduler::HandleProgressStored(ActiveJob& active, job::JobState state) {
  if (state == job::JobState::kSucceeded) {
    m_job_monitor.HandleEndStored(active, m_ports.clock.Now());
    active.times = {};
  }
  const bool is_first_start = state == job::JobState::kRunning &&
                              !std::exchange(active.is_start_recorded, true);
  if (m_outdated_placements.erase(active.job.Id()) > 0 &&
      m_outdated_placements.empty() && m_has_worker_list) {
    StoreHandover();
  }
  active.job.MarkCapturedProgressStored();
  if (is_first_start || active.is_start_recorded) {
    SendDeferredStarts(active);
  }
}

void Scheduler::SendDeferredStarts(ActiveJob& active) {
  std::vector<std::pair<core::InstanceId, RunKey>> stored;
  active.job.ForEachRun([&](const job::TaskKey& key, const job::Run& run) {
    const Worker* worker = FindWorker(run.worker);
    const bool is_stored =
        active.job.StepOf(key).NeedsStoredPlacement()
            ? run.is_placement_stored
            : worker != nullptr &&
                  active.job.Pools().IsStored(worker->Record().pool);
    if (is_stored) {
      stored.emplace_back(run.worker,
                          RunKey{{active.job.Id(), key}, run.attempt});
    }
  });
  std::vector<std::pair<Worker*, RunKey>> released;
  // Runs of each step of an occurrence whose worker may start them.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> startable;
  for (const auto& [id, key] : stored) {
    Worker* worker = FindWorker(id);
    execution::AssignedRun* run =
        worker == nullptr ? nullptr : worker->Find(key);
    if (run != nullptr && !run->is_stopping && !run->is_held &&
        std::exchange(run->is_waiting_for_commit, false)) {
      released.emplace_back(worker, key);
      const std::pair step(key.task.key.occurrence, key.task.key.step);
      startable[step] += IsStaying(*worker) ? 1 : 0;
    }
  }
  for (const auto& [worker, key] : released) {
    const job::TaskKey& task = key.task.key;
    const job::Step& step = active.job.StepOf(task);
    // The worker may have begun to leave while the commit was stored. The
    // members of a gang start together or not at all.
    const bool is_withdrawn =
        !IsStaying(*worker) ||
        (step.is_gang && startable[{task.occurrence, task.step}] < step.count);
    if (is_withdrawn) {
      EndRun(*worker, key,
             {job::RunOutcome::kRejected, "its worker is leaving"});
    } else {
      SendStart(*worker, key);
    }
  }
}

void Scheduler::SendStart(Worker& worker, const RunKey& key) {
  ActiveJob* active = FindJob(key.task.job);
  execution::AssignedRun* run = worker.Find(key);
  const job::Task* task = active->job.Find(key.task.key);
  if (run == nullptr || task == nullptr) {
    return;
  }
  run->is_start_deferred = !MayStartTasks();
  if (run->is_start_deferred) {
    m_workers_to_retry.insert(worker.Record().id);
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  // The known incarnation may have ended. A later one, whose clock starts anew,
  // would execute the command also after the lease.
  const bool is_silent = worker.failed_polls > 0;
  if (is_silent || worker.is_lease_frozen || worker.HasLeaseExpired(now)) {
    if (run->IsUnsent()) {
      EndRun(worker, key,
             {job::RunOutcome::kRejected,
              is_silent ? "its worker does not reply"
                        : "the lease of its worker ends"});
    }
    return;
  }
  // A later incarnation that executes it grants a lease from then on.
  worker.MarkLeaseRequested(now);
  worker.AssumeLeaseUntil(now + execution::WithClockDrift(kWorkerLeaseLength));
  if (run->IsUnsent()) {
    m_run_monitor.HandleStart(*run, now);
  }
  run->is_command_pending = true;
  run->has_start_in_flight = true;
  // A single start is sent only once no earlier one is open.
  run->has_unanswered_start =
      run->has_unanswered_start && !run->has_single_start;
  run->command_sent_at = now;
  run->start_sent_at = now;
  execution::StartCommand command;
  command.to = worker.Address(now);
  command.task = key.task;
  command.attempt = key.attempt;
  command.payload = active->job.Accepted().spec.payload;
  command.lease_until = worker.LeaseUntil();
  command.checkpoint = active->job.CheckpointOf(key.task.key);
  const std::string* ticket =
      m_tickets.Find(StepId::Of(key.task), command.to.worker,
                     command.to.incarnation, run->command_sent_at);
  command.ticket = ticket == nullptr ? "" : *ticket;
  m_ports.workers.Start(std::move(command));
}

}  // namespace crocusmast::scheduling
