#include "crocusmast/scheduling/committer.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

void Committer::Reset() {
  ++m_sequence;
  m_is_in_flight = false;
  m_next_at = {};
  m_revisions.clear();
  m_changed.clear();
  m_in_flight_jobs.clear();
  m_ends.clear();
  m_in_flight_ends.clear();
  m_notes.reset();
  m_in_flight_notes.reset();
}

void Committer::SetRevision(const core::JobId& id, core::Revision revision) {
  m_revisions[id] = revision;
}

void Committer::MarkChanged(const core::JobId& id) {
  m_changed.insert(id);
}

void Committer::AddEnds(const core::InstanceId& worker, core::EndNumber taken) {
  core::EndNumber& known = m_ends[worker];
  known = std::max(known, taken);
}

void Committer::SetNotes(job::HolderNotes notes) {
  m_notes = std::move(notes);
}

bool Committer::AreNotesStored() const {
  return !m_notes && !m_in_flight_notes;
}

std::optional<job::Commit> Committer::Next(core::FencingToken token,
                                           core::TimePoint now,
                                           const ReadProgress& read) {
  const bool is_empty = m_changed.empty() && m_ends.empty() && !m_notes;
  if (m_is_in_flight || is_empty || now < m_next_at) {
    return std::nullopt;
  }
  job::Commit commit;
  commit.sequence = ++m_sequence;
  commit.token = token;
  while (!m_changed.empty() && commit.progress.size() < kMaxCommitJobs) {
    const core::JobId id = *m_changed.begin();
    m_changed.erase(m_changed.begin());
    if (std::optional<job::JobProgress> progress = read(id); progress) {
      commit.progress.push_back({id, m_revisions[id], std::move(*progress)});
      m_in_flight_jobs.insert(id);
    }
  }
  // Ends are recorded once every change that came before them is stored.
  if (m_changed.empty()) {
    m_in_flight_ends = std::exchange(m_ends, {});
  }
  m_in_flight_notes = std::exchange(m_notes, std::nullopt);
  commit.notes = m_in_flight_notes;
  m_is_in_flight = true;
  return commit;
}

bool Committer::Handle(const job::CommitReply& reply,
                       core::TimePoint now,
                       const TakeRecorded& take) {
  if (!m_is_in_flight || reply.sequence != m_sequence) {
    return true;
  }
  m_is_in_flight = false;
  if (reply.outcome == job::StoreOutcome::kDone) {
    m_next_at = now + kCommitPause;
    for (const core::JobId& id : m_in_flight_jobs) {
      m_revisions[id] = reply.revision;
    }
    m_in_flight_jobs.clear();
    m_in_flight_notes.reset();
    for (const auto& [worker, number] : std::exchange(m_in_flight_ends, {})) {
      take(worker, number);
    }
    return true;
  }
  PutBack();
  m_next_at = now + kCommitRetry;
  if (reply.outcome != job::StoreOutcome::kConflict) {
    return true;
  }
  for (const auto& [id, revision] : reply.found) {
    m_revisions[id] = revision;
  }
  m_next_at = now;
  return reply.is_still_holder;
}

void Committer::PutBack() {
  m_changed.insert(m_in_flight_jobs.begin(), m_in_flight_jobs.end());
  m_in_flight_jobs.clear();
  for (const auto& [worker, number] : m_in_flight_ends) {
    AddEnds(worker, number);
  }
  m_in_flight_ends.clear();
  if (!m_notes) {
    m_notes = std::move(m_in_flight_notes);
  }
  m_in_flight_notes.reset();
}

void Committer::Forget(const core::JobId& id) {
  m_revisions.erase(id);
}

}  // namespace crocusmast::scheduling
