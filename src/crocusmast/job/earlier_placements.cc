#include "crocusmast/job/earlier_placements.h"

#include <algorithm>
#include <utility>

namespace crocusmast::job {

EarlierPlacements EarlierPlacements::Restore(
    const std::optional<std::vector<TaskPlacement>>& stored) {
  EarlierPlacements placements;
  placements.m_are_known = stored.has_value();
  if (stored) {
    for (const TaskPlacement& placement : *stored) {
      placements.m_placements.emplace(placement.task, placement);
    }
  }
  return placements;
}

bool EarlierPlacements::Settle(const ActivityCheck& may_be_active) {
  const std::size_t before = m_placements.size();
  for (auto next = m_placements.begin(); next != m_placements.end();) {
    next = may_be_active(next->second) ? std::next(next)
                                       : m_placements.erase(next);
  }
  return m_placements.size() < before;
}

std::vector<TaskPlacement> EarlierPlacements::Open() const {
  std::vector<TaskPlacement> open;
  for (const auto& [task, placement] : m_placements) {
    if (placement.open_attempt) {
      open.push_back(placement);
    }
  }
  return open;
}

bool EarlierPlacements::IsOpen(const TaskKey& task,
                               core::Attempt attempt) const {
  const auto [begin, end] = m_placements.equal_range(task);
  return std::any_of(begin, end, [attempt](const auto& entry) {
    return entry.second.open_attempt == attempt;
  });
}

void EarlierPlacements::RemoveStart(const TaskKey& task,
                                    core::Attempt attempt) {
  auto [next, end] = m_placements.equal_range(task);
  while (next != end) {
    next = next->second.open_attempt == attempt ? m_placements.erase(next)
                                                : std::next(next);
  }
}

bool EarlierPlacements::SettleUnknown() {
  return !std::exchange(m_are_known, true);
}

void EarlierPlacements::AppendTo(std::vector<TaskPlacement>& placements) const {
  for (const auto& [task, placement] : m_placements) {
    placements.push_back(placement);
  }
}

}  // namespace crocusmast::job
