#include "crocusmast/scheduling/committer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusmast::scheduling {
namespace internal {

// Estimated bytes of what a batch contains.
constexpr std::size_t kJobBytes = 64;
constexpr std::size_t kTaskBytes = 40;
constexpr std::size_t kPlacementBytes = 64;

/** @brief Share of the entries that is left for emptying batches while no batch
 * may be added. */
constexpr std::size_t kEmptyingShare = 2;

}  // namespace internal

std::size_t EntriesOf(const job::ProgressWrite& write) {
  if (!job::IsFinal(write.progress.state)) {
    return 1;
  }
  const bool removes_cancellation =
      write.progress.state == job::JobState::kCancelled;
  return 1 + (write.may_have_own_record ? 1 : 0) +
         (removes_cancellation ? 1 : 0);
}

std::size_t EstimateSize(const job::ProgressWrite& write) {
  std::size_t size = internal::kJobBytes;
  if (job::IsFinal(write.progress.state)) {
    return size;
  }
  for (const job::OccurrenceProgress& occurrence :
       write.progress.open_occurrences) {
    for (const job::StepProgress& step : occurrence.steps) {
      size += step.done.size();
      for (const job::TaskProgress& task : step.tasks) {
        size += internal::kTaskBytes + task.checkpoint.size();
      }
    }
  }
  if (write.progress.placements) {
    size += write.progress.placements->size() * internal::kPlacementBytes;
  }
  return size;
}

void Committer::Reset() {
  BeginTerm({});
}

void Committer::BeginTerm(core::Revision last_commit) {
  ++m_sequence;
  m_is_in_flight = false;
  m_last_commit = last_commit;
  m_next_at = {};
  m_next_urgent_at = {};
  m_is_urgent = false;
  m_changed.clear();
  m_positions.clear();
  m_in_flight.clear();
  m_pending_ends.clear();
  m_batches.Clear();
  m_ended.clear();
  m_ended_order.clear();
  m_own_records.clear();
  m_in_flight_batch.reset();
  m_in_flight_ended.clear();
  m_in_flight_removed.clear();
  m_handover.reset();
  m_in_flight_handover.reset();
  m_stored_handover.reset();
  m_commanded_machines.reset();
  m_in_flight_commanded_machines.reset();
  m_stored_commanded_machines.reset();
}

void Committer::AddStoredBatch(const job::BatchId& batch) {
  m_batches.AddBatch(batch, {});
}

void Committer::AddStoredProgress(const core::JobId& id,
                                  const core::QueueId& queue,
                                  job::JobState state,
                                  const std::optional<job::BatchId>& batch) {
  const bool is_final = job::IsFinal(state);
  if (!is_final || batch) {
    m_own_records.insert(id);
  }
  if (batch) {
    m_batches.AddBatch(*batch, {});
    m_batches.AddJob(*batch, id);
  }
  if (is_final && batch) {
    AddEndedJob(id, queue, state);
  }
}

void Committer::MarkChanged(const core::JobId& id) {
  if (m_positions.emplace(id, m_last_position + 1).second) {
    m_changed.emplace_back(++m_last_position, id);
  }
}

void Committer::AddRunEnds(const core::InstanceId& worker,
                           core::RunEndNumber last_end) {
  m_pending_ends.push_back({m_last_position, worker, last_end});
}

void Committer::SetHandover(job::HandoverState handover) {
  m_handover = std::move(handover);
}

std::optional<job::HandoverState> Committer::TakeStoredHandover() {
  return std::exchange(m_stored_handover, std::nullopt);
}

void Committer::SetCommandedMachines(job::CommandedMachines machines) {
  m_commanded_machines = std::move(machines);
}

std::optional<job::CommandedMachines> Committer::TakeStoredCommandedMachines() {
  return std::exchange(m_stored_commanded_machines, std::nullopt);
}

bool Committer::IsCommitDue() const {
  return !m_changed.empty() || !m_pending_ends.empty() || m_handover ||
         m_commanded_machines;
}

std::optional<job::Commit> Committer::NextCommit(core::FencingToken token,
                                                 core::TimePoint now,
                                                 const ProgressReader& read) {
  const bool is_due = IsCommitDue() || IsBatchDue(now);
  if (m_is_in_flight || !is_due ||
      now < (m_is_urgent ? m_next_urgent_at : m_next_at)) {
    return std::nullopt;
  }
  job::Commit commit;
  commit.sequence = ++m_sequence;
  commit.token = token;
  commit.expected_last_commit = m_last_commit;
  std::vector<Change> changes = TakeChanges(read);
  m_is_full = !m_changed.empty();
  std::size_t entries = 0;
  for (const Change& change : changes) {
    entries += EntriesOf(change.write);
  }
  const bool has_batch = kMaxCommitEntries < entries;
  if (has_batch) {
    commit.batch.emplace();
    commit.batch->id = {token, commit.sequence};
    m_in_flight_batch = commit.batch->id;
    entries = 1;
  }
  for (Change& change : changes) {
    AddToCommit(std::move(change), has_batch, commit);
  }
  EmptyBatches(now, read, kMaxCommitEntries - entries, commit);
  m_in_flight_handover = std::exchange(m_handover, std::nullopt);
  commit.handover = m_in_flight_handover;
  m_in_flight_commanded_machines =
      std::exchange(m_commanded_machines, std::nullopt);
  commit.commanded_machines = m_in_flight_commanded_machines;
  m_is_in_flight = true;
  m_is_urgent = false;
  return commit;
}

