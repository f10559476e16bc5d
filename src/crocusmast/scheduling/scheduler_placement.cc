#include <algorithm>
#include <iterator>
#include <utility>

#include "crocusmast/scheduling/placement_round.h"
#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Placement of tasks on workers.

namespace crocusmast::scheduling {
namespace internal {

void UpdateMinResources(ActiveJob& active) {
  active.min_resources.reset();
  active.job.ForEachReady([&](const job::TaskKey&, const job::Step& step) {
    const job::Resources required = MakeAssignedRun(step).resources;
    active.min_resources = active.min_resources
                               ? ComponentMin(*active.min_resources, required)
                               : required;
  });
}

}  // namespace internal

using execution::RunKey;
using execution::Worker;

core::Duration Scheduler::RemainingCriticalPath(const ActiveJob& active) const {
  const job::JobSpec& spec = active.job.Accepted().spec;
  std::vector<bool> is_pending(spec.steps.size(), false);
  for (const auto& [number, occurrence] : active.job.OpenOccurrences()) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      is_pending[step] = is_pending[step] || !occurrence.steps[step].IsDone();
    }
  }
  return PredictCriticalPath(active.job.Accepted(), is_pending);
}

core::Duration Scheduler::PredictCriticalPath(
    const job::AcceptedJob& job,
    const std::vector<bool>& is_pending) const {
  return job::CriticalPath(
      job.spec, is_pending, [this, &job](core::Duration estimate) {
        return m_run_time_estimator.Correct(job.queue, estimate);
      });
}

core::TimePoint Scheduler::OldestDueTime(const ActiveJob& active) const {
  const job::Schedule& schedule = active.job.Accepted().spec.schedule;
  const auto& open = active.job.OpenOccurrences();
  if (schedule.occurrence_count == 0 || open.empty()) {
    return active.accepted_at;
  }
  const core::WallTime due =
      schedule.first + open.begin()->first * schedule.interval;
  return m_ports.clock.Now() -
         std::max<core::Duration>(m_ports.clock.WallNow() - due,
                                  core::Duration::zero());
}

JobRank Scheduler::RankOf(const ActiveJob& active) const {
  JobUrgency urgency;
  urgency.priority = active.priority;
  urgency.is_long_running = active.job.Accepted().spec.HasLongRunningSteps();
  urgency.is_started = active.job.State() == job::JobState::kRunning;
  urgency.accepted_at = std::max(active.accepted_at, OldestDueTime(active));
  urgency.objective = active.deadline - active.accepted_at;
  urgency.remaining = RemainingCriticalPath(active);
  return JobRank::Of(urgency, m_ports.clock.Now());
}

void Scheduler::MarkForPlacement(ActiveJob& active) {
  active.may_have_ready_tasks = true;
  active.min_resources.reset();
  if (job::IsFinal(active.job.State())) {
    StopWaiting(active);
  } else {
    m_waiting_jobs[active.pool].Set(active, RankOf(active));
  }
  m_pools_to_place.insert(active.pool);
}

void Scheduler::StopWaiting(ActiveJob& active) {
  m_waiting_jobs[active.pool].Remove(active);
}

void Scheduler::PlaceTasks() {
  if (m_pools_to_place.empty() || !MayStartTasks()) {
    return;
  }
  for (const core::PoolId& pool : std::exchange(m_pools_to_place, {})) {
    PlaceTasksIn(pool);
  }
}

void Scheduler::PlaceTasksIn(const core::PoolId& pool) {
  const auto late_limit = m_late_limits.find(pool);
  PlacementRound round(m_free_capacity[pool],
                       late_limit == m_late_limits.end()
                           ? std::nullopt
                           : std::optional(late_limit->second));
  WaitingJobs& waiting = m_waiting_jobs[pool];
  waiting.Advance(m_ports.clock.Now(),
                  [this](const ActiveJob& job) { return RankOf(job); });
  std::vector<WaitingJobs::Entry> candidates;
  std::copy_if(waiting.Entries().begin(), waiting.Entries().end(),
               std::back_inserter(candidates),
               [&round](const WaitingJobs::Entry& entry) {
                 return round.MayPlace(entry);
               });
  for (const WaitingJobs::Entry& entry : candidates) {
    if (!round.MayPlace(entry)) {
      continue;
    }
    ActiveJob& active = *entry.job;
    if (!MayStartFiniteTasks(active) && entry.rank.is_finite) {
      continue;
    }
    round.timeliness = entry.rank.timeliness;
    PlaceJob(active, round);
    if (!active.may_have_ready_tasks || job::IsFinal(active.job.State())) {
      waiting.Remove(active);
    } else if (!entry.rank.is_started &&
               active.job.State() == job::JobState::kRunning) {
      waiting.Set(active, RankOf(active));
    } else {
      waiting.UpdateMinResources(active);
    }
  }
}

