#include "crocusmast/upkeep/machine_wave.h"

#include <algorithm>
#include <utility>

namespace crocusmast::upkeep {

MachineWave::MachineWave(WaveRequest request,
                         const std::vector<core::MachineId>& started,
                         core::TimePoint requested_at)
    : m_request(std::move(request)), m_requested_at(requested_at) {
  for (const core::MachineId& machine : m_request.machines) {
    m_items[machine];
  }
  for (const core::MachineId& machine : started) {
    const auto item = m_items.find(machine);
    if (item != m_items.end()) {
      item->second.has_started = true;
      // The machine counts as down until it is listed as up.
      item->second.stage = MachineStage::kDown;
    }
  }
}

bool MachineWave::Update(const std::map<core::MachineId, Machine>& machines,
                         const std::set<core::MachineId>& shared,
                         core::TimePoint now) {
  bool is_changed = false;
  for (auto& [id, item] : m_items) {
    const auto machine = machines.find(id);
    item.exists = machine != machines.end();
    if (!item.exists) {
      continue;
    }
    const MachineState state = machine->second.state;
    const bool is_down_for_wave = state == MachineState::kMaintenance &&
                                  (item.has_started || shared.count(id) == 0);
    if (is_down_for_wave && !item.has_started) {
      item.has_started = true;
      is_changed = true;
    }
    if (is_down_for_wave && item.stage != MachineStage::kReturned) {
      item.stage = MachineStage::kDown;
      item.was_listed_down = true;
    }
    const bool has_new_worker = !item.worker.IsEmpty() &&
                                !machine->second.worker.IsEmpty() &&
                                machine->second.worker != item.worker;
    const bool has_returned = item.stage == MachineStage::kDown &&
                              item.has_started && state == MachineState::kUp &&
                              (item.was_listed_down || has_new_worker ||
                               item.replied_at + kAssumeReturnedAfter < now);
    if (has_returned) {
      item.stage = MachineStage::kReturned;
    }
    if (item.stage < MachineStage::kTakeDownSent) {
      item.worker = machine->second.worker;
    }
  }
  return is_changed;
}

bool MachineWave::MayDrain(const WorkerUsage& usage,
                           int elapsed_percent) const {
  return usage.finite_runs == 0 || elapsed_percent >= kIdleOnlyUntilPercent;
}

std::vector<core::MachineId> MachineWave::ChooseNext(
    const std::map<core::MachineId, Machine>& machines,
    const UsageByMachine& usage,
    core::TimePoint now) {
  const int elapsed_percent =
      m_request.time_limit.count() > 0
          ? static_cast<int>(100 * (now - m_requested_at) /
                             m_request.time_limit)
          : kPoolLimitUntilPercent;
  std::map<core::PoolId, std::size_t> in_pool;
  std::map<core::PoolId, std::size_t> unavailable;
  for (const auto& [id, machine] : machines) {
    ++in_pool[machine.pool];
    const std::optional<MachineStage> stage = StageOf(id);
    const bool is_unavailable = machine.state != MachineState::kUp ||
                                (stage && *stage != MachineStage::kPending &&
                                 *stage != MachineStage::kReturned);
    unavailable[machine.pool] += is_unavailable ? 1 : 0;
  }
  std::vector<std::pair<WorkerUsage, const Machine*>> candidates;
  for (const auto& [id, item] : m_items) {
    const auto machine = machines.find(id);
    if (item.stage != MachineStage::kPending || machine == machines.end() ||
        machine->second.state != MachineState::kUp) {
      continue;
    }
    const auto machine_usage = usage.find(id);
    candidates.emplace_back(
        machine_usage == usage.end() ? WorkerUsage{} : machine_usage->second,
        &machine->second);
  }
  // Machines with the fewest runs come first: they drain soonest, and taking
  // them down interrupts the fewest runs.
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& left, const auto& right) {
                     return std::pair(left.first.long_running_runs,
                                      left.first.finite_runs) <
                            std::pair(right.first.long_running_runs,
                                      right.first.finite_runs);
                   });
  std::size_t in_progress = MachinesAt(MachineStage::kDraining).size() +
                            MachinesAt(MachineStage::kTakeDownSent).size() +
                            MachinesAt(MachineStage::kDown).size();
  std::vector<core::MachineId> chosen;
  for (const auto& [machine_usage, machine] : candidates) {
    const std::size_t max_unavailable = std::max<std::size_t>(
        1, in_pool[machine->pool] * kMaxPoolUnavailablePercent / 100);
    // The pool limit does not apply to machines without a worker, such as those
    // on standby: they carry no load.
    const bool is_within_pool_limit =
        elapsed_percent >= kPoolLimitUntilPercent ||
        machine->worker.IsEmpty() ||
        unavailable[machine->pool] < max_unavailable;
    if (in_progress >= m_request.max_machines_down || !is_within_pool_limit ||
        !MayDrain(machine_usage, elapsed_percent)) {
      continue;
    }
    ++in_progress;
    ++unavailable[machine->pool];
    chosen.push_back(machine->id);
  }
  return chosen;
}