std::optional<job::ProgressWrite> Committer::Read(
    const core::JobId& id,
    const ProgressReader& read) const {
  std::optional<job::ProgressWrite> write = read(id);
  if (write) {
    write->may_have_own_record = m_own_records.count(id) > 0;
  }
  return write;
}

std::vector<Committer::Change> Committer::TakeChanges(
    const ProgressReader& read) {
  const bool may_add_batch = m_batches.Batches().size() < kMaxBatches;
  const std::size_t max_entries =
      may_add_batch ? kMaxCommitEntries
                    : kMaxCommitEntries / internal::kEmptyingShare;
  std::vector<Change> changes;
  std::size_t entries = 0;
  std::size_t batch_bytes = 0;
  while (!m_changed.empty()) {
    const auto& [position, id] = m_changed.front();
    std::optional<job::ProgressWrite> write = Read(id, read);
    if (write) {
      entries += EntriesOf(*write);
      batch_bytes += EstimateSize(*write);
      const bool can_fit = entries <= max_entries ||
                           (may_add_batch && batch_bytes <= kMaxBatchBytes);
      if (!can_fit) {
        break;
      }
      changes.push_back({position, std::move(*write)});
    }
    m_positions.erase(id);
    m_changed.pop_front();
  }
  return changes;
}

void Committer::AddToCommit(Change change,
                            bool is_in_batch,
                            job::Commit& commit) {
  const core::JobId& id = change.write.id;
  const job::JobState state = change.write.progress.state;
  m_in_flight.emplace(
      id, InFlightJob{change.position, change.write.queue, state, is_in_batch});
  if (is_in_batch) {
    commit.batch->progress.push_back(std::move(change.write));
    return;
  }
  if (!job::IsFinal(state)) {
    m_own_records.insert(id);
  }
  commit.progress.push_back(std::move(change.write));
}

bool Committer::Handle(const job::CommitReply& reply,
                       core::TimePoint now,
                       const StoredCallback& on_stored,
                       const RecordedCallback& on_recorded) {
  if (!m_is_in_flight || reply.sequence != m_sequence) {
    return true;
  }
  m_is_in_flight = false;
  if (reply.outcome == job::StoreOutcome::kDone) {
    m_next_at = now + DelayAfterCommit();
    m_next_urgent_at = m_in_flight.size() < kBusyCommitJobs
                           ? std::min(m_next_at, now + kUrgentCommitDelay)
                           : m_next_at;
    m_last_commit = reply.revision;
    m_stored_handover = std::exchange(m_in_flight_handover, std::nullopt);
    m_stored_commanded_machines =
        std::exchange(m_in_flight_commanded_machines, std::nullopt);
    HandleBatchesStored(now);
    for (const auto& [id, job] : std::exchange(m_in_flight, {})) {
      on_stored(id, job.state);
    }
    ReportRecordedEnds(on_recorded);
    return true;
  }
  if (reply.outcome == job::StoreOutcome::kUnknown && m_in_flight_batch) {
    // The batch may be stored, or may be later; the earlier ones may not be
    // obsolete.
    m_batches.AddBatch(*m_in_flight_batch, now);
    for (const auto& [id, job] : m_in_flight) {
      if (job.is_in_batch) {
        m_batches.AddJob(*m_in_flight_batch, id);
      }
    }
  }
  RequeueInFlight();
  m_next_at = now + kCommitRetryDelay;
  m_next_urgent_at = m_next_at;
  if (reply.outcome != job::StoreOutcome::kConflict) {
    return true;
  }
  // A conflict means that an earlier commit without a reply took effect, or
  // that the leader's claim is no longer valid.
  m_last_commit = reply.revision;
  m_next_at = now;
  m_next_urgent_at = now;
  return reply.is_still_leader;
}

std::chrono::milliseconds Committer::DelayAfterCommit() const {
  if (m_is_full) {
    return std::chrono::milliseconds(0);
  }
  return m_in_flight.size() < kBusyCommitJobs ? kCommitDelay : kBusyCommitDelay;
}

void Committer::ReportRecordedEnds(const RecordedCallback& on_recorded) {
  const Position last_stored =
      m_changed.empty() ? m_last_position : m_changed.front().first - 1;
  while (!m_pending_ends.empty() &&
         m_pending_ends.front().position <= last_stored) {
    on_recorded(m_pending_ends.front().worker, m_pending_ends.front().last_end);
    m_pending_ends.pop_front();
  }
}

void Committer::RequeueInFlight() {
  for (const auto& [id, job] : m_in_flight) {
    // A job that changed again keeps the position of its first change.
    m_positions[id] = job.position;
  }
  m_changed.erase(std::remove_if(m_changed.begin(), m_changed.end(),
                                 [this](const auto& change) {
                                   return m_in_flight.count(change.second) > 0;
                                 }),
                  m_changed.end());
  for (const auto& [id, job] : m_in_flight) {
    m_changed.emplace_back(job.position, id);
  }
  std::sort(m_changed.begin(), m_changed.end());
  m_in_flight.clear();
  m_ended_order.insert(m_ended_order.begin(), m_in_flight_ended.begin(),
                       m_in_flight_ended.end());
  m_in_flight_ended.clear();
  m_in_flight_removed.clear();
  m_in_flight_batch.reset();
  if (!m_handover) {
    m_handover = std::move(m_in_flight_handover);
  }
  m_in_flight_handover.reset();
  if (!m_commanded_machines) {
    m_commanded_machines = std::move(m_in_flight_commanded_machines);
  }
  m_in_flight_commanded_machines.reset();
}

}  // namespace crocusmast::scheduling
