#include "crocusmast/upkeep/upkeep_controller.h"

#include <algorithm>
#include <utility>

namespace crocusmast::upkeep {

UpkeepController::UpkeepController(const UpkeepControllerPorts& ports)
    : m_ports(ports) {}

void UpkeepController::BeginTerm(
    core::FencingToken token,
    const std::vector<job::WaveProgress>& progress) {
  EndTerm();
  m_is_active = true;
  m_token = token;
  for (const job::WaveProgress& wave_progress : progress) {
    m_started_earlier[wave_progress.wave] = wave_progress.started_machines;
  }
}

void UpkeepController::EndTerm() {
  m_is_active = false;
  m_has_new_progress = false;
  m_is_list_pending = false;
  m_next_list_at = {};
  m_waves.clear();
  m_started_earlier.clear();
  m_machines.clear();
  m_next_command_at.clear();
  m_status.clear();
}

void UpkeepController::Handle(const WaveRequested& message) {
  if (m_requested.count(message.wave.number) == 0) {
    Log(core::Severity::kInfo,
        "Wave " + std::to_string(message.wave.number.Count()) +
            " requested for " + std::to_string(message.wave.machines.size()) +
            " machines, at most " +
            std::to_string(message.wave.max_machines_down) +
            " down at the same time.",
        {{"event", "wave_asked"},
         {"wave", std::to_string(message.wave.number.Count())}});
  }
  // A wave that is read again keeps the time at which it was first read.
  m_requested.emplace(message.wave.number,
                      RequestedWave{message.wave, m_ports.clock.Now()});
}

void UpkeepController::Handle(const WaveRemoved& message) {
  const auto requested = m_requested.find(message.number);
  if (requested != m_requested.end()) {
    const std::vector<core::MachineId>& machines =
        requested->second.request.machines;
    m_withdrawn_machines.insert(machines.begin(), machines.end());
    m_requested.erase(requested);
  }
  m_waves.erase(message.number);
}

void UpkeepController::Handle(MachineListReceived&& list) {
  m_is_list_pending = false;
  m_next_list_at = m_ports.clock.Now() + kListInterval;
  if (!m_is_active || !list.is_known) {
    return;
  }
  m_machines.clear();
  for (Machine& machine : list.machines) {
    const core::MachineId id = machine.id;
    m_machines.emplace(id, std::move(machine));
  }
  for (auto& [number, wave] : m_waves) {
    m_has_new_progress = UpdateWave(wave) || m_has_new_progress;
  }
}

bool UpkeepController::UpdateWave(MachineWave& wave) {
  return wave.Update(m_machines, MachinesOfOtherWaves(wave.Request().number),
                     m_ports.clock.Now());
}

std::set<core::MachineId> UpkeepController::MachinesOfOtherWaves(
    core::WaveNumber number) const {
  std::set<core::MachineId> machines = m_withdrawn_machines;
  for (const auto& [other, requested] : m_requested) {
    if (other != number) {
      machines.insert(requested.request.machines.begin(),
                      requested.request.machines.end());
    }
  }
  return machines;
}

void UpkeepController::Handle(const MachineCommandReply& reply) {
  if (!m_is_active || !reply.wave) {
    return;
  }
  Log(core::Severity::kInfo,
      "Reply to the command for machine " + reply.machine.Text() + ": " +
          std::string(MachineCommandOutcomeName(reply.outcome)) + ".",
      {{"event", "machine_answered"},
       {"machine", reply.machine.Text()},
       {"wave", std::to_string(reply.wave->Count())},
       {"outcome", std::string(MachineCommandOutcomeName(reply.outcome))}});
  const auto wave = m_waves.find(*reply.wave);
  if (wave != m_waves.end()) {
    m_has_new_progress = wave->second.HandleReply(reply.machine, reply.outcome,
                                                  m_ports.clock.Now()) ||
                         m_has_new_progress;
  }
}

void UpkeepController::Handle(const WaveStatusReply& reply) {
  if (m_is_active && reply.is_stored) {
    m_status[reply.wave].stored = reply.is_done;
    Log(core::Severity::kInfo,
        "Status of wave " + std::to_string(reply.wave.Count()) +
            " is stored as " + (reply.is_done ? "done." : "running."),
        {{"event", "wave_reported"},
         {"wave", std::to_string(reply.wave.Count())},
         {"done", reply.is_done ? "true" : "false"}});
  }
}

bool UpkeepController::RunCycle(bool is_lease_valid,
                                const MovingPredicate& is_moving) {
  if (!m_is_active) {
    return false;
  }
  CreateWaves();
  const core::TimePoint now = m_ports.clock.Now();
  const bool has_unfinished_wave =
      std::any_of(m_waves.begin(), m_waves.end(),
                  [](const auto& entry) { return !entry.second.IsDone(); });
  if (has_unfinished_wave && !m_is_list_pending && m_next_list_at <= now) {
    m_is_list_pending = true;
    m_ports.machines.RequestMachineList();
  }
  for (auto& [number, wave] : m_waves) {
    if (is_lease_valid && !m_machines.empty() && !wave.IsDone()) {
      Advance(wave, is_moving);
    }
    if (is_lease_valid) {
      MaybeWriteStatus(wave);
    }
  }
  return std::exchange(m_has_new_progress, false);
}

void UpkeepController::CreateWaves() {
  for (const auto& [number, requested] : m_requested) {
    if (m_waves.count(number) == 0) {
      MachineWave wave(requested.request, m_started_earlier[number],
                       requested.requested_at);
      // The last machine list may be older than the wave, but it shows which
      // worker runs on which machine.
      m_has_new_progress =
          (!m_machines.empty() && UpdateWave(wave)) || m_has_new_progress;
      m_waves.emplace(number, std::move(wave));
    }
  }
}

bool UpkeepController::IsReserved(const core::MachineId& machine) const {
  return std::any_of(m_waves.begin(), m_waves.end(),
                     [&machine](const auto& entry) {
                       return entry.second.IsInProgress(machine);
                     });
}

std::set<core::InstanceId> UpkeepController::DrainedWorkers() const {
  std::set<core::InstanceId> workers;
  for (const auto& [number, wave] : m_waves) {
    for (const core::MachineId& id : wave.Request().machines) {
      const auto machine = m_machines.find(id);
      if (machine != m_machines.end() && wave.IsInProgress(id)) {
        workers.insert(machine->second.worker);
      }
    }
  }
  return workers;
}

void UpkeepController::Advance(MachineWave& wave,
                               const MovingPredicate& is_moving) {
  DrainNext(wave, is_moving);
  for (const core::MachineId& id : wave.MachinesAt(MachineStage::kDraining)) {
    const core::InstanceId& worker = m_machines[id].worker;
    m_ports.workers.DrainWorker(worker);
    if (wave.CanTakeDownMore() && m_ports.workers.IsConfirmedIdle(worker)) {
      MaybeSendTakeDown(wave, id);
    }
  }
  for (const core::MachineId& id :
       wave.MachinesAt(MachineStage::kTakeDownSent)) {
    MaybeSendTakeDown(wave, id);
  }
}

void UpkeepController::DrainNext(MachineWave& wave,
                                 const MovingPredicate& is_moving) {
  const core::TimePoint now = m_ports.clock.Now();
  MachineWave::UsageByMachine usage;
  for (const core::MachineId& id : wave.MachinesAt(MachineStage::kPending)) {
    const auto machine = m_machines.find(id);
    if (machine != m_machines.end()) {
      usage[id] = m_ports.workers.UsageOf(machine->second.worker);
    }
  }
  if (usage.empty()) {
    return;
  }
  std::map<core::MachineId, Machine> machines = m_machines;
  for (auto& [id, machine] : machines) {
    // One order at a time: its machine is in no other wave's hands.
    if (is_moving(id) || (!wave.IsInProgress(id) && IsReserved(id))) {
      machine.state = MachineState::kMoving;
    }
  }
  for (const core::MachineId& id : wave.ChooseNext(machines, usage, now)) {
    wave.StartDraining(id);
    Log(core::Severity::kInfo, "Draining machine " + id.Text() + ".",
        {{"event", "machine_emptied"},
         {"machine", id.Text()},
         {"passing", std::to_string(usage[id].finite_runs)},
         {"lasting", std::to_string(usage[id].long_running_runs)},
         {"wave", std::to_string(wave.Request().number.Count())}});
  }
}

void UpkeepController::MaybeSendTakeDown(MachineWave& wave,
                                         const core::MachineId& machine) {
  const core::TimePoint now = m_ports.clock.Now();
  core::TimePoint& next_command_at = m_next_command_at[machine];
  if (now < next_command_at || !m_ports.machines.MayCommand(machine) ||
      !m_ports.machines.Announce(machine)) {
    return;
  }
  next_command_at = now + kCommandRetryInterval;
  wave.MarkTakeDownSent(machine);
  Log(core::Severity::kInfo, "Taking down machine " + machine.Text() + ".",
      {{"event", "machine_ordered"},
       {"machine", machine.Text()},
       {"wave", std::to_string(wave.Request().number.Count())},
       {"token", std::to_string(m_token.Count())}});
  m_ports.machines.TakeDown(m_token, machine, wave.Request().number);
}

void UpkeepController::MaybeWriteStatus(MachineWave& wave) {
  const core::WaveNumber number = wave.Request().number;
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_done = wave.IsDone() && !m_machines.empty();
  Status& status = m_status[number];
  if (status.stored == is_done || now < status.next_write_at) {
    return;
  }
  status.next_write_at = now + kStatusRetryInterval;
  m_ports.machines.WriteWaveStatus(m_token, number, is_done);
}

std::vector<job::WaveProgress> UpkeepController::Progress() const {
  std::vector<job::WaveProgress> progress;
  for (const auto& [number, wave] : m_waves) {
    progress.push_back({number, wave.StartedMachines()});
  }
  return progress;
}

void UpkeepController::Log(core::Severity severity,
                           std::string sentence,
                           std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(severity)) {
    m_ports.logger.Write({core::Component::kUpkeep, severity,
                          std::move(sentence), std::move(fields)});
  }
}

}  // namespace crocusmast::upkeep
