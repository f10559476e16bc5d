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
  m_changed.clear();
  m_positions.clear();
  m_in_flight.clear();
  m_pending_ends.clear();
  m_handover.reset();
  m_in_flight_handover.reset();
  m_stored_handover.reset();
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

std::optional<job::Commit> Committer::NextCommit(core::FencingToken token,
                                                 core::TimePoint now,
                                                 const ProgressReader& read) {
  const bool is_empty =
      m_changed.empty() && m_pending_ends.empty() && !m_handover;
  if (m_is_in_flight || is_empty || now < m_next_at) {
    return std::nullopt;
  }
  job::Commit commit;
  commit.sequence = ++m_sequence;
  commit.token = token;
  commit.expected_last_commit = m_last_commit;
  std::size_t entries = 0;
  while (!m_changed.empty() &&
         entries + kFinalJobEntries <= kMaxCommitEntries) {
    const auto [position, id] = std::move(m_changed.front());
    m_changed.pop_front();
    m_positions.erase(id);
    if (std::optional<job::ProgressWrite> write = read(id); write) {
      entries += job::IsFinal(write->progress.state) ? kFinalJobEntries
                                                     : kProgressEntries;
      m_in_flight.emplace(id, InFlightJob{position, write->progress.state});
      commit.progress.push_back(std::move(*write));
    }
  }
  m_is_full = !m_changed.empty();
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
  const Position last_stored =
      m_changed.empty() ? m_last_position : m_changed.front().first - 1;
  while (!m_pending_ends.empty() &&
         m_pending_ends.front().position <= last_stored) {
    on_recorded(m_pending_ends.front().worker, m_pending_ends.front().last_end);
    m_pending_ends.pop_front();
  }
}

void Committer::RequeueInFlight() {
  std::vector<std::pair<Position, core::JobId>> jobs;
  for (const auto& [id, job] : m_in_flight) {
    // A job that changed again keeps the position of its first change.
    m_positions[id] = job.position;
    jobs.emplace_back(job.position, id);
  }
  m_changed.erase(std::remove_if(m_changed.begin(), m_changed.end(),
                                 [this](const auto& change) {
                                   return m_in_flight.count(change.second) > 0;
                                 }),
                  m_changed.end());
  std::sort(jobs.begin(), jobs.end());
  m_changed.insert(m_changed.begin(), jobs.begin(), jobs.end());
  m_in_flight.clear();
  if (!m_handover) {
    m_handover = std::move(m_in_flight_handover);
  }
  m_in_flight_handover.reset();
}

}  // namespace crocusmast::scheduling
