#include <algorithm>
#include <tuple>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Placement of tasks on workers.

namespace crocusmast::scheduling {

using execution::RunKey;
using execution::Worker;

/** @brief A job with tasks to place, ordered by priority and deadline;
 * long-running ones come first, late ones last. */
struct Scheduler::Candidate {
  ActiveJob* active = nullptr;
  bool is_finite = true;
  bool is_late = false;

  friend bool operator<(const Candidate& left, const Candidate& right) {
    return std::tie(left.active->priority, left.is_finite, left.is_late,
                    left.active->deadline) <
           std::tie(right.active->priority, right.is_finite, right.is_late,
                    right.active->deadline);
  }
};

core::Duration Scheduler::RemainingCriticalPath(ActiveJob& active) const {
  if (!active.remaining_critical_path) {
    const job::JobSpec& spec = active.job.Accepted().spec;
    std::vector<bool> is_pending(spec.steps.size(), false);
    for (const auto& [number, occurrence] : active.job.OpenOccurrences()) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        is_pending[step] = is_pending[step] || !occurrence.steps[step].IsDone();
      }
    }
    active.remaining_critical_path = m_run_time_estimator.Correct(
        active.job.Accepted().queue, job::CriticalPath(spec, is_pending));
  }
  return *active.remaining_critical_path;
}

job::Resources Scheduler::MaxFreeResources(const core::PoolId& pool) {
  job::Resources max_free;
  for (const Worker* worker : m_workers_by_pool[pool]) {
    if (IsUsable(*worker)) {
      const job::Resources free = worker->FreeResources();
      max_free.processor = std::max(max_free.processor, free.processor);
      max_free.memory = std::max(max_free.memory, free.memory);
      max_free.accelerators =
          std::max(max_free.accelerators, free.accelerators);
    }
  }
  return max_free;
}

void Scheduler::AddCandidates(const core::PoolId& pool,
                              std::vector<Candidate>& candidates) {
  const core::TimePoint now = m_ports.clock.Now();
  const job::Resources max_free = MaxFreeResources(pool);
  for (ActiveJob* active : m_jobs_by_pool[pool]) {
    const bool is_finite = !active->job.Accepted().spec.HasLongRunningSteps();
    // A worker may be reserved for a long-running task that fits nowhere.
    const bool may_fit = active->may_have_ready_tasks &&
                         !job::IsFinal(active->job.State()) &&
                         (!is_finite || !active->min_resources ||
                          max_free.CanFit(*active->min_resources));
    if (may_fit) {
      const bool is_late =
          active->deadline < now + RemainingCriticalPath(*active);
      candidates.push_back({active, is_finite, is_late});
    }
  }
}

