#include "crocusmast/scheduling/committer.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

void Committer::Reset() {
  Begin({});
}

void Committer::Begin(core::Revision last_commit) {
  ++m_sequence;
  m_is_in_flight = false;
  m_last_commit = last_commit;
  m_next_at = {};
  m_changed.clear();
  m_places.clear();
  m_in_flight.clear();
  m_ends.clear();
  m_notes.reset();
  m_in_flight_notes.reset();
}

void Committer::MarkChanged(const core::JobId& id) {
  if (m_places.emplace(id, m_last_place + 1).second) {
    m_changed.emplace_back(++m_last_place, id);
  }
}

void Committer::AddEnds(const core::InstanceId& worker, core::EndNumber taken) {
  m_ends.push_back({m_last_place, worker, taken});
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
  commit.after = m_last_commit;
  std::size_t entries = 0;
  while (!m_changed.empty() && entries + kEndEntries <= kMaxCommitEntries) {
    const auto [place, id] = std::move(m_changed.front());
    m_changed.pop_front();
    m_places.erase(id);
    if (std::optional<job::ProgressWrite> write = read(id); write) {
      entries +=
          job::IsFinal(write->progress.state) ? kEndEntries : kProgressEntries;
      m_in_flight.emplace(id, InFlight{place, write->progress.state});
      commit.progress.push_back(std::move(*write));
    }
  }
  m_is_full = !m_changed.empty();
  m_in_flight_notes = std::exchange(m_notes, std::nullopt);
  commit.notes = m_in_flight_notes;
  m_is_in_flight = true;
  return commit;
}

bool Committer::Handle(const job::CommitReply& reply,
                       core::TimePoint now,
                       const TakeStored& take_stored,
                       const TakeRecorded& take_recorded) {
  if (!m_is_in_flight || reply.sequence != m_sequence) {
    return true;
  }
  m_is_in_flight = false;
  if (reply.outcome == job::StoreOutcome::kDone) {
    m_next_at = now + PauseAfterCommit();
    m_last_commit = reply.revision;
    m_in_flight_notes.reset();
    for (const auto& [id, stored] : std::exchange(m_in_flight, {})) {
      take_stored(id, stored.state);
    }
    TellRecorded(take_recorded);
    return true;
  }
  PutBack();
  m_next_at = now + kCommitRetry;
  if (reply.outcome != job::StoreOutcome::kConflict) {
    return true;
  }
  // An earlier commit without an answer was done after all.
  m_last_commit = reply.revision;
  m_next_at = now;
  return reply.is_still_holder;
}

std::chrono::milliseconds Committer::PauseAfterCommit() const {
  if (m_is_full) {
    return std::chrono::milliseconds(0);
  }
  return m_in_flight.size() < kBusyCommitJobs ? kCommitPause : kBusyCommitPause;
}

void Committer::TellRecorded(const TakeRecorded& take) {
  const Place stored =
      m_changed.empty() ? m_last_place : m_changed.front().first - 1;
  while (!m_ends.empty() && m_ends.front().after <= stored) {
    take(m_ends.front().worker, m_ends.front().taken);
    m_ends.pop_front();
  }
}

void Committer::PutBack() {
  std::vector<std::pair<Place, core::JobId>> jobs;
  for (const auto& [id, job] : m_in_flight) {
    // Changed again since: it waits at the place of its first change.
    m_places[id] = job.place;
    jobs.emplace_back(job.place, id);
  }
  m_changed.erase(std::remove_if(m_changed.begin(), m_changed.end(),
                                 [this](const auto& one) {
                                   return m_in_flight.count(one.second) > 0;
                                 }),
                  m_changed.end());
  std::sort(jobs.begin(), jobs.end());
  m_changed.insert(m_changed.begin(), jobs.begin(), jobs.end());
  m_in_flight.clear();
  if (!m_notes) {
    m_notes = std::move(m_in_flight_notes);
  }
  m_in_flight_notes.reset();
}

}  // namespace crocusmast::scheduling
