#include "crocusmast/upkeep/upkeep.h"

#include <algorithm>
#include <utility>

namespace crocusmast::upkeep {

Upkeep::Upkeep(const UpkeepPorts& ports) : m_ports(ports) {}

void Upkeep::Begin(core::FencingToken token,
                   const std::vector<job::WaveNote>& notes) {
  End();
  m_is_active = true;
  m_token = token;
  for (const job::WaveNote& note : notes) {
    m_noted[note.wave] = note.begun;
  }
}

void Upkeep::End() {
  m_is_active = false;
  m_is_changed = false;
  m_is_listing = false;
  m_list_at = {};
  m_plans.clear();
  m_noted.clear();
  m_machines.clear();
  m_order_at.clear();
  m_status.clear();
}

void Upkeep::Handle(const WaveAsked& asked) {
  if (m_asked.count(asked.wave.number) == 0) {
    Log(core::Severity::kInfo,
        "Wave " + std::to_string(asked.wave.number.Count()) + " asks for " +
            std::to_string(asked.wave.machines.size()) + " machines, " +
            std::to_string(asked.wave.cap) + " at once.",
        {{"event", "wave_asked"},
         {"wave", std::to_string(asked.wave.number.Count())}});
  }
  // Read again, the wave is as old as it was.
  m_asked.emplace(asked.wave.number, Asked{asked.wave, m_ports.clock.Now()});
}

void Upkeep::Handle(const WaveRemoved& removed) {
  m_asked.erase(removed.number);
  m_plans.erase(removed.number);
}

void Upkeep::Handle(MachinesListed&& listed) {
  m_is_listing = false;
  m_list_at = m_ports.clock.Now() + kListPause;
  if (!m_is_active || !listed.is_known) {
    return;
  }
  m_machines.clear();
  for (Machine& machine : listed.machines) {
    const core::MachineId id = machine.id;
    m_machines.emplace(id, std::move(machine));
  }
  for (auto& [number, plan] : m_plans) {
    m_is_changed = plan.Update(m_machines, m_ports.clock.Now()) || m_is_changed;
  }
}

void Upkeep::Handle(const MachineReplied& replied) {
  if (!m_is_active) {
    return;
  }
  Log(core::Severity::kInfo,
      "Machine " + replied.machine.Text() + " answered its order: " +
          std::string(MachineOutcomeName(replied.outcome)) + ".",
      {{"event", "machine_answered"},
       {"machine", replied.machine.Text()},
       {"outcome", std::string(MachineOutcomeName(replied.outcome))}});
  for (auto& [number, plan] : m_plans) {
    m_is_changed =
        plan.Answer(replied.machine, replied.outcome, m_ports.clock.Now()) ||
        m_is_changed;
  }
}

void Upkeep::Handle(const StatusWritten& written) {
  if (m_is_active && written.is_stored) {
    m_status[written.wave].stored = written.is_done;
    Log(core::Severity::kInfo,
        "Wave " + std::to_string(written.wave.Count()) + " is reported as " +
            (written.is_done ? "done." : "running."),
        {{"event", "wave_reported"},
         {"wave", std::to_string(written.wave.Count())},
         {"done", written.is_done ? "true" : "false"}});
  }
}

bool Upkeep::Round(bool is_sure, const IsMoving& is_moving) {
  if (!m_is_active) {
    return false;
  }
  OpenPlans();
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_needed =
      std::any_of(m_plans.begin(), m_plans.end(),
                  [](const auto& one) { return !one.second.IsDone(); });
  if (is_needed && !m_is_listing && m_list_at <= now) {
    m_is_listing = true;
    m_ports.machines.List();
  }
  for (auto& [number, plan] : m_plans) {
    if (is_sure && !m_machines.empty()) {
      Advance(plan, is_moving);
    }
    if (is_sure) {
      Report(plan);
    }
  }
  return std::exchange(m_is_changed, false);
}

void Upkeep::OpenPlans() {
  for (const auto& [number, asked] : m_asked) {
    if (m_plans.count(number) == 0) {
      const core::TimePoint now = m_ports.clock.Now();
      WavePlan plan(asked.request, m_noted[number], asked.at);
      // The list may be older than the wave, and shows who lives where.
      m_is_changed =
          (!m_machines.empty() && plan.Update(m_machines, now)) || m_is_changed;
      m_plans.emplace(number, std::move(plan));
    }
  }
}

bool Upkeep::IsTaken(const core::MachineId& machine) const {
  return std::any_of(
      m_plans.begin(), m_plans.end(), [&machine](const auto& one) {
        const std::optional<Stage> stage = one.second.StageOf(machine);
        return stage && *stage != Stage::kWaiting && *stage != Stage::kBack;
      });
}

void Upkeep::Advance(WavePlan& plan, const IsMoving& is_moving) {
  const core::TimePoint now = m_ports.clock.Now();
  WavePlan::ReadUsage usage;
  for (const core::MachineId& id : plan.At(Stage::kWaiting)) {
    const auto machine = m_machines.find(id);
    if (machine != m_machines.end()) {
      usage[id] = m_ports.workers.UsageOf(machine->second.worker);
    }
  }
  std::map<core::MachineId, Machine> settled = m_machines;
  for (auto& [id, machine] : settled) {
    if (is_moving(id)) {
      machine.state = MachineState::kMoving;
    }
  }
  for (const core::MachineId& id : plan.ChooseNext(settled, usage, now)) {
    plan.Empty(id);
    Log(core::Severity::kInfo, "Machine " + id.Text() + " is emptied.",
        {{"event", "machine_emptied"},
         {"machine", id.Text()},
         {"passing", std::to_string(usage[id].passing)},
         {"lasting", std::to_string(usage[id].lasting)},
         {"wave", std::to_string(plan.Request().number.Count())}});
  }
  for (const core::MachineId& id : plan.At(Stage::kEmptying)) {
    const core::InstanceId& worker = m_machines[id].worker;
    m_ports.workers.SetAside(worker);
    if (plan.HasRoom() && m_ports.workers.IsEmpty(worker)) {
      Order(plan, id);
    }
  }
  for (const core::MachineId& id : plan.At(Stage::kOrdered)) {
    Order(plan, id);
  }
}

void Upkeep::Order(WavePlan& plan, const core::MachineId& machine) {
  const core::TimePoint now = m_ports.clock.Now();
  core::TimePoint& order_at = m_order_at[machine];
  if (now < order_at || !m_ports.machines.IsOpen(machine)) {
    return;
  }
  order_at = now + kOrderRetry;
  plan.Order(machine);
  Log(core::Severity::kInfo, "Machine " + machine.Text() + " goes down.",
      {{"event", "machine_ordered"},
       {"machine", machine.Text()},
       {"wave", std::to_string(plan.Request().number.Count())},
       {"token", std::to_string(m_token.Count())}});
  m_ports.machines.TakeDown(m_token, machine, plan.Request().number);
}

void Upkeep::Report(WavePlan& plan) {
  const core::WaveNumber number = plan.Request().number;
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_done = plan.IsDone() && !m_machines.empty();
  Status& status = m_status[number];
  if (status.stored == is_done || now < status.write_at) {
    return;
  }
  status.write_at = now + kStatusPause;
  m_ports.machines.WriteStatus(m_token, number, is_done);
}

std::vector<job::WaveNote> Upkeep::Notes() const {
  std::vector<job::WaveNote> notes;
  for (const auto& [number, plan] : m_plans) {
    notes.push_back({number, plan.Begun()});
  }
  return notes;
}

void Upkeep::Log(core::Severity severity,
                 std::string sentence,
                 std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(severity)) {
    m_ports.logger.Write({core::Part::kUpkeep, severity, std::move(sentence),
                          std::move(fields)});
  }
}

}  // namespace crocusmast::upkeep
