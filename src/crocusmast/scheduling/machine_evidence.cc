#include "crocusmast/scheduling/machine_evidence.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

using upkeep::Machine;
using upkeep::MachineState;

void MachineEvidence::Clear() {
  m_absences.clear();
  m_machine_of.clear();
  m_machines.clear();
  m_listed.clear();
  m_requested_at = {};
  m_received_at.reset();
  m_has_second_list = false;
}

void MachineEvidence::Handle(const upkeep::MachineListReceived& list,
                             const std::vector<KnownWorker>& workers,
                             core::TimePoint now) {
  if (!list.is_known || list.machines.empty()) {
    return;
  }
  std::set<core::InstanceId> listed;
  std::map<core::InstanceId, core::MachineId> machine_of;
  std::set<core::MachineId> occupied;
  // The worker of such a machine may be any of its pool.
  std::set<core::PoolId> uncertain_pools;
  for (const Machine& machine : list.machines) {
    if (!machine.worker.IsEmpty()) {
      listed.insert(machine.worker);
      machine_of.emplace(machine.worker, machine.id);
      occupied.insert(machine.id);
    } else if (machine.state == MachineState::kUp) {
      uncertain_pools.insert(machine.pool);
    }
  }
  const bool has_all_machines = HasAllMachines(list);
  std::map<core::InstanceId, Evidence> absences;
  for (const KnownWorker& worker : workers) {
    if (listed.count(worker.id) > 0) {
      continue;
    }
    if (const auto earlier = m_absences.find(worker.id);
        earlier != m_absences.end() &&
        worker.known_since < earlier->second.requested_at) {
      absences.insert(*earlier);
    } else if (has_all_machines && worker.known_since < list.requested_at &&
               uncertain_pools.count(worker.pool) == 0) {
      absences[worker.id] = {list.requested_at, now};
    }
    const auto machine = m_machine_of.find(worker.id);
    if (machine == m_machine_of.end()) {
      continue;
    }
    machine_of.insert(*machine);
    const auto absence = absences.find(worker.id);
    if (absence != absences.end() && !absence->second.is_final &&
        occupied.count(machine->second) > 0) {
      absence->second.is_final = true;
      absence->second.received_at = now;
    }
  }
  m_machine_of = std::move(machine_of);
  m_absences = std::move(absences);
  m_has_second_list = m_received_at.has_value();
  m_received_at = now;
  m_requested_at = list.requested_at;
  m_listed = std::move(listed);
  m_machines.clear();
  for (const Machine& machine : list.machines) {
    m_machines.insert(machine.id);
  }
}

// If a machine leaves the platform between the requests for two pages, the
// second page may start behind a machine that was on neither. The machine that
// left is on the first page, but not in a list that is requested later.
bool MachineEvidence::HasAllMachines(
    const upkeep::MachineListReceived& list) const {
  if (list.is_single_page) {
    return true;
  }
  if (!m_received_at || list.requested_at < *m_received_at) {
    return false;
  }
  std::set<core::MachineId> listed;
  for (const Machine& machine : list.machines) {
    listed.insert(machine.id);
  }
  return std::includes(listed.begin(), listed.end(), m_machines.begin(),
                       m_machines.end());
}

std::optional<execution::Absence> MachineEvidence::AbsenceOf(
    const core::InstanceId& worker,
    core::TimePoint known_since,
    core::TimePoint confirmed_at) const {
  const auto absence = m_absences.find(worker);
  if (absence == m_absences.end()) {
    return std::nullopt;
  }
  const Evidence& evidence = absence->second;
  const bool is_absent = known_since < evidence.requested_at &&
                         evidence.received_at <= confirmed_at;
  return is_absent ? std::optional(execution::Absence{evidence.requested_at,
                                                      evidence.is_final})
                   : std::nullopt;
}

bool MachineEvidence::IsMissing(const KnownWorker& worker) const {
  return m_received_at && worker.known_since < m_requested_at &&
         m_listed.count(worker.id) == 0;
}

bool MachineEvidence::IsListDue(core::TimePoint last_request_at,
                                core::TimePoint now) const {
  const auto interval = m_received_at && !m_has_second_list
                            ? kSecondMachineListDelay
                            : kMachineListInterval;
  return last_request_at + interval <= now;
}

}  // namespace crocusmast::scheduling
