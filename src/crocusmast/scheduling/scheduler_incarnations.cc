#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Incarnations of workers: their ends, and what may still start on later ones.

namespace crocusmast::scheduling {

using execution::AssignedRun;
using execution::RunKey;
using execution::Worker;

void Scheduler::EndIncarnation(Worker& worker, const IncarnationEnd& end) {
  using Evidence = IncarnationEnd::Evidence;
  const core::InstanceId& id = worker.Record().id;
  const core::TimePoint now = m_ports.clock.Now();
  // The end of an incarnation with held runs only was handled before.
  const bool is_known = worker.HasOnlyHeldRuns();
  const std::vector<RunKey> ended =
      end.evidence == Evidence::kAddressTaken
          ? worker.Keys()
          : worker.HoldRuns(now, m_term.max_worker_lease, end.absence);
  if (!is_known && !worker.Runs().empty()) {
    Log(core::Severity::kWarning,
        "Runs on worker " + id.Text() + " are lost: " + end.reason + ".",
        {{"event", "worker_lost"},
         {"worker", id.Text()},
         {"evidence", end.reason},
         {"runs", std::to_string(worker.Runs().size())},
         {"held", std::to_string(worker.Runs().size() - ended.size())}});
  }
  Blame blame;
  if (end.evidence != Evidence::kLeaseExpired && !is_known) {
    blame = m_crashes.FindBlame(worker, now);
  } else if (!is_known) {
    // The worker may be cut off rather than crashed.
    m_crashes.HandleLeaseExpiry(worker, now);
  }
  for (const RunKey& key : ended) {
    const bool is_blamed = std::any_of(
        blame.runs.begin(), blame.runs.end(), [&key](const RunKey& run) {
          return run.task == key.task && run.attempt == key.attempt;
        });
    EndRun(
        worker, key,
        {is_blamed ? job::RunOutcome::kWorkerCrashed : job::RunOutcome::kLost,
         end.reason, "", true});
  }
  CountCrashes(id, blame);
  if (end.evidence != Evidence::kReplaced) {
    MarkReconciled(id, end.reason);
  }
}

void Scheduler::HandleOtherWorker(Worker& worker) {
  const core::Incarnation known = worker.Record().incarnation;
  EndIncarnation(worker, {IncarnationEnd::Evidence::kAddressTaken,
                          "another worker replied at its address"});
  // It rejects what was sent to this one.
  m_open_starts.HandleReplacement(worker.Record().id, m_ports.clock.Now());
  worker.MarkUnlisted();
  SettleCrash(worker.Record().id, known + core::Incarnation(1));
}

void Scheduler::HandleOtherIncarnation(Worker& worker,
                                       core::Incarnation replying) {
  // Incarnations are told apart by the time of day at which they started, which
  // may have been set back: the known one has ended, and this one can't be
  // used.
  if (replying < worker.Record().incarnation) {
    EndIncarnation(worker, {IncarnationEnd::Evidence::kReplaced,
                            "an incarnation that seems earlier replied"});
    worker.MarkUnlisted();
    // It is granted no lease.
    ++worker.failed_polls;
    m_may_have_silent_workers = true;
    worker.next_poll_at = m_ports.clock.Now() + kIdlePollRetryDelay;
    UpdateCapacity(worker);
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

void Scheduler::BeginIncarnation(Worker& worker,
                                 execution::WorkerRecord record,
                                 const char* reason) {
  const core::TimePoint now = m_ports.clock.Now();
  const core::InstanceId id = record.id;
  const core::Incarnation incarnation = record.incarnation;
  EndIncarnation(worker, {IncarnationEnd::Evidence::kReplaced, reason});
  worker.Update(std::move(record), now);
  m_open_starts.HandleLaterIncarnation(
      id, execution::WithClockDrift(m_term.max_worker_lease));
  for (const OpenStart& start : m_open_starts.OfWorker(id, now)) {
    HoldEndedRun(worker, start.key, start.until);
  }
  worker.ExtendHeldRuns(now, m_term.max_worker_lease);
  SettleCrash(id, incarnation);
  if (!worker.Runs().empty()) {
    Log(core::Severity::kWarning,
        "The later incarnation of worker " + id.Text() + " may start " +
            std::to_string(worker.Runs().size()) +
            " runs of the earlier one until it replies to a poll.",
        {{"event", "late_starts_possible"},
         {"worker", id.Text()},
         {"incarnation", std::to_string(incarnation.Count())},
         {"runs", std::to_string(worker.Runs().size())}});
  }
  if (m_has_worker_list) {
    StoreHandover();
  }
}

// The run has ended, but its task, which may start again, has not. If the later
// incarnation has started the run once more, it is stopped there first.
void Scheduler::HoldEndedRun(Worker& worker,
                             const RunKey& key,
                             core::TimePoint until) {
  ActiveJob* active = FindJob(key.task.job);
  const job::Task* task =
      active == nullptr ? nullptr : active->job.Find(key.task.key);
  if (task == nullptr || task->is_done || !task->runs.empty() ||
      job::IsFinal(active->job.State())) {
    return;
  }
  AssignedRun held = MakeAssignedRun(active->job.StepOf(key.task.key));
  held.is_held = true;
  held.is_stopping = true;
  held.has_reported_end = true;
  held.command_sent_at = m_ports.clock.Now();
  held.unanswered_start_until = until;
  worker.Add(key, held);
  job::Run run;
  run.worker = worker.Record().id;
  run.incarnation = worker.Record().incarnation;
  run.attempt = key.attempt;
  run.started_at = held.command_sent_at;
  active->job.BeginRun(key.task.key, std::move(run));
  active->job.MarkRunStopping(key.task.key, key.attempt);
}

// The task is not placed again, so that the run goes on; a gang would wait for
// members that have ended.
void Scheduler::ResumeHeldRun(Worker& worker, const RunKey& key) {
  AssignedRun* run = worker.Find(key);
  ActiveJob* active = FindJob(key.task.job);
  const job::Task* task =
      active == nullptr ? nullptr : active->job.Find(key.task.key);
  const bool is_wanted = task != nullptr && !run->is_stopping &&
                         !job::IsFinal(active->job.State()) && !task->is_done &&
                         !active->job.StepOf(key.task.key).is_gang;
  run->is_held = false;
  run->held_until = {};
  run->is_confirmed = true;
  run->is_waiting_for_commit = false;
  run->confirmed_at_poll = worker.poll_sequence;
  run->has_unanswered_start = false;
  run->active_since.reset();
  run->listed_at.reset();
  Log(core::Severity::kInfo,
      "Task " + Describe(key.task) + " runs on a later incarnation of worker " +
          worker.Record().id.Text() + (is_wanted ? "." : "; stopping it."),
      {{"event", is_wanted ? "run_resumed" : "run_unwanted"},
       {"job", key.task.job.Text()},
       {"task", Describe(key.task)},
       {"attempt", std::to_string(key.attempt.Count())},
       {"worker", worker.Record().id.Text()}});
  if (!is_wanted) {
    SendStop(worker, key);
    return;
  }
  const bool is_stored = active->job.MoveRun(key.task.key, key.attempt,
                                             worker.Record().incarnation);
  if (!is_stored && active->job.StepOf(key.task.key).is_long_running) {
    m_committer.MarkChanged(key.task.job);
  }
}

// Both lists are those of an incarnation that rejects the commands to earlier
// ones.
void Scheduler::EndUnreportedHeldRuns(Worker& worker,
                                      const execution::PollReply& reply) {
  const core::TimePoint now = m_ports.clock.Now();
  for (const RunKey& key : worker.Keys()) {
    const AssignedRun* run = worker.Find(key);
    const bool is_missing = run != nullptr && run->is_held &&
                            !reply.IsRunning(key.task, key.attempt);
    // It may have been confirmed while the poll was on its way.
    const bool is_overtaken = is_missing && worker.is_reconciled &&
                              reply.sequence <= run->confirmed_at_poll;
    if (!is_missing || is_overtaken) {
      continue;
    }
    // The late start of an earlier run is adopted in its place.
    const bool runs_otherwise = std::any_of(
        reply.running.begin(), reply.running.end(),
        [&key](const auto& report) { return report.task == key.task; });
    // A single start may be executed after the poll, which this incarnation has
    // handled.
    const bool may_follow =
        run->has_single_start && worker.poll_sent_at < run->StartableUntil();
    if (may_follow && !runs_otherwise && !run->is_stopping) {
      continue;
    }
    if (run->HasOpenStart(now) && !runs_otherwise && !run->has_single_start &&
        RepeatStart(worker, key)) {
      continue;
    }
    // It reserves what it needs, so that room is left out of account.
    const ActiveJob* active = FindJob(key.task.job);
    const bool is_settled =
        active != nullptr && worker.IsListed() && !run->is_stopping &&
        !may_follow &&
        (runs_otherwise ||
         !MayRepeatOn(worker, *active, active->job.StepOf(key.task.key)));
    EndRun(
        worker, key,
        {run->is_stopping ? job::RunOutcome::kStopped : job::RunOutcome::kLost,
         "its worker does not list it", "", is_settled});
  }
}

}  // namespace crocusmast::scheduling
