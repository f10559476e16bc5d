#include <utility>
#include <vector>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Start commands that may still be executed, of this leader and of earlier
// ones.

namespace crocusmast::scheduling {
namespace internal {

/** @brief Tells whether members of the gang of a run have ended or are being
 * stopped. */
bool LacksMembers(const job::Job& job, const execution::RunKey& key) {
  std::uint32_t members = 0;
  job.ForEachRun([&](const job::TaskKey& other, const job::Run& run) {
    members += other.occurrence == key.task.key.occurrence &&
                       other.step == key.task.key.step &&
                       run.attempt == key.attempt && !run.is_stopping
                   ? 1
                   : 0;
  });
  return members < job.StepOf(key.task.key).count;
}

}  // namespace internal

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
// finite tasks by polling all workers that may have them, and waits for those
// that are stored as open and that none of them has.
void Scheduler::MarkStartSettled(const RunKey& key, const AssignedRun& run) {
  const core::TimePoint now = m_ports.clock.Now();
  ActiveJob* active = FindJob(key.task.job);
  if (active == nullptr) {
    return;
  }
  const bool is_first = active->job.MarkBegun();
  const bool is_settled =
      !run.HasOpenStart(now) &&
      active->job.MarkStartSettled(key.task.key, key.attempt);
  if (is_settled && run.is_long_running) {
    m_committer.MarkChanged(key.task.job);
  } else if ((is_first || is_settled) &&
             !std::exchange(active->has_answered_starts, true)) {
    m_answered_jobs.emplace_back(now + kAnsweredStartsDelay, key.task.job);
  }
}

// Most of these jobs were stored meanwhile, with ends of their tasks.
void Scheduler::StoreAnsweredStarts() {
  const core::TimePoint now = m_ports.clock.Now();
  while (!m_answered_jobs.empty() && m_answered_jobs.front().first <= now) {
    const core::JobId id = m_answered_jobs.front().second;
    m_answered_jobs.pop_front();
    const ActiveJob* active = FindJob(id);
    if (active != nullptr && active->has_answered_starts) {
      m_committer.MarkChanged(id);
    }
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
// one incarnation. None of this counts for a task that must not run twice.
std::optional<core::InstanceId> Scheduler::WorkerOfOpenStart(
    const ActiveJob& active,
    const job::TaskId& task) const {
  const job::Step& step = active.job.StepOf(task.key);
  const bool must_start_once = step.NeedsSingleStart();
  if (m_open_starts.IsEmpty() || step.is_speculative ||
      (active.needs_tickets && !must_start_once)) {
    return std::nullopt;
  }
  const core::TimePoint now = m_ports.clock.Now();
  for (const OpenStart& start : m_open_starts.OfTask(task)) {
    core::TimePoint until = start.settled_at;
    if (must_start_once) {
      const auto worker = m_workers.find(start.worker);
      until = start.BlocksUntil(
          worker == m_workers.end() ? nullptr : worker->second.get());
    } else if (IsReplying(start.worker)) {
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

// What is left of their time counts for the successors of this leader too.
void Scheduler::AddStoredStarts(const ActiveJob& active) {
  for (const job::TaskPlacement& placement : active.job.Earlier().Open()) {
    const std::optional<OpenStart> start =
        active.job.Find(placement.task) == nullptr
            ? std::nullopt
            : FindEarlierStart(active, placement);
    if (start && active.job.StepOf(placement.task).NeedsSingleStart()) {
      m_open_starts.Add(*start);
    }
  }
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
  const job::Step& step = active.job.StepOf(placement.task);
  const core::TimePoint now = m_ports.clock.Now();
  if (step.NeedsSingleStart()) {
    return now < start->BlocksUntil(
                     found == m_workers.end() ? nullptr : found->second.get());
  }
  const bool is_replying = found != m_workers.end() &&
                           found->second->is_reconciled &&
                           found->second->failed_polls == 0;
  if (is_replying) {
    return !IsSettledWithoutRepeat(*found->second, active, step) &&
           now < start->until;
  }
  return step.is_long_running && now < start->settled_at;
}

// How many copies of a start the earlier leader sent is not known, but for a
// task of which only one is sent: the run shows its execution.
void Scheduler::AdoptOpenStart(const ActiveJob& active,
                               const core::InstanceId& worker,
                               const RunKey& key,
                               AssignedRun& run) const {
  const std::optional<OpenStart> start =
      FindEarlierStart(active, {key.task.key, worker, {}, key.attempt});
  const bool may_be_open =
      m_open_starts.Find(worker, key) != nullptr ||
      active.job.Earlier().IsOpen(key.task.key, key.attempt);
  if (start && may_be_open && !run.has_single_start) {
    run.unanswered_starts = 2;
    run.unanswered_start_until = start->until;
  }
}

// The start may reach the known incarnation, which would execute another one
// only once, or a later one, which would execute each of them.
void Scheduler::AwaitOpenStart(Worker& worker,
                               const RunKey& key,
                               bool may_start) {
  AssignedRun* run = worker.Find(key);
  const ActiveJob* active = FindJob(key.task.job);
  const bool is_wanted =
      active != nullptr && !job::IsFinal(active->job.State());
  const job::Step* step =
      is_wanted ? &active->job.StepOf(key.task.key) : nullptr;
  if (worker.runs_known_at < run->unanswered_start_until) {
    // What it began would have no room, or be an incomplete gang.
    const bool is_incomplete =
        is_wanted && step->is_gang &&
        (!may_start || internal::LacksMembers(active->job, key));
    if (!is_wanted || worker.IsOverCapacity() || is_incomplete) {
      SendStop(worker, key);
      GiveUpOtherGangMembers(key);
    }
    return;
  }
  m_start_waits.End(worker.Record().id, key, *run, StartWaitEnd::kNotExecuted);
  run->DiscardUnexecutedStarts();
  if (may_start && MayTakeTasks(worker, *active, *step)) {
    SendStart(worker, key);
    return;
  }
  EndRun(worker, key,
         {job::RunOutcome::kRejected, "its start was not executed", "", true});
}

// The worker has listed the run or its end.
void Scheduler::HandleExecutedStart(Worker& worker, const RunKey& key) {
  if (const AssignedRun* run = worker.Find(key); run != nullptr) {
    m_start_waits.End(worker.Record().id, key, *run, StartWaitEnd::kExecuted);
  }
  ActiveJob* active = FindJob(key.task.job);
  if (active == nullptr || active->job.Find(key.task.key) == nullptr) {
    return;
  }
  if (active->job.MarkBegun() &&
      !std::exchange(active->has_answered_starts, true)) {
    m_answered_jobs.emplace_back(m_ports.clock.Now() + kAnsweredStartsDelay,
                                 key.task.job);
  }
  if (active->job.StepOf(key.task.key).NeedsSingleStart()) {
    m_open_starts.Remove(worker.Record().id, key);
    active->job.Earlier().RemoveStart(key.task.key, key.attempt);
  }
}

void Scheduler::RepeatEarlierStarts(ActiveJob& active) {
  for (const job::TaskPlacement& placement : active.job.Earlier().Open()) {
    Worker* worker = FindWorker(placement.worker);
    const bool may_repeat =
        worker != nullptr &&
        !active.job.StepOf(placement.task).NeedsSingleStart() &&
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
