#include "crocusmast/scheduling/open_starts.h"

#include <algorithm>
#include <iterator>

namespace crocusmast::scheduling {
namespace internal {

std::chrono::milliseconds Remaining(core::TimePoint until,
                                    core::TimePoint now) {
  // Rounded up, so that no successor waits for too short a time.
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::max(until - now, core::Duration::zero()));
}

}  // namespace internal

OpenStart OpenStart::Of(const core::InstanceId& worker,
                        const execution::RunKey& key,
                        const execution::AssignedRun& run,
                        std::chrono::milliseconds max_lease) {
  const core::TimePoint until = run.StartableUntil();
  // A held run may be waited for less long, as its machine ran nothing.
  const bool is_held = run.held_until != core::TimePoint();
  return {
      worker, key, until,
      is_held ? run.held_until : until + execution::WithClockDrift(max_lease)};
}

core::TimePoint OpenStart::BlocksUntil(const execution::Worker* known) const {
  // A poll that was sent once the start could not be executed any more lists
  // what it began.
  const bool is_observed = known != nullptr && until <= known->runs_known_at;
  return is_observed ? until : std::max(until, settled_at);
}

OpenStarts OpenStarts::Restore(const job::HandoverState& stored,
                               core::TimePoint ended_at) {
  OpenStarts starts;
  starts.m_are_earlier_known = stored.has_all_open_starts;
  for (const job::OpenStart& start : stored.open_starts) {
    starts.Add({start.worker,
                {start.task, start.attempt},
                ended_at + start.executable_for,
                ended_at + start.settled_in});
  }
  return starts;
}

void OpenStarts::Add(const OpenStart& start) {
  StartsOfWorker& starts = m_by_worker[start.worker];
  const auto [known, is_new] = starts.emplace(start.key, start);
  if (!is_new) {
    known->second.until = std::max(known->second.until, start.until);
    known->second.settled_at =
        std::max(known->second.settled_at, start.settled_at);
    return;
  }
  m_workers_by_task[start.key.task].insert(start.worker);
  if (kMaxOpenStarts < starts.size()) {
    const auto oldest = std::min_element(
        starts.begin(), starts.end(), [](const auto& left, const auto& right) {
          return left.second.until < right.second.until;
        });
    const OpenStart removed = oldest->second;
    starts.erase(oldest);
    RemoveFromIndex(removed);
  }
}

std::map<core::InstanceId, job::TaskId> OpenStarts::Workers(
    core::TimePoint now) const {
  std::map<core::InstanceId, job::TaskId> workers;
  for (const auto& [worker, starts] : m_by_worker) {
    for (const auto& [key, start] : starts) {
      if (now < std::max(start.until, start.settled_at)) {
        workers.emplace(worker, key.task);
        break;
      }
    }
  }
  return workers;
}

const OpenStart* OpenStarts::Find(const core::InstanceId& worker,
                                  const execution::RunKey& key) const {
  const auto starts = m_by_worker.find(worker);
  if (starts == m_by_worker.end()) {
    return nullptr;
  }
  const auto found = starts->second.find(key);
  return found == starts->second.end() ? nullptr : &found->second;
}

std::vector<OpenStart> OpenStarts::OfWorker(const core::InstanceId& worker,
                                            core::TimePoint now) const {
  std::vector<OpenStart> open;
  const auto starts = m_by_worker.find(worker);
  if (starts == m_by_worker.end()) {
    return open;
  }
  for (const auto& [key, start] : starts->second) {
    if (now < start.until) {
      open.push_back(start);
    }
  }
  return open;
}

std::vector<OpenStart> OpenStarts::OfTask(const job::TaskId& task) const {
  std::vector<OpenStart> open;
  const auto workers = m_workers_by_task.find(task);
  if (workers == m_workers_by_task.end()) {
    return open;
  }
  for (const core::InstanceId& worker : workers->second) {
    const StartsOfWorker& starts = m_by_worker.at(worker);
    for (auto next = starts.lower_bound({task, core::Attempt(0)});
         next != starts.end() && next->first.task == task; ++next) {
      open.push_back(next->second);
    }
  }
  return open;
}

