#include "crocusmast/upkeep/command_record.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusmast::upkeep {
namespace internal {

template <typename Map, typename Predicate>
void EraseIf(Map& map, Predicate is_erased) {
  for (auto next = map.begin(); next != map.end();) {
    next = is_erased(next->second) ? map.erase(next) : std::next(next);
  }
}

}  // namespace internal

void CommandRecord::BeginTerm(core::FencingToken token,
                              const job::StoredHandover& stored,
                              core::TimePoint now) {
  EndTerm();
  m_token = token;
  m_all_blocked_until = now;
  if (const auto& cooldowns = stored.handover.fleet.machine_cooldowns;
      cooldowns) {
    for (const job::MachineCooldown& item : *cooldowns) {
      m_blocked_until[item.machine] = now + item.cooldown_remaining;
    }
    return;
  }
  const job::CommandedMachines* commanded = stored.MachinesCommandedByLeader();
  if (commanded == nullptr || commanded->may_include_others) {
    m_all_blocked_until = now + m_cooldown;
  }
  if (commanded == nullptr) {
    return;
  }
  // The record was made before the term began.
  for (const job::MachineCooldown& item : commanded->answered) {
    m_blocked_until[item.machine] = now + item.cooldown_remaining;
  }
  for (const core::MachineId& machine : commanded->open) {
    m_blocked_until[machine] =
        now + std::max<core::Duration>(m_cooldown, kMaxMachineCommandDelay);
  }
}

void CommandRecord::EndTerm() {
  m_token = {};
  m_all_blocked_until = {};
  m_blocked_until.clear();
  m_announced.clear();
  m_commands.clear();
  m_last_record.reset();
  m_last_record_at = {};
  m_may_command.clear();
}

bool CommandRecord::IsBlocked(const core::MachineId& machine,
                              core::TimePoint now) const {
  const auto until = m_blocked_until.find(machine);
  return now < m_all_blocked_until ||
         (until != m_blocked_until.end() && now < until->second);
}

std::optional<std::size_t> CommandRecord::CountBlocked(
    core::TimePoint now) const {
  if (now < m_all_blocked_until) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(
      std::count_if(m_blocked_until.begin(), m_blocked_until.end(),
                    [now](const auto& item) { return now < item.second; }));
}

bool CommandRecord::Announce(const core::MachineId& machine,
                             core::TimePoint now) {
  m_announced[machine] = now;
  return m_may_command.count(machine) > 0;
}

void CommandRecord::AddCommand(const core::MachineId& machine,
                               core::TimePoint now) {
  m_announced.erase(machine);
  Commands& commands = m_commands[machine];
  commands.last_at = now;
  ++commands.unanswered;
}

void CommandRecord::AddReply(const MachineCommandReply& reply,
                             core::TimePoint now) {
  const auto found = m_commands.find(reply.machine);
  if (found == m_commands.end() || found->second.unanswered == 0) {
    return;
  }
  found->second.last_at = now;
  --found->second.unanswered;
  found->second.has_unknown_outcome =
      found->second.has_unknown_outcome ||
      reply.outcome == MachineCommandOutcome::kUnknown;
}

void CommandRecord::RemoveExpired(core::TimePoint now) {
  internal::EraseIf(m_announced, [now](core::TimePoint announced_at) {
    return announced_at + kAnnouncementValidity <= now;
  });
  internal::EraseIf(m_commands, [this, now](const Commands& commands) {
    return !commands.MayBeExecuted(now) && commands.last_at + m_cooldown <= now;
  });
  internal::EraseIf(m_blocked_until,
                    [now](core::TimePoint until) { return until <= now; });
}

job::CommandedMachines CommandRecord::MakeRecord(core::TimePoint now) const {
  job::CommandedMachines record;
  record.leader = m_token;
  record.may_include_others = now < m_all_blocked_until;
  std::set<core::MachineId> open;
  for (const auto& [machine, until] : m_blocked_until) {
    if (now + m_cooldown < until) {
      open.insert(machine);
    }
  }
  for (const auto& [machine, commands] : m_commands) {
    if (commands.MayBeExecuted(now)) {
      open.insert(machine);
    }
  }
  for (const auto& [machine, announced_at] : m_announced) {
    open.insert(machine);
  }
  record.open.assign(open.begin(), open.end());
  for (job::MachineCooldown& item : RemainingCooldowns(now)) {
    if (open.count(item.machine) == 0) {
      record.answered.push_back(std::move(item));
    }
  }
  return record;
}

bool CommandRecord::IsOutdated(const job::CommandedMachines& record,
                               core::TimePoint now) const {
  const bool has_same_machines =
      m_last_record && m_last_record->open == record.open &&
      m_last_record->may_include_others == record.may_include_others &&
      std::equal(m_last_record->answered.begin(), m_last_record->answered.end(),
                 record.answered.begin(), record.answered.end(),
                 [](const job::MachineCooldown& left,
                    const job::MachineCooldown& right) {
                   return left.machine == right.machine;
                 });
  return !has_same_machines ||
         (!record.answered.empty() && m_last_record_at + kMaxRecordAge <= now);
}

std::optional<job::CommandedMachines> CommandRecord::NextRecord(
    core::TimePoint now) {
  if (m_token == core::FencingToken()) {
    return std::nullopt;
  }
  RemoveExpired(now);
  const auto is_announced = [this](const core::MachineId& machine) {
    return std::binary_search(m_last_record->open.begin(),
                              m_last_record->open.end(), machine);
  };
  const bool is_urgent =
      !m_last_record || std::any_of(m_announced.begin(), m_announced.end(),
                                    [&is_announced](const auto& item) {
                                      return !is_announced(item.first);
                                    });
  if (!is_urgent && now < m_last_record_at + kRecordInterval) {
    return std::nullopt;
  }
  job::CommandedMachines record = MakeRecord(now);
  if (!IsOutdated(record, now)) {
    return std::nullopt;
  }
  m_last_record = record;
  m_last_record_at = now;
  // Once this record is stored, the earlier announcements are gone.
  std::set<core::MachineId> still_announced;
  std::set_intersection(m_may_command.begin(), m_may_command.end(),
                        record.open.begin(), record.open.end(),
                        std::inserter(still_announced, still_announced.end()));
  m_may_command = std::move(still_announced);
  return record;
}

void CommandRecord::HandleStored(const job::CommandedMachines& record) {
  if (!m_last_record || !(record.leader == m_token)) {
    return;
  }
  m_may_command.clear();
  std::set_intersection(record.open.begin(), record.open.end(),
                        m_last_record->open.begin(), m_last_record->open.end(),
                        std::inserter(m_may_command, m_may_command.end()));
}

std::vector<job::MachineCooldown> CommandRecord::RemainingCooldowns(
    core::TimePoint now) const {
  std::map<core::MachineId, core::TimePoint> blocked_until = m_blocked_until;
  for (const auto& [machine, commands] : m_commands) {
    blocked_until[machine] =
        std::max(blocked_until[machine], commands.last_at + m_cooldown);
  }
  std::vector<job::MachineCooldown> remaining;
  for (const auto& [machine, until] : blocked_until) {
    if (now < until) {
      remaining.push_back(
          {machine,
           std::chrono::duration_cast<std::chrono::milliseconds>(until - now)});
    }
  }
  return remaining;
}

}  // namespace crocusmast::upkeep
