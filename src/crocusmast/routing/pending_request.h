#ifndef CROCUSMAST_ROUTING_PENDING_REQUEST_H_
#define CROCUSMAST_ROUTING_PENDING_REQUEST_H_

#include <memory>
#include <optional>
#include <set>

#include "crocusmast/request/request.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/placement_resolver.h"
#include "crocusmast/routing/wait_queue.h"

namespace crocusmast::routing {

/** @brief A request in progress on this instance. */
struct PendingRequest {
  /** @brief The request. */
  request::Request request;
  /** @brief The request's key. */
  core::RequestKey key;
  /** @brief Receives the instructions. */
  std::shared_ptr<InstructionRing> instructions;
  /** @brief Where it is queued, or would be. */
  WaitQueueKey queue_key;
  /** @brief The slot that it holds on a target of this instance. */
  std::optional<ChosenTarget> choice;
  /** @brief The replicas that store its claim. */
  std::set<core::InstanceId> claimed_replicas;
  /** @brief Whether it is in the queue. */
  bool is_queued = false;
  /** @brief Whether its id still has to be claimed. */
  bool needs_claim = false;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PENDING_REQUEST_H_
