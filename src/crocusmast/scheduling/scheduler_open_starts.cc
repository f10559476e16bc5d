#include <utility>
#include <vector>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Start commands that may still be executed, of this leader and of earlier
// ones.

namespace crocusmast::scheduling {

using execution::AssignedRun;
using execution::RunKey;
using execution::Worker;

// A start may be executed by an incarnation that the present one is followed
// by, so that its task must not start elsewhere. If it is repeated under the
// same attempt, it is one run, whichever incarnation executes which copy.
bool Scheduler::RepeatStart(Worker& worker, const RunKey& key) {
  AssignedRun* run = worker.Find(key);
  ActiveJob* active = FindJob(key.task.job);
  const job::Task* task =
      active == nullptr ? nullptr : active->job.Find(key.task.key);
  // An earlier incarnation has not survived its start.
  m_crashes.EndProbation(worker.Record().id, key);
  // The known incarnation rejects an attempt that it was told to stop.
  const bool may_start =
      task != nullptr && !task->is_done && !run->has_reported_end &&
      !(run->is_stopping && worker.is_reconciled) &&
      !job::IsFinal(active->job.State()) && !MustStartAlone(worker, key.task) &&
      MayRepeatOn(worker, *active, active->job.StepOf(key.task.key));
  if (!may_start) {
    return false;
  }
  const core::TimePoint now = m_ports.clock.Now();
  run->is_held = false;
  run->held_until = {};
  run->is_stopping = false;
  run->is_stop_acknowledged = false;
  run->is_confirmed = false;
  run->is_listed = false;
  run->has_survived_start = false;
  run->active_since.reset();
  run->listed_at.reset();
  run->has_unanswered_start = true;
  run->is_repeat_unsent = false;
  if (!worker.is_lease_frozen) {
    worker.ExtendLease(kWorkerLeaseLength, now);
  }
  const bool is_stored = active->job.MoveRun(key.task.key, key.attempt,
                                             worker.Record().incarnation);
  run->is_waiting_for_commit =
      !is_stored && active->job.StepOf(key.task.key).is_long_running;
  if (run->is_waiting_for_commit) {
    m_committer.MarkChanged(key.task.job);
  }
  m_crashes.BeginRun(worker.Record().id, key);
  m_workers_to_retry.insert(worker.Record().id);
  Log(core::Severity::kInfo,
      "Repeating the start of task " + Describe(key.task) + " on worker " +
          worker.Record().id.Text() + ".",
      {{"event", "start_repeated"},
       {"job", key.task.job.Text()},
       {"task", Describe(key.task)},
       {"attempt", std::to_string(key.attempt.Count())},
       {"worker", worker.Record().id.Text()},
       {"incarnation", std::to_string(worker.Record().incarnation.Count())}});
  return true;
}

// It is tried again with the next reply.
bool Scheduler::MustStartAlone(const Worker& worker,
                               const job::TaskId& task) const {
  return m_crashes.IsSuspect(task) &&
         (m_crashes.MustWait(task) || m_crashes.IsReserved(worker.Record().id));
}

// A successor need not wait for the start commands of this run then. It finds
// finite tasks by polling all workers that may have them.
void Scheduler::MarkStartSettled(const RunKey& key, const AssignedRun& run) {
  ActiveJob* active = FindJob(key.task.job);
  if (active != nullptr && !run.HasOpenStart(m_ports.clock.Now()) &&
      active->job.MarkStartSettled(key.task.key, key.attempt) &&
      run.is_long_running) {
    m_committer.MarkChanged(key.task.job);
  }
}

// The command outlives the run. A later incarnation of the worker may execute
// it until it replies.
void Scheduler::AddOpenStart(const Worker& worker, const RunKey& key) {
  const auto run = worker.Runs().find(key);
  const core::TimePoint now = m_ports.clock.Now();
  if (run == worker.Runs().end() || !run->second.HasOpenStart(now)) {
    return;
  }
  const OpenStart start = OpenStart::Of(worker.Record().id, key, run->second,
                                        m_term.max_worker_lease);
  m_open_starts.Add(start);
  if (m_has_worker_list) {
    StoreHandover();
  }
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(start.until - now);
  Log(core::Severity::kInfo,
      "A start of task " + Describe(key.task) + " on worker " +
          worker.Record().id.Text() +
          " may still be executed after the end of its run.",
      {{"event", "start_left_open"},
       {"job", key.task.job.Text()},
       {"task", Describe(key.task)},
       {"attempt", std::to_string(key.attempt.Count())},
       {"worker", worker.Record().id.Text()},
       {"executable_for_ms", std::to_string(remaining.count())}});
}

bool Scheduler::IsReplying(const core::InstanceId& worker) const {
  const auto found = m_workers.find(worker);
  return found != m_workers.end() && found->second->is_reconciled &&
         found->second->IsListed() && found->second->failed_polls == 0;
}

// The known incarnation of that worker rejects the earlier start, and one that
// takes no task of the job any more is not waited for. A ticket is valid for
// one incarnation.
std::optional<core::InstanceId> Scheduler::WorkerOfOpenStart(
    const ActiveJob& active,
    const job::TaskId& task) const {
  const job::Step& step = active.job.StepOf(task.key);
  if (m_open_starts.IsEmpty() || step.is_speculative || active.needs_tickets) {
    return std::nullopt;
  }
  const core::TimePoint now = m_ports.clock.Now();
  for (const OpenStart& start : m_open_starts.OfTask(task)) {
    core::TimePoint until = start.settled_at;
    if (IsReplying(start.worker)) {
      until = MayTakeTasks(*m_workers.at(start.worker), active, step)
                  ? std::min(start.until, start.settled_at)
                  : now;
    }
    if (now < until) {
      return start.worker;
    }
  }
  return std::nullopt;
}

// An earlier leader that was lost may have sent the start until its end, unless
// it has stored that the start got no reply.
std::optional<OpenStart> Scheduler::FindEarlierStart(
    const ActiveJob& active,
    const job::TaskPlacement& placement) const {
  if (!placement.open_attempt) {
    return std::nullopt;
  }
  const RunKey key{{active.job.Id(), placement.task}, *placement.open_attempt};
  const OpenStart* known = m_open_starts.Find(placement.worker, key);
  if (known != nullptr) {
    return *known;
  }
  if (m_open_starts.AreEarlierKnown()) {
    return std::nullopt;
  }
  const core::TimePoint ended_at =
      m_term.vacant_since.value_or(m_term_began_at);
  const core::Duration lease =
      execution::WithClockDrift(m_term.max_worker_lease);
  const core::TimePoint until = ended_at + execution::kMaxCommandDelay;
  const auto worker = m_workers.find(placement.worker);
  const bool is_listed =
      worker != m_workers.end() && worker->second->IsListed();
  const bool is_gone =
      m_inherited_workers.IsGone(placement.worker) && !is_listed;
  return OpenStart{placement.worker, key, until,
                   is_gone ? ended_at + lease : until + lease};
}

// The worker may have replied without the run: the command may reach a later
// incarnation of it.
bool Scheduler::MayStillStart(const ActiveJob& active,
                              const job::TaskPlacement& placement) const {
  const job::Task* task = active.job.Find(placement.task);
  const std::optional<OpenStart> start = FindEarlierStart(active, placement);
  if (!start || task == nullptr || task->is_done || !task->runs.empty()) {
    return false;
  }
  const auto found = m_workers.find(placement.worker);
  const bool is_replying = found != m_workers.end() &&
                           found->second->is_reconciled &&
                           found->second->failed_polls == 0;
  const job::Step& step = active.job.StepOf(placement.task);
  const core::TimePoint now = m_ports.clock.Now();
  if (is_replying) {
    return !IsSettledWithoutRepeat(*found->second, active, step) &&
           now < start->until;
  }
  // The record of a finite task does not tell whether its start was answered.
  // If it was, its run has ended with the lease of its worker.
  const bool is_known =
      m_open_starts.Find(start->worker, start->key) != nullptr;
  return (step.is_long_running || is_known) && now < start->settled_at;
}

// How many copies of a start the earlier leader sent is not known, but for a
// finite task without a stored open start: its only copy has been executed.
void Scheduler::AdoptOpenStart(const ActiveJob& active,
                               const core::InstanceId& worker,
                               const RunKey& key,
                               AssignedRun& run) const {
  const job::Step& step = active.job.StepOf(key.task.key);
  const bool is_known = m_open_starts.Find(worker, key) != nullptr;
  const bool may_be_open =
      step.is_long_running &&
      active.job.Earlier().IsOpen(key.task.key, key.attempt);
  const std::optional<OpenStart> start =
      FindEarlierStart(active, {key.task.key, worker, {}, key.attempt});
  if (start && (is_known || may_be_open)) {
    run.unanswered_starts = 2;
    run.unanswered_start_until = start->until;
  }
}

void Scheduler::RepeatEarlierStarts(ActiveJob& active) {
  for (const job::TaskPlacement& placement : active.job.Earlier().Open()) {
    Worker* worker = FindWorker(placement.worker);
    const bool may_repeat =
        worker != nullptr &&
        (active.job.StepOf(placement.task).is_long_running ||
         MayStartFiniteTasks(active)) &&
        !m_inherited_workers.MayStillRun(placement) &&
        MayStillStart(active, placement) &&
        !MustStartAlone(*worker, {active.job.Id(), placement.task}) &&
        IsUsable(*worker, m_ports.clock.Now());
    if (!may_repeat) {
      continue;
    }
    const core::TimePoint until = FindEarlierStart(active, placement)->until;
    active.job.Earlier().Remove(placement.task);
    const job::TaskId task{active.job.Id(), placement.task};
    StartTask(active, *worker, task, *placement.open_attempt);
    AssignedRun* run = worker->Find({task, *placement.open_attempt});
    run->has_unanswered_start = true;
    // How many copies the earlier leader sent is not known.
    run->unanswered_starts = 2;
    run->unanswered_start_until = until;
  }
}

}  // namespace crocusmast::scheduling