bool Scheduler::MayStartFiniteTasks(const ActiveJob& active) const {
  if (!active.is_inherited || m_inherited_workers.All().empty()) {
    return true;
  }
  const auto pools = active.job.Pools().List();
  return pools &&
         std::all_of(pools->begin(), pools->end(),
                     [this](const core::PoolId& pool) {
                       return m_inherited_workers.IsPoolReconciled(pool);
                     });
}

void Scheduler::SettleEarlierPlacements(ActiveJob& active) {
  job::EarlierPlacements& earlier = active.job.Earlier();
  bool is_changed = earlier.Settle([&](const job::TaskPlacement& placement) {
    return m_inherited_workers.MayStillRun(placement) ||
           MayStillStart(active, placement);
  });
  if (MayStartFiniteTasks(active)) {
    is_changed = earlier.SettleUnknown() || is_changed;
  }
  if (is_changed) {
    m_committer.MarkChanged(active.job.Id());
  }
}

void Scheduler::PlaceJob(ActiveJob& active, PlacementRound& round) {
  if (GiveUpExhaustedTask(active)) {
    return;
  }
  SettleEarlierPlacements(active);
  RepeatEarlierStarts(active);
  const job::EarlierPlacements& earlier = active.job.Earlier();
  const bool may_start_finite = MayStartFiniteTasks(active);
  std::vector<std::pair<job::TaskKey, const job::Step*>> ready;
  bool is_waiting = !earlier.AreSettled();
  active.job.ForEachReady([&](const job::TaskKey& key, const job::Step& step) {
    const bool may_start = step.is_long_running
                               ? !earlier.MayBeRunning(key)
                               : may_start_finite && !earlier.HasPlacement(key);
    if (may_start) {
      ready.emplace_back(key, &step);
    } else {
      is_waiting = true;
    }
  });
  const job::Step* blocked_step = nullptr;
  for (std::size_t next = 0; next < ready.size(); ++next) {
    const auto& [key, step] = ready[next];
    if (step == blocked_step) {
      if (step->is_long_running) {
        ReserveWorker(active, {active.job.Id(), key}, round);
      }
      continue;
    }
    if (step->is_gang) {
      std::vector<job::TaskKey> members;
      while (next < ready.size() && ready[next].second == step &&
             ready[next].first.occurrence == key.occurrence) {
        members.push_back(ready[next++].first);
      }
      --next;
      PlaceGang(active, members, *step, round);
      continue;
    }
    const job::TaskId task{active.job.Id(), key};
    Worker* worker = ChooseWorker(active, task, round);
    if (worker == nullptr) {
      // Other tasks of the step need not wait for that worker.
      blocked_step = WorkerOfOpenStart(active, task) ? nullptr : step;
      RequestTickets(active, task);
      if (step->is_long_running) {
        ReserveWorker(active, task, round);
      }
      continue;
    }
    StartTask(active, *worker, task, active.job.NextAttempt(key));
  }
  internal::UpdateMinResources(active);
  active.may_have_ready_tasks = active.min_resources || is_waiting;
  LogPlacements(active);
}

bool Scheduler::PlaceGang(ActiveJob& active,
                          const std::vector<job::TaskKey>& members,
                          const job::Step& step,
                          PlacementRound& round) {
  // Runs of an earlier attempt may not have ended yet.
  if (members.size() != step.count) {
    return false;
  }
  const core::Attempt attempt = active.job.NextAttempt(members.front());
  const std::size_t unavailable = round.unavailable.size();
  // Each member reserves its resources until all members have a worker, so
  // that two members are not given the same resources.
  std::vector<std::pair<Worker*, RunKey>> reserved;
  for (const job::TaskKey& key : members) {
    const job::TaskId task{active.job.Id(), key};
    Worker* worker = ChooseWorker(active, task, round);
    if (worker == nullptr) {
      break;
    }
    worker->Add({task, attempt}, MakeAssignedRun(step));
    reserved.emplace_back(worker, RunKey{task, attempt});
  }
  for (const auto& [worker, key] : reserved) {
    worker->Remove(key);
  }
  if (reserved.size() != members.size()) {
    // What the members had reserved is free again.
    round.unavailable.resize(unavailable);
    RequestTickets(active, {active.job.Id(), members.front()});
    return false;
  }
  for (const auto& [worker, key] : reserved) {
    StartTask(active, *worker, key.task, attempt);
  }
  return true;
}

void Scheduler::LogPlacements(const ActiveJob& active) {
  if (m_placement_log.IsEmpty()) {
    return;
  }
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      active.deadline - m_ports.clock.Now());
  Log(core::Severity::kInfo,
      "Placed tasks of job " + active.job.Id().Text() + " on workers.",
      {{"event", "tasks_placed"},
       {"job", active.job.Id().Text()},
       {"tasks", m_placement_log.Take()},
       {"left_ms", std::to_string(remaining.count())},
       {"view_age_ms", ViewAgeMs()},
       {"token", std::to_string(m_term.token.Count())}});
}

}  // namespace crocusmast::scheduling
