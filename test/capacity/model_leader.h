#ifndef TEST_CAPACITY_MODEL_LEADER_H_
#define TEST_CAPACITY_MODEL_LEADER_H_

#include <chrono>
#include <optional>
#include <utility>

#include "crocusmast/upkeep/cooldown_machine_port.h"
#include "test/support/command_record_support.h"

namespace test {

namespace core = crocusmast::core;
namespace upkeep = crocusmast::upkeep;

/** @brief The leader of a model and what it stores about its commands. */
class ModelLeader {
 public:
  /**
   * @brief Begins the first term.
   * @param machines The machines.
   * @param clock The clock.
   */
  ModelLeader(upkeep::MachinePort& machines, const core::Clock& clock)
      : m_port(machines, clock, kCooldown) {
    m_port.BeginTerm(m_token, MakeResignedState());
    m_port.EnableCommands();
  }

  /** @brief Begins the term of a successor, which knows what was stored.
   * @param is_planned Whether the leader resigns; otherwise it is lost. */
  void Change(bool is_planned) {
    crocusmast::job::StoredHandover stored;
    if (is_planned) {
      stored = MakeResignedState(m_port.RemainingCooldowns());
    }
    stored.handover.leader = m_token;
    stored.commanded_machines = m_stored;
    m_token = core::FencingToken(m_token.Count() + 1);
    m_port.BeginTerm(m_token, stored);
    m_port.EnableCommands();
  }

  /** @brief Stores the record of commanded machines, if one is due. */
  void Store() {
    if (auto record = m_port.NextRecord(); record) {
      m_port.HandleStored(*record);
      m_stored = std::move(record);
    }
  }

  core::FencingToken Token() const { return m_token; }
  upkeep::CooldownMachinePort& Port() { return m_port; }

 private:
  /** @brief What commands of two leaders to a machine must be apart. */
  static constexpr std::chrono::milliseconds kCooldown{3500};

  core::FencingToken m_token{1};
  std::optional<crocusmast::job::CommandedMachines> m_stored;
  upkeep::CooldownMachinePort m_port;
};

}  // namespace test

#endif  // TEST_CAPACITY_MODEL_LEADER_H_
