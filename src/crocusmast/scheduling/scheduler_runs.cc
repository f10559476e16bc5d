#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Stop commands, replies to start and stop commands, and retries.

namespace crocusmast::scheduling {
using execution::AssignedRun;
using execution::RunKey;
using execution::Worker;
using execution::WorkerCallOutcome;

void Scheduler::GiveUpRun(Worker& worker, const RunKey& key) {
  const AssignedRun* run = worker.Find(key);
  if (run == nullptr || run->is_stopping) {
    return;
  }
  if (run->IsUnsent()) {
    EndRun(worker, key, {job::RunOutcome::kRejected, "it was not sent"});
  } else {
    SendStop(worker, key);
    GiveUpOtherGangMembers(key);
  }
}

void Scheduler::GiveUpUnsentRunsOverCapacity(Worker& worker) {
  if (!worker.IsOverCapacity()) {
    return;
  }
  // The next placement decides which of the tasks get the remaining room.
  for (const RunKey& key : worker.Keys()) {
    const AssignedRun* run = worker.Find(key);
    if (run != nullptr && run->IsUnsent()) {
      GiveUpRun(worker, key);
    }
  }
}

void Scheduler::GiveUpOtherGangMembers(const RunKey& key) {
  const ActiveJob* active = FindJob(key.task.job);
  if (active == nullptr || active->job.Find(key.task.key) == nullptr ||
      !active->job.StepOf(key.task.key).is_gang) {
    return;
  }
  std::vector<std::pair<core::InstanceId, RunKey>> others;
  active->job.ForEachRun([&](const job::TaskKey& other, const job::Run& run) {
    if (other.occurrence == key.task.key.occurrence &&
        other.step == key.task.key.step && run.attempt == key.attempt) {
      others.emplace_back(run.worker,
                          RunKey{{key.task.job, other}, run.attempt});
    }
  });
  for (const auto& [id, other] : others) {
    if (Worker* worker = FindWorker(id); worker != nullptr) {
      GiveUpRun(*worker, other);
    }
  }
}

void Scheduler::StopRuns(ActiveJob& active) {
  std::vector<std::pair<core::InstanceId, RunKey>> runs;
  active.job.ForEachRun([&](const job::TaskKey& key, const job::Run& run) {
    runs.emplace_back(run.worker, RunKey{{active.job.Id(), key}, run.attempt});
  });
  for (const auto& [id, key] : runs) {
    if (Worker* worker = FindWorker(id); worker != nullptr) {
      SendStop(*worker, key);
    }
  }
}

void Scheduler::ReportCancelSettled(const ActiveJob& active) {
  if (!active.cancelled_at) {
    return;
  }
  bool is_settled = true;
  const core::JobId& id = active.job.Id();
  active.job.ForEachRun([&](const job::TaskKey& key, const job::Run& run) {
    Worker* worker = FindWorker(run.worker);
    const AssignedRun* assigned =
        worker == nullptr ? nullptr : worker->Find({{id, key}, run.attempt});
    is_settled =
        is_settled && (assigned == nullptr || assigned->is_stop_acknowledged);
  });
  if (!is_settled) {
    return;
  }
  const core::Duration took = m_ports.clock.Now() - *active.cancelled_at;
  m_ports.meter.Observe(core::Timing::kCancelSettled, took);
  const std::string took_ms = std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
  Log(core::Severity::kInfo,
      "All runs of the cancelled job " + id.Text() +
          " were told to stop or ended, " + took_ms +
          " ms after it was "
          "cancelled here.",
      {{"event", "cancel_settled"}, {"job", id.Text()}, {"took_ms", took_ms}});
}

void Scheduler::SendStop(Worker& worker, const RunKey& key) {
  AssignedRun* run = worker.Find(key);
  if (run == nullptr || run->is_stop_acknowledged ||
      (run->is_stopping && run->is_command_pending)) {
    return;
  }
  run->is_stopping = true;
  run->is_command_pending = true;
  m_workers_to_retry.insert(worker.Record().id);
  if (ActiveJob* active = FindJob(key.task.job); active != nullptr) {
    active->job.MarkRunStopping(key.task.key, key.attempt);
  }
  // A later incarnation is polled first.
  if (run->is_held && !worker.is_reconciled) {
    run->is_command_pending = false;
    return;
  }
  run->command_sent_at = m_ports.clock.Now();
  m_ports.workers.Stop(
      {worker.Address(run->command_sent_at), key.task, key.attempt});
}

void Scheduler::HandleStartReply(const execution::WorkerCommandReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  const RunKey key{reply.task, reply.attempt};
  if (!m_is_active || worker == nullptr ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  if (reply.clock) {
    worker->AdvanceClock(*reply.clock, m_ports.clock.Now());
  }
  AssignedRun* run = worker->Find(key);
  if (run == nullptr) {
    return;
  }
  run->has_start_in_flight = false;
  if (!run->is_stopping) {
    run->is_command_pending = false;
  }
  switch (reply.outcome) {
    case WorkerCallOutcome::kDone:
      if (!run->is_confirmed) {
        m_run_monitor.HandleConfirmation(*run, m_ports.clock.Now());
      }
      run->is_confirmed = true;
      run->has_answered_start = true;
      run->confirmed_at_poll = worker->poll_sequence;
      MarkStartSettled(key, *run);
      if (!run->active_since) {
        run->active_since = reply.clock;
      }
      break;
    case WorkerCallOutcome::kFenced:
      m_was_fenced = true;
      break;
    case WorkerCallOutcome::kIncarnationMismatch:
      HandleOtherWorker(*worker);
      break;
    case WorkerCallOutcome::kUnknown:
      run->has_unanswered_start = true;
      run->AddUnansweredStart();
      if (run->has_single_start && !run->is_listed) {
        m_start_waits.Begin(reply.worker, key, *run);
      }
      run->is_repeat_unsent = false;
      m_workers_to_retry.insert(reply.worker);
      if (m_has_worker_list) {
        StoreHandover();
      }
      break;
    case WorkerCallOutcome::kNotSent:
      if (run->has_unanswered_start) {
        // The worker can't be reached now. It may be running what it was told
        // to start before: a poll tells, or its lease expires.
        run->is_repeat_unsent = true;
        m_workers_to_retry.insert(reply.worker);
        break;
      }
      HandleStartRejection(*worker, key, reply);
      break;
    default:
      HandleStartRejection(*worker, key, reply);
      break;
  }
}

void Scheduler::HandleStartRejection(
    Worker& worker,
    const RunKey& key,
    const execution::WorkerCommandReply& reply) {
  Log(core::Severity::kInfo,
      "Worker " + reply.worker.Text() + " did not start task " +
          Describe(reply.task) + ": " +
          std::string(WorkerCallOutcomeName(reply.outcome)) + ".",
      {{"event", "start_rejected"},
       {"job", reply.task.job.Text()},
       {"task", Describe(reply.task)},
       {"attempt", std::to_string(reply.attempt.Count())},
       {"worker", reply.worker.Text()},
       {"outcome", std::string(WorkerCallOutcomeName(reply.outcome))}});
  if (reply.outcome == WorkerCallOutcome::kInvalidTicket) {
    m_tickets.RemoveTicket(StepId::Of(reply.task), reply.worker);
  } else {
    worker.backoff_until = m_ports.clock.Now() + kWorkerBackoff;
  }
  if (worker.Find(key)->has_unanswered_start) {
    // An earlier start command of this attempt may still be executed.
    SendStop(worker, key);
    GiveUpOtherGangMembers(key);
    return;
  }
  EndRun(worker, key,
         {job::RunOutcome::kRejected, "the worker rejected its start"});
}

void Scheduler::HandleStopReply(const execution::WorkerCommandReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  if (!m_is_active || worker == nullptr ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  if (reply.clock) {
    worker->AdvanceClock(*reply.clock, m_ports.clock.Now());
  }
  AssignedRun* run = worker->Find({reply.task, reply.attempt});
  if (reply.outcome == WorkerCallOutcome::kIncarnationMismatch) {
    HandleOtherWorker(*worker);
    return;
  }
  m_was_fenced = m_was_fenced || reply.outcome == WorkerCallOutcome::kFenced;
  if (run == nullptr) {
    return;
  }
  run->is_command_pending = false;
  if (reply.outcome == WorkerCallOutcome::kDone) {
    const bool was_stopped = std::exchange(run->is_stop_acknowledged, true);
    run->is_confirmed = true;
    run->confirmed_at_poll = worker->poll_sequence;
    const ActiveJob* active = FindJob(reply.task.job);
    if (!was_stopped && active != nullptr) {
      ReportCancelSettled(*active);
    }
  }
}

bool Scheduler::MayStartTasks() const {
  return m_ports.clock.Now() < m_store_view.complete_at + kMaxStartViewAge;
}

void Scheduler::LogStartPermission() {
  const bool may_start = MayStartTasks();
  if (std::exchange(m_may_start_tasks, may_start) == may_start) {
    return;
  }
  Log(may_start ? core::Severity::kInfo : core::Severity::kWarning,
      may_start ? "Tasks are started again; the state of the store is recent."
                : "No tasks are started, because the known state of the store "
                  "is too old.",
      {{"event", may_start ? "starts_resumed" : "starts_suspended"},
       {"view_age_ms", ViewAgeMs()}});
}

void Scheduler::RetryCommands() {
  for (auto next = m_workers_to_retry.begin();
       next != m_workers_to_retry.end();) {
    Worker* worker = FindWorker(*next);
    const bool is_pending = worker != nullptr && RetryWorkerCommands(*worker);
    next = is_pending ? std::next(next) : m_workers_to_retry.erase(next);
  }
}

bool Scheduler::RetryWorkerCommands(Worker& worker) {
  const core::TimePoint now = m_ports.clock.Now();
  bool is_pending = false;
  for (const RunKey& key : worker.Keys()) {
    const AssignedRun* run = worker.Find(key);
    const bool needs_retry =
        run != nullptr && !run->is_stop_acknowledged &&
        (run->is_stopping ||
         ((run->is_start_deferred || run->has_unanswered_start) &&
          !run->is_confirmed && !run->is_held && !run->is_waiting_for_commit));
    is_pending = is_pending || needs_retry;
    if (!needs_retry || run->is_command_pending) {
      continue;
    }
    if ((run->is_stopping || run->is_repeat_unsent) &&
        now < run->command_sent_at + kCommandRetryDelay) {
      continue;
    }
    // A worker that does not reply may be restarting.
    if (!run->is_stopping && run->has_unanswered_start &&
        worker.failed_polls > 0) {
      continue;
    }
    if (run->is_stopping) {
      SendStop(worker, key);
      continue;
    }
    const ActiveJob* active = FindJob(key.task.job);
    const bool may_start = active != nullptr &&
                           !job::IsFinal(active->job.State()) &&
                           worker.IsListed() && !worker.Record().is_draining &&
                           !worker.IsOverCapacity();
    if (run->has_single_start && run->has_unanswered_start) {
      AwaitOpenStart(worker, key, may_start);
    } else if (may_start) {
      SendStart(worker, key);
    } else {
      SendStop(worker, key);
      GiveUpOtherGangMembers(key);
    }
  }
  return is_pending;
}

}  // namespace crocusmast::scheduling
