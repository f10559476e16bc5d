#ifndef CROCUSMAST_MAINTENANCE_MESSAGES_H_
#define CROCUSMAST_MAINTENANCE_MESSAGES_H_

#include <memory>
#include <variant>
#include <vector>

#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/maintenance/wave_store.h"
#include "crocusmast/membership/membership_view.h"

namespace crocusmast::maintenance {

/** @brief Operator's command for the wave. */
enum class Command { kStart, kPause, kResume, kStatus };

/** @brief Reply to a command: the wave after it, or the error. */
using CommandReply = std::variant<StoredWave, core::Error>;

/** @brief An operator has sent a command. */
struct CommandReceived {
  /** @brief Command to execute. */
  Command command = Command::kStatus;
  /** @brief Pools to maintain; only for kStart. */
  std::vector<core::PoolId> pools;
  /** @brief Receives the reply. */
  std::shared_ptr<core::BoundedRing<CommandReply>> reply;
};

/** @brief The membership has changed. */
struct MembershipChanged {
  /** @brief New membership. */
  std::shared_ptr<const membership::MembershipView> view;
};

/** @brief The plan lists have changed. */
struct PlanListsChanged {
  /** @brief Current plan lists. */
  std::shared_ptr<const configuration::PlanLists> lists;
};

/**
 * @brief Reply of an entry instance about its requests in flight on a target.
 */
struct IdleReplyReceived {
  /** @brief Entry instance that replied. */
  core::InstanceId entry;
  /** @brief Target that the reply is about. */
  core::InstanceId target;
  /**
   * @brief True if the entry instance has nothing in flight on the target and
   * will send nothing more.
   */
  bool is_idle = false;
};

/** @brief Messages of the maintenance thread. */
using Message = std::variant<std::monostate,
                             CommandReceived,
                             MembershipChanged,
                             PlanListsChanged,
                             IdleReplyReceived>;

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_MESSAGES_H_
