#include "crocusmast/execution/worker.h"

#include <algorithm>
#include <utility>

namespace crocusmast::execution {

core::Duration WithClockDrift(core::Duration time) {
  return time * (100 + kMaxClockDriftPercent + 1) / 100;
}

Worker::Worker(WorkerRecord record, core::TimePoint now) {
  BeginIncarnation(std::move(record), now);
}

void Worker::BeginIncarnation(WorkerRecord record, core::TimePoint now) {
  m_record = std::move(record);
  m_joined_at = now;
  m_is_listed = true;
  m_clock = m_record.clock;
  m_clock_read_at = now;
  m_alive_at = WorkerTime();
  m_lease_until = WorkerTime();
  m_token = {};
  bool has_held_runs = false;
  for (const RunKey& key : Keys()) {
    AssignedRun& run = m_runs.at(key);
    if (!run.is_held) {
      Remove(key);
      continue;
    }
    has_held_runs = true;
    if (run.has_start_in_flight) {
      run.AddUnansweredStart();
    }
    // Replies to commands that were sent to the earlier incarnation don't count
    // any more.
    run.has_start_in_flight = false;
    run.is_command_pending = false;
    run.is_stop_acknowledged = false;
  }
  if (!has_held_runs) {
    m_lease_expires_at = core::TimePoint();
  }
  recorded_end = {};
  received_end = {};
  acknowledged_end = {};
  acknowledging_end = {};
  next_poll_at = {};
  best_effort_share = core::Percent(100);
  is_poll_pending = false;
  runs_known_at = {};
  ++poll_sequence;
  has_unlisted_ends = false;
  is_reconciled = false;
  is_recorded_in_store = false;
  backoff_until = {};
  failed_polls = 0;
  is_lease_frozen = false;
  failed_runs = 0;
  is_cordoned = false;
}

bool Worker::Update(WorkerRecord record, core::TimePoint now) {
  if (record.incarnation < m_record.incarnation) {
    return false;
  }
  if (m_record.incarnation < record.incarnation) {
    BeginIncarnation(std::move(record), now);
    return true;
  }
  m_is_listed = true;
  if (record.clock < m_record.clock) {
    return false;
  }
  m_record = std::move(record);
  // The record may be stale when it is read, so it only moves the clock
  // forward.
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - m_clock_read_at);
  if (m_clock + since < m_record.clock) {
    m_clock = m_record.clock;
    m_clock_read_at = now;
  }
  return false;
}

void Worker::UpdateClock(WorkerTime clock, core::TimePoint now) {
  m_clock = clock;
  m_clock_read_at = now;
  m_alive_at = std::max(m_alive_at, clock);
}

void Worker::AdvanceClock(WorkerTime clock, core::TimePoint now) {
  if (!(clock < std::max(m_alive_at, m_record.clock))) {
    UpdateClock(clock, now);
  }
}

WorkerTime Worker::ExtendLease(std::chrono::milliseconds length,
                               core::TimePoint now) {
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - m_clock_read_at);
  m_lease_requested_at = now;
  const WorkerTime until = m_clock + since + length;
  if (m_lease_until < until) {
    m_lease_until = until;
  }
  // The worker's clock showed at least m_clock when it was read.
  const core::TimePoint expires_at =
      m_clock_read_at + WithClockDrift(m_lease_until - m_clock);
  m_lease_expires_at = std::max(m_lease_expires_at, expires_at);
  return m_lease_until;
}

job::Resources Worker::FreeResources() const {
  return m_whole_worker_runs > 0 ? job::Resources()
                                 : m_record.capacity - m_used;
}

bool Worker::CanFit(const job::Resources& required) const {
  return m_whole_worker_runs == 0 &&
         m_record.capacity.CanFit(m_used + required);
}

job::Resources Worker::FreeWithoutFiniteRuns() const {
  return m_whole_worker_runs > 0 ? job::Resources()
                                 : m_record.capacity - m_used_by_long_running;
}

bool Worker::IsOverCapacity() const {
  const bool is_shared = m_whole_worker_runs > 0 && m_runs.size() > 1;
  return is_shared || !m_record.capacity.CanFit(m_used);
}

void Worker::Add(const RunKey& key, const AssignedRun& run) {
  m_may_have_held_runs = m_may_have_held_runs || run.is_held;
  if (m_runs.emplace(key, run).second) {
    m_used = m_used + run.resources;
    if (run.is_long_running) {
      m_used_by_long_running = m_used_by_long_running + run.resources;
    }
    m_whole_worker_runs += run.reserves_whole_worker ? 1 : 0;
  }
}

AssignedRun* Worker::Find(const RunKey& key) {
  const auto found = m_runs.find(key);
  return found == m_runs.end() ? nullptr : &found->second;
}

