#include "crocusmast/scheduling/batch_index.h"

namespace crocusmast::scheduling {

void BatchIndex::Clear() {
  m_batches.clear();
  m_batches_of_job.clear();
}

void BatchIndex::AddBatch(const job::BatchId& batch,
                          core::TimePoint stored_at) {
  m_batches.emplace(batch, Batch{stored_at, {}});
}

void BatchIndex::AddJob(const job::BatchId& batch, const core::JobId& id) {
  if (m_batches.at(batch).jobs.insert(id).second) {
    m_batches_of_job[id].push_back(batch);
  }
}

void BatchIndex::RemoveJob(const core::JobId& id) {
  const auto found = m_batches_of_job.find(id);
  if (found == m_batches_of_job.end()) {
    return;
  }
  for (const job::BatchId& batch : found->second) {
    m_batches.at(batch).jobs.erase(id);
  }
  m_batches_of_job.erase(found);
}

void BatchIndex::RemoveBatch(const job::BatchId& batch) {
  m_batches.erase(batch);
}

std::vector<job::BatchId> BatchIndex::FindUnused(std::size_t max_count) const {
  std::vector<job::BatchId> unused;
  for (const auto& [id, batch] : m_batches) {
    if (unused.size() == max_count) {
      break;
    }
    if (batch.jobs.empty()) {
      unused.push_back(id);
    }
  }
  return unused;
}

}  // namespace crocusmast::scheduling
