#ifndef CROCUSMAST_ROUTING_PENDING_H_
#define CROCUSMAST_ROUTING_PENDING_H_

#include <memory>
#include <optional>
#include <set>

#include "crocusmast/request/request.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/placements.h"
#include "crocusmast/routing/wait_queue.h"

namespace crocusmast::routing {

/** @brief A request that this instance serves. */
struct PendingRequest {
  /** @brief The request. */
  request::Request request;
  /** @brief Its number. */
  core::RequestKey key;
  /** @brief Takes the instructions. */
  std::shared_ptr<InstructionRing> reply;
  /** @brief Where it waits or would wait. */
  QueueKey queue_key;
  /** @brief The slot that it has of a target here. */
  std::optional<ChosenTarget> choice;
  /** @brief The holders that remember its id for it. */
  std::set<core::InstanceId> claims;
  /** @brief Whether it stands in the queue. */
  bool is_queued = false;
  /** @brief Whether it waits to claim its id again. */
  bool needs_claim = false;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PENDING_H_