bool OpenStarts::HasUnobserved(const core::InstanceId& worker,
                               core::TimePoint runs_known_at,
                               core::TimePoint now) const {
  const auto starts = m_by_worker.find(worker);
  return starts != m_by_worker.end() &&
         std::any_of(starts->second.begin(), starts->second.end(),
                     [&](const auto& entry) {
                       const core::TimePoint until = entry.second.until;
                       return runs_known_at < until && until <= now;
                     });
}

bool OpenStarts::Remove(const core::InstanceId& worker,
                        const execution::RunKey& key) {
  const auto starts = m_by_worker.find(worker);
  const auto found = starts == m_by_worker.end() ? StartsOfWorker::iterator()
                                                 : starts->second.find(key);
  if (starts == m_by_worker.end() || found == starts->second.end()) {
    return false;
  }
  const OpenStart removed = found->second;
  starts->second.erase(found);
  RemoveFromIndex(removed);
  if (starts->second.empty()) {
    m_by_worker.erase(starts);
  }
  return true;
}

void OpenStarts::HandleReplacement(const core::InstanceId& worker,
                                   core::TimePoint now) {
  const auto starts = m_by_worker.find(worker);
  if (starts == m_by_worker.end()) {
    return;
  }
  for (auto& [key, start] : starts->second) {
    start.until = std::min(start.until, now);
    start.settled_at = std::min(start.settled_at, now);
  }
}

bool OpenStarts::HandleAbsence(const core::InstanceId& worker,
                               const execution::Absence& absence,
                               core::Duration max_lease) {
  const auto starts = m_by_worker.find(worker);
  if (starts == m_by_worker.end()) {
    return false;
  }
  bool is_shortened = false;
  for (auto& [key, start] : starts->second) {
    const core::TimePoint sent_at = start.until - execution::kMaxCommandDelay;
    if (absence.at < sent_at) {
      continue;
    }
    const core::TimePoint ended_at =
        absence.is_final ? absence.at : sent_at + max_lease;
    core::TimePoint& last = absence.is_final ? start.until : start.settled_at;
    if (ended_at < last) {
      last = ended_at;
      start.settled_at = std::min(start.settled_at, ended_at);
      is_shortened = true;
    }
  }
  return is_shortened;
}

void OpenStarts::HandleLaterIncarnation(const core::InstanceId& worker,
                                        core::Duration max_lease) {
  const auto starts = m_by_worker.find(worker);
  if (starts == m_by_worker.end()) {
    return;
  }
  for (auto& [key, start] : starts->second) {
    start.settled_at = std::max(start.settled_at, start.until + max_lease);
  }
}

void OpenStarts::RemoveSettled(core::TimePoint now) {
  for (auto worker = m_by_worker.begin(); worker != m_by_worker.end();) {
    StartsOfWorker& starts = worker->second;
    for (auto next = starts.begin(); next != starts.end();) {
      if (now < std::max(next->second.until, next->second.settled_at)) {
        ++next;
        continue;
      }
      const OpenStart removed = next->second;
      next = starts.erase(next);
      RemoveFromIndex(removed);
    }
    worker = starts.empty() ? m_by_worker.erase(worker) : std::next(worker);
  }
}

void OpenStarts::AppendTo(core::TimePoint now,
                          std::vector<job::OpenStart>& starts) const {
  for (const auto& [worker, of_worker] : m_by_worker) {
    for (const auto& [key, start] : of_worker) {
      starts.push_back({key.task, key.attempt, worker,
                        internal::Remaining(start.until, now),
                        internal::Remaining(start.settled_at, now)});
    }
  }
}

// Called after the start was removed from those of its worker.
void OpenStarts::RemoveFromIndex(const OpenStart& start) {
  const StartsOfWorker& starts = m_by_worker.at(start.worker);
  const auto other = starts.lower_bound({start.key.task, core::Attempt(0)});
  if (other != starts.end() && other->first.task == start.key.task) {
    return;
  }
  const auto workers = m_workers_by_task.find(start.key.task);
  workers->second.erase(start.worker);
  if (workers->second.empty()) {
    m_workers_by_task.erase(workers);
  }
}

}  // namespace crocusmast::scheduling
