#include "crocusmast/scheduling/waiting_jobs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusmast::scheduling {
namespace internal {

bool IsBefore(const WaitingJobs::Entry& left, const WaitingJobs::Entry& right) {
  return left.rank < right.rank;
}

}  // namespace internal

void WaitingJobs::Set(ActiveJob& job, const JobRank& rank) {
  Remove(job);
  job.waiting_rank = rank;
  const Entry entry{rank, &job, job.min_resources};
  const auto next = std::upper_bound(m_entries.begin(), m_entries.end(), entry,
                                     internal::IsBefore);
  m_entries.insert(next, entry);
  m_valid_until = std::min(m_valid_until, rank.valid_until);
}

void WaitingJobs::UpdateMinResources(const ActiveJob& job) {
  if (const auto found = Find(job); found != m_entries.end()) {
    found->min_resources = job.min_resources;
  }
}

void WaitingJobs::Remove(ActiveJob& job) {
  if (const auto found = Find(job); found != m_entries.end()) {
    m_entries.erase(found);
  }
  job.waiting_rank.reset();
}

std::vector<WaitingJobs::Entry>::iterator WaitingJobs::Find(
    const ActiveJob& job) {
  if (!job.waiting_rank) {
    return m_entries.end();
  }
  auto next = std::lower_bound(m_entries.begin(), m_entries.end(),
                               Entry{*job.waiting_rank, nullptr, std::nullopt},
                               internal::IsBefore);
  while (next != m_entries.end() && next->job != &job) {
    ++next;
  }
  return next;
}

std::vector<WaitingJobs::Entry> WaitingJobs::TakeOutdated(core::TimePoint now) {
  const auto outdated = std::stable_partition(
      m_entries.begin(), m_entries.end(),
      [now](const Entry& entry) { return now <= entry.rank.valid_until; });
  std::vector<Entry> taken(std::make_move_iterator(outdated),
                           std::make_move_iterator(m_entries.end()));
  m_entries.erase(outdated, m_entries.end());
  return taken;
}

void WaitingJobs::Merge(std::vector<Entry> entries) {
  std::stable_sort(entries.begin(), entries.end(), internal::IsBefore);
  const auto middle = m_entries.insert(m_entries.end(),
                                       std::make_move_iterator(entries.begin()),
                                       std::make_move_iterator(entries.end()));
  std::inplace_merge(m_entries.begin(), middle, m_entries.end(),
                     internal::IsBefore);
  m_valid_until = core::TimePoint::max();
  for (const Entry& entry : m_entries) {
    m_valid_until = std::min(m_valid_until, entry.rank.valid_until);
  }
}

}  // namespace crocusmast::scheduling