bool Worker::Remove(const RunKey& key) {
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) {
    return false;
  }
  m_used = m_used - found->second.resources;
  if (found->second.is_long_running) {
    m_used_by_long_running = m_used_by_long_running - found->second.resources;
  }
  m_whole_worker_runs -= found->second.reserves_whole_worker ? 1 : 0;
  m_runs.erase(found);
  return true;
}

void Worker::SetToken(core::FencingToken token) {
  if (!IsAddressable()) {
    m_token = token;
  }
}

CommandDestination Worker::Address(core::TimePoint now) {
  m_addressed_at = now;
  return {m_record.id, m_record.incarnation, m_record.address, m_token};
}

std::vector<RunKey> Worker::HoldRuns(core::TimePoint now,
                                     std::chrono::milliseconds max_lease,
                                     const std::optional<Absence>& absence) {
  std::vector<RunKey> ended;
  for (auto& [key, run] : m_runs) {
    if (run.is_held && !absence) {
      continue;
    }
    const core::TimePoint last_lease_at =
        std::max(run.confirmed_at, m_lease_requested_at);
    const bool may_be_active = run.IsOnUnknownIncarnation() &&
                               (!absence || absence->at < run.confirmed_at);
    run.held_until = {};
    if (run.HasOpenStart(now)) {
      // Where no incarnation existed after the command was sent, only one that
      // started even later could execute it: longer than the lease is not
      // waited for that, or than the command may take if the task must not run
      // twice.
      const core::TimePoint lease_begins_by =
          absence ? run.start_sent_at : run.StartableUntil();
      run.held_until = lease_begins_by + WithClockDrift(max_lease);
      if (run.has_single_start && !(absence && absence->is_final)) {
        run.held_until = std::max(run.held_until, run.StartableUntil());
      }
    }
    if (may_be_active) {
      run.held_until =
          std::max(run.held_until, last_lease_at + WithClockDrift(max_lease));
    }
    run.is_held = now < run.held_until;
    m_may_have_held_runs = m_may_have_held_runs || run.is_held;
    if (!run.is_held) {
      ended.push_back(key);
    }
  }
  return ended;
}

void Worker::HoldRun(const RunKey& key, std::chrono::milliseconds max_lease) {
  AssignedRun& run = m_runs.at(key);
  m_may_have_held_runs = true;
  run.is_held = true;
  run.held_until = run.StartableUntil() + WithClockDrift(max_lease);
}

void Worker::ExtendHeldRuns(core::TimePoint now,
                            std::chrono::milliseconds max_lease) {
  for (auto& [key, run] : m_runs) {
    run.held_until =
        std::max({run.held_until, now + WithClockDrift(max_lease),
                  run.StartableUntil() + WithClockDrift(max_lease)});
  }
}

std::vector<RunKey> Worker::ExpiredHeldRuns(core::TimePoint now) {
  std::vector<RunKey> expired;
  if (!m_may_have_held_runs) {
    return expired;
  }
  m_may_have_held_runs = false;
  for (const auto& [key, run] : m_runs) {
    m_may_have_held_runs = m_may_have_held_runs || run.is_held;
    if (run.is_held && run.held_until <= now) {
      expired.push_back(key);
    }
  }
  return expired;
}

core::TimePoint Worker::RunsEndAt(std::chrono::milliseconds max_lease) const {
  core::TimePoint end = m_lease_expires_at;
  for (const auto& [key, run] : m_runs) {
    if (!run.is_listed && !run.IsUnsent()) {
      const core::TimePoint last_command =
          std::max({run.start_sent_at, run.confirmed_at, m_lease_requested_at});
      end = std::max(end, last_command + WithClockDrift(max_lease));
    }
  }
  return end;
}

bool Worker::HasOnlyHeldRuns() const {
  return !m_runs.empty() &&
         std::all_of(m_runs.begin(), m_runs.end(),
                     [](const auto& entry) { return entry.second.is_held; });
}

bool Worker::HasHeldRuns() const {
  return m_may_have_held_runs &&
         std::any_of(m_runs.begin(), m_runs.end(),
                     [](const auto& entry) { return entry.second.is_held; });
}

std::vector<RunKey> Worker::Keys() const {
  std::vector<RunKey> keys;
  keys.reserve(m_runs.size());
  for (const auto& [key, run] : m_runs) {
    keys.push_back(key);
  }
  return keys;
}

std::uint32_t Worker::CountTasksOfStep(const job::TaskId& task) const {
  std::uint32_t count = 0;
  for (const auto& [key, run] : m_runs) {
    count += key.task.job == task.job &&
                     key.task.key.occurrence == task.key.occurrence &&
                     key.task.key.step == task.key.step
                 ? 1
                 : 0;
  }
  return count;
}

}  // namespace crocusmast::execution
