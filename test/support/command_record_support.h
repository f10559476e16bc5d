#ifndef TEST_SUPPORT_COMMAND_RECORD_SUPPORT_H_
#define TEST_SUPPORT_COMMAND_RECORD_SUPPORT_H_

#include <utility>
#include <vector>

#include "crocusmast/job/job_store.h"
#include "crocusmast/upkeep/cooldown_machine_port.h"

namespace test {

/** @brief The state that a leader stores when it resigns. */
inline crocusmast::job::StoredHandover MakeResignedState(
    std::vector<crocusmast::job::MachineCooldown> cooldowns = {}) {
  crocusmast::job::StoredHandover stored;
  stored.handover.fleet.machine_cooldowns = std::move(cooldowns);
  return stored;
}

/** @brief Stores the announcements of commands at once. */
inline void StoreAnnouncements(crocusmast::upkeep::CooldownMachinePort& port) {
  if (const auto record = port.NextRecord(); record) {
    port.HandleStored(*record);
  }
}

}  // namespace test

#endif  // TEST_SUPPORT_COMMAND_RECORD_SUPPORT_H_
