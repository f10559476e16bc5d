#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "crocusmast/scheduling/committer.h"

// Batches that hold the progress of several jobs, and how they are emptied.

namespace crocusmast::scheduling {

void Committer::AddEndedJob(const core::JobId& id,
                            const core::QueueId& queue,
                            job::JobState state) {
  job::ProgressWrite end;
  end.id = id;
  end.queue = queue;
  end.progress.state = state;
  m_ended.insert_or_assign(id, std::move(end));
  m_ended_order.push_back(id);
}

bool Committer::IsBatchDue(core::TimePoint now) const {
  const auto& batches = m_batches.Batches();
  return !batches.empty() &&
         (kManyBatches < batches.size() ||
          batches.begin()->second.stored_at + kBatchAge <= now);
}

void Committer::EmptyBatches(core::TimePoint now,
                             const ProgressReader& read,
                             std::size_t free_entries,
                             job::Commit& commit) {
  commit.removed_batches = m_batches.FindUnused(free_entries);
  m_in_flight_removed = commit.removed_batches;
  free_entries -= commit.removed_batches.size();
  MoveEndedJobs(free_entries, commit);
  if (!IsBatchDue(now)) {
    return;
  }
  std::vector<core::JobId> jobs;
  for (const auto& [batch, content] : m_batches.Batches()) {
    const bool is_old = content.stored_at + kBatchAge <= now ||
                        kManyBatches < m_batches.Batches().size();
    if (!is_old || free_entries <= jobs.size()) {
      break;
    }
    std::copy_if(content.jobs.begin(), content.jobs.end(),
                 std::back_inserter(jobs), [this](const core::JobId& id) {
                   return !IsChanged(id) && m_ended.count(id) == 0;
                 });
  }
  for (const core::JobId& id : jobs) {
    if (free_entries == 0) {
      return;
    }
    std::optional<job::ProgressWrite> write = Read(id, read);
    if (!write) {
      m_batches.RemoveJob(id);
    } else if (EntriesOf(*write) <= free_entries && !IsChanged(id)) {
      free_entries -= EntriesOf(*write);
      AddToCommit({++m_last_position, std::move(*write)}, false, commit);
    }
  }
}

void Committer::MoveEndedJobs(std::size_t& free_entries, job::Commit& commit) {
  while (!m_ended_order.empty()) {
    const core::JobId id = m_ended_order.front();
    const auto ended = m_ended.find(id);
    // A job that changed again is stored anew in any case, and may have been
    // added again.
    const bool is_moved =
        std::find(m_in_flight_ended.begin(), m_in_flight_ended.end(), id) !=
        m_in_flight_ended.end();
    if (ended != m_ended.end() && !is_moved && !IsChanged(id)) {
      ended->second.may_have_own_record = m_own_records.count(id) > 0;
      const std::size_t entries = EntriesOf(ended->second);
      if (free_entries < entries) {
        return;
      }
      free_entries -= entries;
      commit.progress.push_back(ended->second);
      m_in_flight_ended.push_back(id);
    }
    m_ended_order.pop_front();
  }
}

void Committer::HandleBatchesStored(core::TimePoint now) {
  if (m_in_flight_batch) {
    m_batches.AddBatch(*m_in_flight_batch, now);
  }
  for (const auto& [id, job] : m_in_flight) {
    m_batches.RemoveJob(id);
    if (job.is_in_batch) {
      m_batches.AddJob(*m_in_flight_batch, id);
    }
    if (job::IsFinal(job.state)) {
      m_ended.erase(id);
      if (job.is_in_batch) {
        AddEndedJob(id, job.queue, job.state);
      } else {
        m_own_records.erase(id);
      }
    }
  }
  for (const core::JobId& id : std::exchange(m_in_flight_ended, {})) {
    m_batches.RemoveJob(id);
    m_ended.erase(id);
    m_own_records.erase(id);
  }
  for (const job::BatchId& batch : std::exchange(m_in_flight_removed, {})) {
    m_batches.RemoveBatch(batch);
  }
  m_in_flight_batch.reset();
}

}  // namespace crocusmast::scheduling
