#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Answers of workers.

namespace crocusmast::scheduling {
namespace internal {

/** @brief A tail above this share of its target slows fillers down. */
constexpr std::int64_t kTailHighPercent = 80;
/** @brief A tail below this share of its target lets fillers go on. */
constexpr std::int64_t kTailLowPercent = 55;
/** @brief How much faster fillers may work after each calm look, per cent. */
constexpr std::uint64_t kPaceStep = 10;
/** @brief Fillers that would work slower than this stand still, per cent. */
constexpr std::uint64_t kLeastPace = 15;
constexpr std::uint64_t kFullPace = 100;

std::vector<execution::RunKey> KeysOf(const execution::Worker& worker) {
  std::vector<execution::RunKey> keys;
  keys.reserve(worker.Runs().size());
  for (const auto& [key, run] : worker.Runs()) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace internal

using execution::CallOutcome;
using execution::HeldRun;
using execution::RunKey;
using execution::Worker;

void Scheduler::EndLife(Worker& worker, const char* evidence) {
  const core::InstanceId& id = worker.Record().id;
  if (!worker.Runs().empty()) {
    Log(core::Severity::kWarning,
        "Worker " + id.Text() + " runs nothing any more: " + evidence + ".",
        {{"event", "worker_lost"},
         {"worker", id.Text()},
         {"evidence", evidence},
         {"runs", std::to_string(worker.Runs().size())}});
  }
  for (const RunKey& key : internal::KeysOf(worker)) {
    EndRun(worker, key, job::RunEnd::kLost, "");
  }
  Settle(id, evidence);
}

void Scheduler::EndRun(Worker& worker,
                       const RunKey& key,
                       job::RunEnd end,
                       const std::string& checkpoint) {
  worker.Remove(key);
  m_open_pools.insert(worker.Record().pool);
  ActiveJob* active = FindJob(key.task.job);
  if (active == nullptr) {
    return;
  }
  const job::Task* task = active->job.Find(key.task.key);
  if (end == job::RunEnd::kDone && task != nullptr) {
    for (const job::Run& run : task->runs) {
      if (run.attempt == key.attempt) {
        m_run_times.Observe(active->job.Accepted().queue,
                            active->job.StepOf(key.task.key).estimate,
                            m_ports.clock.Now() - run.ordered_at);
      }
    }
  }
  const bool is_changed = active->job.EndRun(key.task.key, key.attempt, end,
                                             checkpoint, active->max_attempts);
  active->may_be_ready = true;
  m_open_pools.insert(active->pool);
  if (is_changed) {
    m_committer.MarkChanged(key.task.job);
  }
  Log(core::Severity::kInfo,
      "Task " + Describe(key.task) + " ended on " + worker.Record().id.Text() +
          ": " + std::string(job::EndName(end)) + ".",
      {{"event", "task_ended"},
       {"job", key.task.job.Text()},
       {"task", Describe(key.task)},
       {"attempt", std::to_string(key.attempt.Count())},
       {"worker", worker.Record().id.Text()},
       {"end", std::string(job::EndName(end))},
       {"state", std::string(job::StateName(active->job.State()))}});
  if (job::IsFinal(active->job.State())) {
    StopAll(*active);
    return;
  }
  // Copies of a task that is done are not needed any more.
  task = active->job.Find(key.task.key);
  if (task != nullptr && task->is_done) {
    for (const job::Run& run : std::vector<job::Run>(task->runs)) {
      if (Worker* other = FindWorker(run.worker); other != nullptr) {
        SendStop(*other, {key.task, run.attempt});
      }
    }
  }
}

void Scheduler::StopAll(ActiveJob& active) {
  for (const auto& [id, worker] : m_workers) {
    for (const RunKey& key : internal::KeysOf(*worker)) {
      if (key.task.job == active.job.Id()) {
        SendStop(*worker, key);
      }
    }
  }
}

void Scheduler::SendStop(Worker& worker, const RunKey& key) {
  HeldRun* run = worker.Find(key);
  if (run == nullptr || run->is_stop_taken ||
      (run->is_stopping && run->is_asked)) {
    return;
  }
  run->is_stopping = true;
  run->is_asked = true;
  run->ordered_at = m_ports.clock.Now();
  if (ActiveJob* active = FindJob(key.task.job); active != nullptr) {
    active->job.StopRun(key.task.key, key.attempt);
  }
  m_ports.workers.Stop({Address(worker), key.task, key.attempt});
}

void Scheduler::HandleStart(const execution::CallReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  if (!m_is_active || worker == nullptr ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  if (reply.clock) {
    worker->ReadClock(*reply.clock, m_ports.clock.Now());
  }
  const RunKey key{reply.task, reply.attempt};
  HeldRun* run = worker->Find(key);
  if (run == nullptr) {
    return;
  }
  if (!run->is_stopping) {
    run->is_asked = false;
  }
  switch (reply.outcome) {
    case CallOutcome::kDone:
      run->is_confirmed = true;
      run->confirmed_after = worker->look_sequence;
      break;
    case CallOutcome::kFenced:
      m_was_fenced = true;
      break;
    case CallOutcome::kOtherIncarnation:
      EndLife(*worker, "another worker has its address");
      worker->Unlist();
      break;
    case CallOutcome::kUnknown:
      run->is_uncertain = true;
      break;
    default:
      Reject(*worker, key, reply);
      break;
  }
}

void Scheduler::Reject(Worker& worker,
                       const RunKey& key,
                       const execution::CallReply& reply) {
  Log(core::Severity::kInfo,
      "Worker " + reply.worker.Text() + " did not start " +
          Describe(reply.task) + ": " +
          std::string(OutcomeName(reply.outcome)) + ".",
      {{"event", "start_rejected"},
       {"job", reply.task.job.Text()},
       {"task", Describe(reply.task)},
       {"attempt", std::to_string(reply.attempt.Count())},
       {"worker", reply.worker.Text()},
       {"outcome", std::string(OutcomeName(reply.outcome))}});
  if (reply.outcome == CallOutcome::kBadTicket) {
    m_tickets.Drop(StepId::Of(reply.task), reply.worker);
  } else {
    worker.avoided_until = m_ports.clock.Now() + kAvoidance;
  }
  if (worker.Find(key)->is_uncertain) {
    // An earlier order of this attempt may still be carried out.
    SendStop(worker, key);
    return;
  }
  EndRun(worker, key, job::RunEnd::kRejected, "");
}

void Scheduler::HandleStop(const execution::CallReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  if (!m_is_active || worker == nullptr ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  if (reply.clock) {
    worker->ReadClock(*reply.clock, m_ports.clock.Now());
  }
  HeldRun* run = worker->Find({reply.task, reply.attempt});
  if (reply.outcome == CallOutcome::kOtherIncarnation) {
    EndLife(*worker, "another worker has its address");
    worker->Unlist();
    return;
  }
  m_was_fenced = m_was_fenced || reply.outcome == CallOutcome::kFenced;
  if (run == nullptr) {
    return;
  }
  run->is_asked = false;
  if (reply.outcome == CallOutcome::kDone) {
    run->is_stop_taken = true;
    run->is_confirmed = true;
    run->confirmed_after = worker->look_sequence;
  }
}

void Scheduler::Handle(const execution::LookReply& reply) {
  Worker* worker = FindWorker(reply.worker);
  if (!m_is_active || worker == nullptr || !worker->is_looking ||
      worker->look_sequence != reply.sequence ||
      worker->Record().incarnation != reply.incarnation) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  worker->is_looking = false;
  if (reply.outcome == CallOutcome::kFenced) {
    m_was_fenced = true;
    return;
  }
  const bool is_other_life =
      reply.outcome == CallOutcome::kOtherIncarnation ||
      (reply.answered_by && *reply.answered_by != reply.incarnation);
  if (is_other_life) {
    EndLife(*worker, "another life answered at its address");
    worker->Unlist();
    return;
  }
  if (reply.outcome != CallOutcome::kDone) {
    ++worker->failed_looks;
    worker->look_not_before = now + kLookRetry;
    worker->avoided_until = now + kAvoidance;
    if (worker->failed_looks == 1) {
      Log(core::Severity::kWarning,
          "Worker " + reply.worker.Text() + " did not answer a look: " +
              std::string(OutcomeName(reply.outcome)) + ".",
          {{"event", "worker_silent"}, {"worker", reply.worker.Text()}});
    }
    return;
  }
  if (worker->failed_looks > 0) {
    Log(core::Severity::kInfo,
        "Worker " + reply.worker.Text() + " answers again.",
        {{"event", "worker_answers"}, {"worker", reply.worker.Text()}});
  }
  worker->failed_looks = 0;
  worker->acknowledged = worker->acknowledging;
  worker->look_not_before = now;
  if (reply.clock) {
    worker->ReadClock(*reply.clock, now);
  }
  TakeEnds(*worker, reply);
  TakeRuns(*worker, reply);
  DropAbsent(*worker, reply);
  PaceFillers(*worker, reply);
  if (!worker->is_adopted) {
    worker->is_adopted = true;
    Settle(reply.worker, "it was looked at");
  }
}

void Scheduler::TakeEnds(Worker& worker, const execution::LookReply& reply) {
  const core::EndNumber before = worker.taken;
  for (const execution::EndReport& end : reply.ended) {
    if (!(worker.taken < end.number)) {
      continue;
    }
    worker.taken = end.number;
    ScoreEnd(worker, end.end);
    EndRun(worker, {end.task, end.attempt}, end.end, end.checkpoint);
  }
  if (worker.taken == before) {
    if (worker.recorded < worker.taken) {
      worker.look_not_before = m_ports.clock.Now() + kUnrecordedPause;
    }
    return;
  }
  if (m_committer.HasPending()) {
    m_committer.AddEnds(worker.Record().id, worker.taken);
    worker.look_not_before = m_ports.clock.Now() + kUnrecordedPause;
  } else {
    worker.recorded = worker.taken;
  }
}

void Scheduler::ScoreEnd(Worker& worker, job::RunEnd end) {
  if (end == job::RunEnd::kDone) {
    worker.failed_runs = 0;
  }
  if (end != job::RunEnd::kFailed) {
    return;
  }
  ++worker.failed_runs;
  if (worker.failed_runs >= kFailuresToAvoid) {
    worker.avoided_until =
        m_ports.clock.Now() + kFailureAvoidance * worker.failed_runs;
    Log(core::Severity::kWarning,
        "Worker " + worker.Record().id.Text() + " is avoided: " +
            std::to_string(worker.failed_runs) + " runs in a row failed.",
        {{"event", "worker_avoided"},
         {"worker", worker.Record().id.Text()},
         {"failed", std::to_string(worker.failed_runs)}});
  }
}

void Scheduler::TakeRuns(Worker& worker, const execution::LookReply& reply) {
  const core::TimePoint now = m_ports.clock.Now();
  for (const execution::RunReport& report : reply.running) {
    const RunKey key{report.task, report.attempt};
    HeldRun* run = worker.Find(key);
    if (run == nullptr) {
      Adopt(worker, report);
    } else if (!run->is_confirmed) {
      run->is_confirmed = true;
      run->confirmed_after = reply.sequence;
    }
    if (ActiveJob* active = FindJob(report.task.job); active != nullptr) {
      active->job.ReportRun(report.task.key, report.attempt, report.percent,
                            report.checkpoint, now);
    }
  }
}

void Scheduler::Adopt(Worker& worker, const execution::RunReport& report) {
  const RunKey key{report.task, report.attempt};
  ActiveJob* active = FindJob(report.task.job);
  const job::Task* task =
      active == nullptr ? nullptr : active->job.Find(report.task.key);
  HeldRun run;
  if (task != nullptr) {
    run = Hold(active->job.StepOf(report.task.key));
  }
  run.is_confirmed = true;
  run.confirmed_after = worker.look_sequence;
  run.ordered_at = m_ports.clock.Now();
  const bool is_wanted =
      task != nullptr && !job::IsFinal(active->job.State()) && !task->is_done &&
      (task->runs.empty() || active->job.StepOf(report.task.key).speculative);
  worker.Add(key, run);
  Log(core::Severity::kInfo,
      "Task " + Describe(report.task) + " was found running on " +
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
  job::Run begun;
  begun.worker = worker.Record().id;
  begun.attempt = report.attempt;
  begun.ordered_at = m_ports.clock.Now();
  active->job.BeginRun(report.task.key, std::move(begun));
}

void Scheduler::DropAbsent(Worker& worker, const execution::LookReply& reply) {
  for (const RunKey& key : internal::KeysOf(worker)) {
    const HeldRun* run = worker.Find(key);
    if (!run->is_confirmed || run->confirmed_after >= reply.sequence) {
      continue;
    }
    const bool is_named = std::any_of(
        reply.running.begin(), reply.running.end(),
        [&key](const execution::RunReport& report) {
          return report.attempt == key.attempt && report.task == key.task;
        });
    if (!is_named) {
      EndRun(worker, key,
             run->is_stopping ? job::RunEnd::kStopped : job::RunEnd::kLost, "");
    }
  }
}

void Scheduler::PaceFillers(Worker& worker, const execution::LookReply& reply) {
  bool is_over = false;
  bool is_calm = true;
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
    is_over =
        is_over || report.tail * 100 > target * internal::kTailHighPercent;
    is_calm = is_calm && report.tail * 100 < target * internal::kTailLowPercent;
  }
  const std::uint64_t before = worker.filler_share.Count();
  std::uint64_t share = before;
  if (is_over) {
    share = before / 2 < internal::kLeastPace ? 0 : before / 2;
  } else if (is_calm) {
    share = std::min(internal::kFullPace, before + internal::kPaceStep);
  }
  worker.filler_share = core::Percent(share);
  if (share == before && share == internal::kFullPace) {
    return;
  }
  for (const auto& [key, run] : worker.Runs()) {
    if (run.is_filler && !run.is_stopping &&
        (share != before || !run.is_paced)) {
      worker.Find(key)->is_paced = true;
      m_ports.workers.Pace(
          {Address(worker), key.task, key.attempt, worker.filler_share});
    }
  }
}

void Scheduler::Retry() {
  const core::TimePoint now = m_ports.clock.Now();
  for (const auto& [id, worker] : m_workers) {
    for (const RunKey& key : internal::KeysOf(*worker)) {
      const HeldRun* run = worker->Find(key);
      if (run == nullptr || run->is_asked || run->is_stop_taken) {
        continue;
      }
      if (run->is_stopping) {
        if (run->ordered_at + kStopRetry <= now) {
          SendStop(*worker, key);
        }
        continue;
      }
      if (run->is_confirmed || !run->is_uncertain) {
        continue;
      }
      const ActiveJob* active = FindJob(key.task.job);
      const bool may_start =
          active != nullptr && !job::IsFinal(active->job.State()) &&
          worker->IsListed() && !worker->Record().is_draining;
      if (may_start) {
        SendStart(*worker, key);
      } else {
        SendStop(*worker, key);
      }
    }
  }
}

}  // namespace crocusmast::scheduling
