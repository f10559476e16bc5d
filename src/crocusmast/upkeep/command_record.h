#ifndef CROCUSMAST_UPKEEP_COMMAND_RECORD_H_
#define CROCUSMAST_UPKEEP_COMMAND_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::upkeep {

/** @brief A command without a reply may be executed for this long, like one to
 * a worker (execution::kMaxCommandDelay). */
inline constexpr std::chrono::seconds kMaxMachineCommandDelay{15};
/** @brief Interval between records that only drop machines, whose sole effect
 * is that a successor may command these earlier. */
inline constexpr std::chrono::milliseconds kRecordInterval{100};
/** @brief Interval between records that only have shorter cooldowns. */
inline constexpr std::chrono::seconds kMaxRecordAge{1};
/** @brief An announcement that is not repeated for this long was withdrawn. */
inline constexpr std::chrono::seconds kAnnouncementValidity{1};

/**
 * @brief Write-ahead record of the machines that leaders command.
 *
 * A leader announces a machine in the store before it commands it, under the
 * condition that it still leads. So if it is lost, its successor knows which
 * machines it may have commanded, and keeps its distance to these only.
 */
class CommandRecord {
 public:
  /**
   * @brief Creates a record outside a term.
   * @param cooldown Minimum time between the commands of two leaders to the
   * same machine.
   */
  explicit CommandRecord(std::chrono::milliseconds cooldown)
      : m_cooldown(cooldown) {}

  /**
   * @brief Begins a term.
   * @param token Fencing token of the term.
   * @param stored State that the earlier leader stored.
   * @param now The current time.
   */
  void BeginTerm(core::FencingToken token,
                 const job::StoredHandover& stored,
                 core::TimePoint now);

  /** @brief Ends the term. */
  void EndTerm();

  /**
   * @brief Tells whether an earlier leader may have commanded a machine too
   * recently.
   * @param machine The machine.
   * @param now The current time.
   */
  bool IsBlocked(const core::MachineId& machine, core::TimePoint now) const;

  /** @brief Returns the number of machines that earlier leaders may have
   * commanded too recently; absent if these may be any. */
  std::optional<std::size_t> CountBlocked(core::TimePoint now) const;

  /**
   * @brief Announces a command to a machine; repeated until it is sent.
   * @param machine The machine.
   * @param now The current time.
   * @return True once the announcement is stored.
   */
  bool Announce(const core::MachineId& machine, core::TimePoint now);

  /** @brief Adds a command that is sent now to an announced machine. */
  void AddCommand(const core::MachineId& machine, core::TimePoint now);

  /** @brief Adds a reply to a command, which arrives now. */
  void AddReply(const MachineCommandReply& reply, core::TimePoint now);

  /**
   * @brief Returns the record to store, if a new one is due.
   * @param now The current time.
   */
  std::optional<job::CommandedMachines> NextRecord(core::TimePoint now);

  /**
   * @brief Handles the confirmation that a record is stored.
   * @param record The record.
   */
  void HandleStored(const job::CommandedMachines& record);

  /**
   * @brief Returns the machines that a successor must not command yet, with the
   * remaining times, for a leader that sends no more commands.
   * @param now The current time.
   */
  std::vector<job::MachineCooldown> RemainingCooldowns(
      core::TimePoint now) const;

 private:
  /** @brief The commands of this leader to a machine. */
  struct Commands {
    /** @brief When the last command was sent or answered. */
    core::TimePoint last_at;
    std::uint32_t unanswered = 0;
    /** @brief One of them will get no reply. */
    bool has_unknown_outcome = false;

    /** @brief Tells whether one of them may still be executed. */
    bool MayBeExecuted(core::TimePoint now) const {
      return (unanswered > 0 || has_unknown_outcome) &&
             now < last_at + kMaxMachineCommandDelay;
    }
  };

  void RemoveExpired(core::TimePoint now);
  job::CommandedMachines MakeRecord(core::TimePoint now) const;
  bool IsOutdated(const job::CommandedMachines& record,
                  core::TimePoint now) const;

  const std::chrono::milliseconds m_cooldown;
  /** @brief Token of the term; 0 outside a term. */
  core::FencingToken m_token;
  /** @brief Time before which no machine may be commanded. */
  core::TimePoint m_all_blocked_until;
  /** @brief Times before which machines that earlier leaders may have commanded
   * may not be commanded. */
  std::map<core::MachineId, core::TimePoint> m_blocked_until;
  /** @brief Machines to be commanded, and when they were announced last. */
  std::map<core::MachineId, core::TimePoint> m_announced;
  std::map<core::MachineId, Commands> m_commands;
  /** @brief The record that was returned last, and when. */
  std::optional<job::CommandedMachines> m_last_record;
  core::TimePoint m_last_record_at;
  /** @brief Machines that the stored record, and a later one that may not be
   * stored yet, announce. */
  std::set<core::MachineId> m_may_command;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_COMMAND_RECORD_H_
