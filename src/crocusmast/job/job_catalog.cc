#include "crocusmast/job/job_catalog.h"

#include <iterator>
#include <utility>

namespace crocusmast::job {

namespace internal {

const core::JobId& JobIdOf(const JobStored& stored) {
  return stored.job.id;
}

template <typename Event>
const core::JobId& JobIdOf(const Event& event) {
  return event.id;
}

}  // namespace internal

const core::JobId& JobIdOf(const JobEvent& event) {
  return std::visit(
      [](const auto& one) -> const core::JobId& {
        return internal::JobIdOf(one);
      },
      event);
}

JobState JobEntry::State() const {
  const JobState stored = progress ? progress->state : JobState::kQueued;
  return is_cancelled && !IsFinal(stored) ? JobState::kCancelled : stored;
}

void JobCatalog::Apply(JobEvent event, core::TimePoint now) {
  std::visit([this, now](auto& one) { HandleEvent(std::move(one), now); },
             event);
}

void JobCatalog::HandleEvent(JobStored&& event, core::TimePoint now) {
  JobEntry& entry = m_entries[event.job.id];
  if (entry.job.id.IsEmpty()) {
    entry.job = std::move(event.job);
    DiscardSpecIfFinal(entry, now);
  }
}

void JobCatalog::HandleEvent(CancellationStored&& event, core::TimePoint now) {
  m_entries[event.id].is_cancelled = true;
}

void JobCatalog::HandleEvent(ProgressStored&& event, core::TimePoint now) {
  JobEntry& entry = m_entries[event.id];
  if (event.revision < entry.revision) {
    return;
  }
  const bool was_final = entry.progress && IsFinal(entry.progress->state);
  entry.progress = std::move(event.progress);
  entry.revision = event.revision;
  entry.batch = event.batch;
  if (!was_final) {
    DiscardSpecIfFinal(entry, now);
  }
}

void JobCatalog::HandleEvent(JobEnded&& event, core::TimePoint now) {
  JobEntry& entry = m_entries[event.id];
  const bool was_final = entry.progress && IsFinal(entry.progress->state);
  entry.job.id = event.id;
  entry.job.queue = event.queue;
  entry.progress.emplace();
  entry.progress->state = event.state;
  entry.revision = event.revision;
  entry.batch.reset();
  if (!was_final) {
    DiscardSpecIfFinal(entry, now);
  }
}

void JobCatalog::HandleEvent(JobRemoved&& event, core::TimePoint now) {
  m_entries.erase(event.id);
}

void JobCatalog::RetainOnly(const std::unordered_set<core::JobId>& listed,
                            const std::set<BatchId>& listed_batches) {
  m_batches = listed_batches;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    entry = listed.count(entry->first) == 0 ? m_entries.erase(entry)
                                            : std::next(entry);
  }
}

void JobCatalog::DiscardSpecIfFinal(JobEntry& entry, core::TimePoint now) {
  if (entry.progress && IsFinal(entry.progress->state)) {
    entry.job.spec = {};
    entry.ended_at = now;
  }
}

const JobEntry* JobCatalog::Find(const core::JobId& id) const {
  const auto entry = m_entries.find(id);
  if (entry == m_entries.end() || entry->second.job.id.IsEmpty()) {
    return nullptr;
  }
  return &entry->second;
}

std::uint64_t JobCatalog::CountQueued(const core::QueueId& queue) const {
  std::uint64_t count = 0;
  for (const auto& [id, entry] : m_entries) {
    // The starts of a job that was placed may get no reply for seconds.
    const bool is_waiting =
        entry.State() == JobState::kQueued ||
        (entry.State() == JobState::kRunning && !entry.progress->has_begun);
    count += entry.job.queue == queue && is_waiting &&
                     entry.job.spec.schedule.occurrence_count == 0
                 ? 1
                 : 0;
  }
  return count;
}

}  // namespace crocusmast::job
