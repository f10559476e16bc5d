#include "crocusmast/upkeep/wave_plan.h"

#include <algorithm>
#include <utility>

namespace crocusmast::upkeep {

WavePlan::WavePlan(WaveRequest request,
                   const std::vector<core::MachineId>& begun,
                   core::TimePoint asked_at)
    : m_request(std::move(request)), m_asked_at(asked_at) {
  for (const core::MachineId& machine : m_request.machines) {
    m_items[machine];
  }
  for (const core::MachineId& machine : begun) {
    const auto item = m_items.find(machine);
    if (item != m_items.end()) {
      item->second.has_begun = true;
      // Down until the list says otherwise.
      item->second.stage = Stage::kDown;
    }
  }
}

bool WavePlan::Update(const std::map<core::MachineId, Machine>& machines,
                      core::TimePoint now) {
  bool is_changed = false;
  for (auto& [id, item] : m_items) {
    const auto machine = machines.find(id);
    item.exists = machine != machines.end();
    if (!item.exists) {
      continue;
    }
    const MachineState state = machine->second.state;
    if (state == MachineState::kUpkeep && !item.has_begun) {
      item.has_begun = true;
      is_changed = true;
    }
    if (state == MachineState::kUpkeep) {
      item.stage = Stage::kDown;
      item.was_seen_down = true;
    }
    const bool has_new_worker = !item.worker.IsEmpty() &&
                                !machine->second.worker.IsEmpty() &&
                                machine->second.worker != item.worker;
    const bool is_back = item.stage == Stage::kDown && item.has_begun &&
                         state == MachineState::kUp &&
                         (item.was_seen_down || has_new_worker ||
                          item.answered_at + kSurelyBack < now);
    if (is_back) {
      item.stage = Stage::kBack;
    }
    if (item.stage < Stage::kOrdered) {
      item.worker = machine->second.worker;
    }
  }
  return is_changed;
}

bool WavePlan::MayEmpty(const Usage& usage, int passed_percent) const {
  return usage.passing == 0 || passed_percent >= kCalmPercent;
}

std::vector<core::MachineId> WavePlan::ChooseNext(
    const std::map<core::MachineId, Machine>& machines,
    const ReadUsage& usage,
    core::TimePoint now) {
  const int passed_percent =
      m_request.time.count() > 0
          ? static_cast<int>(100 * (now - m_asked_at) / m_request.time)
          : kPressingPercent;
  std::map<core::PoolId, std::size_t> in_pool;
  std::map<core::PoolId, std::size_t> away;
  for (const auto& [id, machine] : machines) {
    ++in_pool[machine.pool];
    const std::optional<Stage> stage = StageOf(id);
    const bool is_away =
        machine.state != MachineState::kUp ||
        (stage && *stage != Stage::kWaiting && *stage != Stage::kBack);
    away[machine.pool] += is_away ? 1 : 0;
  }
  std::vector<std::pair<Usage, const Machine*>> waiting;
  for (const auto& [id, item] : m_items) {
    const auto machine = machines.find(id);
    if (item.stage != Stage::kWaiting || machine == machines.end() ||
        machine->second.state != MachineState::kUp) {
      continue;
    }
    const auto used = usage.find(id);
    waiting.emplace_back(used == usage.end() ? Usage{} : used->second,
                         &machine->second);
  }
  // The least used first: it is empty soonest and cuts the least work.
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const auto& left, const auto& right) {
                     return std::pair(left.first.lasting, left.first.passing) <
                            std::pair(right.first.lasting, right.first.passing);
                   });
  std::size_t open = At(Stage::kEmptying).size() + At(Stage::kOrdered).size() +
                     At(Stage::kDown).size();
  std::vector<core::MachineId> chosen;
  for (const auto& [used, machine] : waiting) {
    const std::size_t share = std::max<std::size_t>(
        1, in_pool[machine->pool] * kPoolSharePercent / 100);
    // A machine without a worker, as on standby, is missed by nobody.
    const bool fits = passed_percent >= kPressingPercent ||
                      machine->worker.IsEmpty() || away[machine->pool] < share;
    if (open >= m_request.cap || !fits || !MayEmpty(used, passed_percent)) {
      continue;
    }
    ++open;
    ++away[machine->pool];
    chosen.push_back(machine->id);
  }
  return chosen;
}

void WavePlan::Empty(const core::MachineId& machine) {
  m_items.at(machine).stage = Stage::kEmptying;
}

void WavePlan::Order(const core::MachineId& machine) {
  m_items.at(machine).stage = Stage::kOrdered;
}

bool WavePlan::Answer(const core::MachineId& machine,
                      MachineOutcome outcome,
                      core::TimePoint now) {
  const auto found = m_items.find(machine);
  if (found == m_items.end() || found->second.stage != Stage::kOrdered) {
    return false;
  }
  Item& item = found->second;
  switch (outcome) {
    case MachineOutcome::kDone:
      item.stage = Stage::kDown;
      item.has_begun = true;
      item.answered_at = now;
      return true;
    case MachineOutcome::kNotOfWave:
      item.stage = Stage::kBack;
      item.exists = false;
      return false;
    case MachineOutcome::kBusy:
    case MachineOutcome::kRefused:
      // An earlier order without an answer may still be carried out, so the
      // machine stays set aside and is ordered down again.
      item.stage = Stage::kEmptying;
      return false;
    case MachineOutcome::kFenced:
    case MachineOutcome::kUnknown:
      return false;
  }
  return false;
}

std::optional<Stage> WavePlan::StageOf(const core::MachineId& machine) const {
  const auto item = m_items.find(machine);
  return item == m_items.end() ? std::nullopt
                               : std::optional(item->second.stage);
}

std::vector<core::MachineId> WavePlan::At(Stage stage) const {
  std::vector<core::MachineId> machines;
  for (const auto& [id, item] : m_items) {
    if (item.stage == stage && item.exists) {
      machines.push_back(id);
    }
  }
  return machines;
}

bool WavePlan::HasRoom() const {
  return At(Stage::kOrdered).size() + At(Stage::kDown).size() < m_request.cap;
}

bool WavePlan::IsDone() const {
  return std::all_of(m_items.begin(), m_items.end(), [](const auto& one) {
    return one.second.has_begun || !one.second.exists;
  });
}

std::vector<core::MachineId> WavePlan::Begun() const {
  std::vector<core::MachineId> begun;
  for (const auto& [id, item] : m_items) {
    if (item.has_begun) {
      begun.push_back(id);
    }
  }
  return begun;
}

}  // namespace crocusmast::upkeep
