#include "crocusmast/scheduling/inherited_workers.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

InheritedWorkers InheritedWorkers::Create(
    const std::vector<job::LeasedWorker>& workers,
    core::TimePoint ended_at) {
  InheritedWorkers inherited;
  for (const job::LeasedWorker& leased : workers) {
    inherited.m_workers[leased.worker] = {leased.incarnation, leased.pool,
                                          ended_at + leased.lease_remaining};
  }
  return inherited;
}

const InheritedWorkers::Worker* InheritedWorkers::Find(
    const core::InstanceId& id) const {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

bool InheritedWorkers::MayStillRun(const job::TaskPlacement& placement) const {
  return Find(placement.worker) != nullptr;
}

bool InheritedWorkers::IsPoolReconciled(const core::PoolId& pool) const {
  return std::none_of(
      m_workers.begin(), m_workers.end(),
      [&pool](const auto& entry) { return entry.second.pool == pool; });
}

std::vector<core::InstanceId> InheritedWorkers::Expired(
    core::TimePoint now) const {
  std::vector<core::InstanceId> expired;
  for (const auto& [id, worker] : m_workers) {
    if (worker.leased_until <= now) {
      expired.push_back(id);
    }
  }
  return expired;
}

std::optional<InheritedWorkers::Worker> InheritedWorkers::Remove(
    const core::InstanceId& id) {
  const auto found = m_workers.find(id);
  if (found == m_workers.end()) {
    return std::nullopt;
  }
  Worker worker = std::move(found->second);
  m_workers.erase(found);
  return worker;
}

}  // namespace crocusmast::scheduling