std::vector<Scheduler::Candidate> Scheduler::SortedCandidates() {
  std::vector<Candidate> candidates;
  for (const core::PoolId& pool : m_pools_to_place) {
    AddCandidates(pool, candidates);
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

void Scheduler::PlaceTasks() {
  if (m_pools_to_place.empty() || !MayStartTasks()) {
    return;
  }
  m_reserved_workers.clear();
  for (const Candidate& candidate : SortedCandidates()) {
    ActiveJob& active = *candidate.active;
    if (MayStartFiniteTasks(active) ||
        active.job.Accepted().spec.HasLongRunningSteps()) {
      PlaceJob(active);
    }
  }
  m_pools_to_place.clear();
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
  bool is_changed = earlier.Settle([this](const job::TaskPlacement& placement) {
    return m_inherited_workers.MayStillRun(placement);
  });
  if (MayStartFiniteTasks(active)) {
    is_changed = earlier.SettleUnknown() || is_changed;
  }
  if (is_changed) {
    m_committer.MarkChanged(active.job.Id());
  }
}

void Scheduler::PlaceJob(ActiveJob& active) {
  if (GiveUpExhaustedTask(active)) {
    return;
  }
  SettleEarlierPlacements(active);
  const job::EarlierPlacements& earlier = active.job.Earlier();
  const bool may_start_finite = MayStartFiniteTasks(active);
  std::vector<std::pair<job::TaskKey, const job::Step*>> ready;
  bool is_waiting = !earlier.AreSettled();
  active.job.ForEachReady([&](const job::TaskKey& key, const job::Step& step) {
    if (step.is_long_running ? !earlier.MayBeRunning(key) : may_start_finite) {
      ready.emplace_back(key, &step);
    } else {
      is_waiting = true;
    }
  });
  active.may_have_ready_tasks = !ready.empty() || is_waiting;
  const job::Step* blocked_step = nullptr;
  for (std::size_t next = 0; next < ready.size(); ++next) {
    const auto& [key, step] = ready[next];
    if (step == blocked_step) {
      if (step->is_long_running) {
        ReserveWorker(active, {active.job.Id(), key}, *step);
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
      PlaceGang(active, members, *step);
      continue;
    }
    const job::TaskId task{active.job.Id(), key};
    Worker* worker = ChooseWorker(active, task, *step);
    if (worker == nullptr) {
      blocked_step = step;
      RequestTickets(active, task, *step);
      if (step->is_long_running) {
        ReserveWorker(active, task, *step);
      }
      continue;
    }
    StartTask(active, *worker, task, active.job.NextAttempt(key));
  }
  UpdateMinResources(active);
  LogPlacements(active);
}

void Scheduler::UpdateMinResources(ActiveJob& active) {
  active.min_resources.reset();
  active.job.ForEachReady([&](const job::TaskKey&, const job::Step& step) {
    const job::Resources required = MakeAssignedRun(step).resources;
    if (!active.min_resources) {
      active.min_resources = required;
    }
    job::Resources& minimum = *active.min_resources;
    minimum.processor = std::min(minimum.processor, required.processor);
    minimum.memory = std::min(minimum.memory, required.memory);
    minimum.accelerators =
        std::min(minimum.accelerators, required.accelerators);
  });
}

bool Scheduler::PlaceGang(ActiveJob& active,
                          const std::vector<job::TaskKey>& members,
                          const job::Step& step) {
  // Runs of an earlier attempt may not have ended yet.
  if (members.size() != step.count) {
    return false;
  }
  const core::Attempt attempt = active.job.NextAttempt(members.front());
  // Each member reserves its resources until all members have a worker, so
  // that two members are not given the same resources.
  std::vector<std::pair<Worker*, RunKey>> reserved;
  for (const job::TaskKey& key : members) {
    const job::TaskId task{active.job.Id(), key};
    Worker* worker = ChooseWorker(active, task, step);
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
    RequestTickets(active, {active.job.Id(), members.front()}, step);
    return false;
  }
  for (const auto& [worker, key] : reserved) {
    StartTask(active, *worker, key.task, attempt);
  }
  return true;
}

void Scheduler::RecordPlacement(const job::TaskId& task,
                                core::Attempt attempt,
                                const Worker& worker) {
  if (!m_placements.empty()) {
    m_placements += ' ';
  }
  m_placements += Describe(task.key) + '#' + std::to_string(attempt.Count()) +
                  '@' + worker.Record().id.Text() + '/' +
                  std::to_string(worker.FreeResources().processor.Count());
}

void Scheduler::LogPlacements(const ActiveJob& active) {
  if (m_placements.empty()) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      active.deadline - now);
  Log(core::Severity::kInfo,
      "Placed tasks of job " + active.job.Id().Text() + " on workers.",
      {{"event", "tasks_placed"},
       {"job", active.job.Id().Text()},
       {"tasks", std::exchange(m_placements, {})},
       {"left_ms", std::to_string(remaining.count())},
       {"view_age_ms", ViewAgeMs()},
       {"token", std::to_string(m_term.token.Count())}});
}

}  // namespace crocusmast::scheduling
