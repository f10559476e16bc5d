#include <algorithm>
#include <vector>

#include "crocusmast/scheduling/scheduler.h"

// Workers that the platform's lists of machines show to be gone.

namespace crocusmast::scheduling {
namespace internal {

constexpr char kNoMachine[] = "no machine has it any more";

}  // namespace internal

using execution::Worker;

void Scheduler::Handle(const upkeep::MachineListReceived& list) {
  if (!m_is_active) {
    return;
  }
  std::vector<MachineEvidence::KnownWorker> workers;
  for (const auto& [id, worker] : m_workers) {
    if (!worker->is_reconciled || !worker->Runs().empty()) {
      workers.push_back({id, worker->Record().pool, KnownSince(*worker)});
    }
  }
  for (const auto& [id, inherited] : m_inherited_workers.All()) {
    if (m_workers.count(id) == 0) {
      workers.push_back({id, inherited.pool, m_term_began_at});
    }
  }
  for (const MachineEvidence::KnownWorker& worker : WorkersOfOpenStarts()) {
    const bool is_listed = std::any_of(
        workers.begin(), workers.end(),
        [&worker](const auto& other) { return other.id == worker.id; });
    if (!is_listed) {
      workers.push_back(worker);
    }
  }
  m_machine_evidence.Handle(list, workers, m_ports.clock.Now());
}

// A worker that was removed since had the pool of its tasks.
std::vector<MachineEvidence::KnownWorker> Scheduler::WorkersOfOpenStarts()
    const {
  std::vector<MachineEvidence::KnownWorker> workers;
  for (const auto& [id, task] : m_open_starts.Workers(m_ports.clock.Now())) {
    const auto worker = m_workers.find(id);
    const auto active = m_jobs.find(task.job);
    if (worker != m_workers.end()) {
      workers.push_back(
          {id, worker->second->Record().pool, KnownSince(*worker->second)});
    } else if (active != m_jobs.end()) {
      workers.push_back({id, active->second.pool, m_term_began_at});
    }
  }
  return workers;
}

core::TimePoint Scheduler::KnownSince(const Worker& worker) const {
  return m_inherited_workers.Find(worker.Record().id) != nullptr
             ? m_term_began_at
             : worker.JoinedAt();
}

bool Scheduler::HasMachine(const Worker& worker) const {
  return !m_machine_evidence.IsMissing(
      {worker.Record().id, worker.Record().pool, KnownSince(worker)});
}

bool Scheduler::NeedsMachineList(core::TimePoint last_request_at) const {
  const core::TimePoint now = m_ports.clock.Now();
  if (!m_is_active || now < m_term_began_at + kSecondMachineListDelay ||
      !m_machine_evidence.IsListDue(last_request_at, now)) {
    return false;
  }
  const std::vector<MachineEvidence::KnownWorker> open = WorkersOfOpenStarts();
  return !m_inherited_workers.All().empty() ||
         std::any_of(
             open.begin(), open.end(),
             [this](const auto& worker) { return !IsReplying(worker.id); }) ||
         std::any_of(m_workers.begin(), m_workers.end(), [](const auto& entry) {
           return entry.second->failed_polls > 0 &&
                  !entry.second->Runs().empty();
         });
}

void Scheduler::EndSilentWorkersWithoutMachine(core::TimePoint confirmed_at) {
  for (const auto& [id, worker] : m_workers) {
    const bool may_have_runs =
        !worker->is_reconciled || !worker->Runs().empty();
    const std::optional<execution::Absence> absence =
        m_machine_evidence.AbsenceOf(id, KnownSince(*worker), confirmed_at);
    if (may_have_runs && worker->failed_polls > 0 && absence) {
      m_inherited_workers.MarkGone(id);
      EndIncarnation(*worker, {IncarnationEnd::Evidence::kMachineGone,
                               internal::kNoMachine, absence});
    }
  }
}

void Scheduler::SettleOpenStarts(core::TimePoint confirmed_at) {
  // A stored placement is waited for anew if its start is not known any more.
  const core::Duration retention =
      execution::kMaxCommandDelay +
      execution::WithClockDrift(m_term.max_worker_lease);
  m_open_starts.RemoveSettled(confirmed_at - retention);
  bool is_changed = false;
  for (const MachineEvidence::KnownWorker& worker : WorkersOfOpenStarts()) {
    const std::optional<execution::Absence> absence =
        m_machine_evidence.AbsenceOf(worker.id, worker.known_since,
                                     confirmed_at);
    const bool is_shortened =
        absence && m_open_starts.HandleAbsence(
                       worker.id, *absence,
                       execution::WithClockDrift(m_term.max_worker_lease));
    is_changed = is_changed || is_shortened;
  }
  if (is_changed && m_has_worker_list) {
    StoreHandover();
  }
}

// Lists are evidence only up to confirmed_at: a later leader may have had a
// reply of the worker, after which runs that this leader knows have ended.
void Scheduler::EndWorkersWithoutMachine(core::TimePoint confirmed_at) {
  // A reply may be on its way until a poll has failed.
  if (m_may_have_silent_workers) {
    EndSilentWorkersWithoutMachine(confirmed_at);
  }
  std::vector<core::InstanceId> gone;
  for (const auto& [id, inherited] : m_inherited_workers.All()) {
    if (m_workers.count(id) == 0 &&
        m_machine_evidence.AbsenceOf(id, m_term_began_at, confirmed_at)) {
      gone.push_back(id);
    }
  }
  for (const core::InstanceId& id : gone) {
    m_inherited_workers.MarkGone(id);
    MarkReconciled(id, internal::kNoMachine);
  }
}

}  // namespace crocusmast::scheduling
