#include "crocusmast/scheduling/committer.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

void Committer::Reset() {
  BeginTerm({});
}

void Committer::BeginTerm(core::Revision last_commit) {
  ++m_sequence;
  m_is_in_flight = false;
  m_last_commit = last_commit;
  m_next_at = {};
  m_queues = {};
  m_changes.clear();
  m_in_flight.clear();
  m_pending_ends.clear();
  m_handover.reset();
  m_in_flight_handover.reset();
  m_stored_handover.reset();
}

void Committer::MarkChanged(const core::JobId& id, ChangePriority priority) {
  const auto found = m_changes.find(id);
  const Position position =
      found == m_changes.end() ? ++m_last_position : found->second.position;
  Enqueue(id, {position, priority});
}

void Committer::Enqueue(const core::JobId& id, const Change& change) {
  const auto [found, is_new] = m_changes.try_emplace(id, change);
  Change& queued = found->second;
  if (!is_new) {
    QueueOf(queued.priority).erase(queued.position);
    queued.position = std::min(queued.position, change.position);
    queued.priority = std::min(queued.priority, change.priority);
  }
  QueueOf(queued.priority).emplace(queued.position, id);
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

std::optional<job::Commit> Committer::NextCommit(core::FencingToken token,
                                                 core::TimePoint now,
                                                 const ProgressReader& read) {
  const bool is_empty =
      m_changes.empty() && m_pending_ends.empty() && !m_handover;
  if (m_is_in_flight || is_empty || now < m_next_at) {
    return std::nullopt;
  }
  job::Commit commit;
  commit.sequence = ++m_sequence;
  commit.token = token;
  commit.expected_last_commit = m_last_commit;
  std::size_t entries = 0;
  const auto take = [&](ChangeQueue& queue, std::size_t max_entries) {
    while (!queue.empty() && entries + kFinalJobEntries <= max_entries) {
      const core::JobId id = queue.begin()->second;
      const Change change = m_changes.at(id);
      queue.erase(queue.begin());
      m_changes.erase(id);
      if (std::optional<job::ProgressWrite> write = read(id); write) {
        entries += job::IsFinal(write->progress.state) ? kFinalJobEntries
                                                       : kProgressEntries;
        m_in_flight.emplace(id, InFlightJob{change, write->progress.state});
        commit.progress.push_back(std::move(*write));
      }
    }
  };
  std::size_t limit =
      kMaxCommitEntries - (m_queues.size() - 1) * kReservedEntries;
  for (ChangeQueue& queue : m_queues) {
    take(queue, limit);
    limit += kReservedEntries;
  }
  for (ChangeQueue& queue : m_queues) {
    take(queue, kMaxCommitEntries);
  }
  m_is_full = !m_changes.empty();
  m_in_flight_handover = std::exchange(m_handover, std::nullopt);
  commit.handover = m_in_flight_handover;
  m_is_in_flight = true;
  return commit;
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
    m_last_commit = reply.revision;
    m_stored_handover = std::exchange(m_in_flight_handover, std::nullopt);
    for (const auto& [id, job] : std::exchange(m_in_flight, {})) {
      on_stored(id, job.state);
    }
    ReportRecordedEnds(on_recorded);
    return true;
  }
  RequeueInFlight();
  m_next_at = now + kCommitRetryDelay;
  if (reply.outcome != job::StoreOutcome::kConflict) {
    return true;
  }
  // A conflict means that an earlier commit without a reply took effect, or
  // that the leader's claim is no longer valid.
  m_last_commit = reply.revision;
  m_next_at = now;
  return reply.is_still_leader;
}

std::chrono::milliseconds Committer::DelayAfterCommit() const {
  if (m_is_full) {
    return std::chrono::milliseconds(0);
  }
  return m_in_flight.size() < kBusyCommitJobs ? kCommitDelay : kBusyCommitDelay;
}

void Committer::ReportRecordedEnds(const RecordedCallback& on_recorded) {
  const Position last_stored = LastStoredPosition();
  while (!m_pending_ends.empty() &&
         m_pending_ends.front().position <= last_stored) {
    on_recorded(m_pending_ends.front().worker, m_pending_ends.front().last_end);
    m_pending_ends.pop_front();
  }
}

Committer::Position Committer::LastStoredPosition() const {
  Position last_stored = m_last_position;
  for (const ChangeQueue& queue : m_queues) {
    if (!queue.empty()) {
      last_stored = std::min(last_stored, queue.begin()->first - 1);
    }
  }
  return last_stored;
}

void Committer::RequeueInFlight() {
  for (const auto& [id, job] : m_in_flight) {
    // A job that changed again keeps the position of its first change.
    Enqueue(id, job.change);
  }
  m_in_flight.clear();
  if (!m_handover) {
    m_handover = std::move(m_in_flight_handover);
  }
  m_in_flight_handover.reset();
}

}  // namespace crocusmast::scheduling