void MachineWave::StartDraining(const core::MachineId& machine) {
  m_items.at(machine).stage = MachineStage::kDraining;
}

void MachineWave::MarkTakeDownSent(const core::MachineId& machine) {
  m_items.at(machine).stage = MachineStage::kTakeDownSent;
}

bool MachineWave::HandleReply(const core::MachineId& machine,
                              MachineCommandOutcome outcome,
                              core::TimePoint now) {
  const auto found = m_items.find(machine);
  if (found == m_items.end() ||
      found->second.stage != MachineStage::kTakeDownSent) {
    return false;
  }
  Item& item = found->second;
  switch (outcome) {
    case MachineCommandOutcome::kDone:
      item.stage = MachineStage::kDown;
      item.has_started = true;
      item.replied_at = now;
      return true;
    case MachineCommandOutcome::kNotInWave:
      item.stage = MachineStage::kReturned;
      item.exists = false;
      return false;
    case MachineCommandOutcome::kBusy:
    case MachineCommandOutcome::kRefused:
      // An earlier command without a reply may still be executed, so the
      // machine keeps draining and the command is sent again.
      item.stage = MachineStage::kDraining;
      return false;
    case MachineCommandOutcome::kFenced:
    case MachineCommandOutcome::kUnknown:
      return false;
  }
  return false;
}

std::optional<MachineStage> MachineWave::StageOf(
    const core::MachineId& machine) const {
  const auto item = m_items.find(machine);
  return item == m_items.end() ? std::nullopt
                               : std::optional(item->second.stage);
}

bool MachineWave::IsInProgress(const core::MachineId& machine) const {
  const std::optional<MachineStage> stage = StageOf(machine);
  return stage && *stage != MachineStage::kPending &&
         *stage != MachineStage::kReturned;
}

std::vector<core::MachineId> MachineWave::MachinesAt(MachineStage stage) const {
  std::vector<core::MachineId> machines;
  for (const auto& [id, item] : m_items) {
    if (item.stage == stage && item.exists) {
      machines.push_back(id);
    }
  }
  return machines;
}

bool MachineWave::CanTakeDownMore() const {
  return MachinesAt(MachineStage::kTakeDownSent).size() +
             MachinesAt(MachineStage::kDown).size() <
         m_request.max_machines_down;
}

bool MachineWave::IsDone() const {
  return std::all_of(m_items.begin(), m_items.end(), [](const auto& entry) {
    return entry.second.has_started || !entry.second.exists;
  });
}

std::vector<core::MachineId> MachineWave::StartedMachines() const {
  std::vector<core::MachineId> started;
  for (const auto& [id, item] : m_items) {
    if (item.has_started) {
      started.push_back(id);
    }
  }
  return started;
}

}  // namespace crocusmast::upkeep
