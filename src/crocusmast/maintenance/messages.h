#ifndef CROCUSMAST_MAINTENANCE_MESSAGES_H_
#define CROCUSMAST_MAINTENANCE_MESSAGES_H_

#include <memory>
#include <variant>
#include <vector>

#include "crocusmast/configuration/lists.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/maintenance/wave_store.h"
#include "crocusmast/membership/roster_view.h"

namespace crocusmast::maintenance {

/** @brief What an operator wants of the wave. */
enum class Command { kStart, kPause, kResume, kStatus };

/** @brief The wave after a command, or why not. */
using CommandReply = std::variant<StoredWave, core::Error>;

/** @brief An operator's command. */
struct CommandGiven {
  /** @brief The command. */
  Command command = Command::kStatus;
  /** @brief The pools, for a start. */
  std::vector<core::PoolId> pools;
  /** @brief Takes the answer. */
  std::shared_ptr<core::BoundedRing<CommandReply>> reply;
};

/** @brief The roster has changed. */
struct RosterChanged {
  /** @brief The new view. */
  std::shared_ptr<const membership::RosterView> view;
};

/** @brief Other lists are in force. */
struct ListsChanged {
  /** @brief The lists. */
  std::shared_ptr<const configuration::Lists> lists;
};

/** @brief An entry instance says what it has in flight on a target. */
struct IdleSeen {
  /** @brief The entry instance. */
  core::InstanceId entry;
  /** @brief The target. */
  core::InstanceId target;
  /** @brief True if it has nothing in flight and will send nothing. */
  bool is_idle = false;
};

/** @brief The messages of the maintenance duty. */
using Message = std::variant<std::monostate,
                             CommandGiven,
                             RosterChanged,
                             ListsChanged,
                             IdleSeen>;

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_MESSAGES_H_
