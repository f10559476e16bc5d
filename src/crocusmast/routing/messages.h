#ifndef CROCUSMAST_ROUTING_MESSAGES_H_
#define CROCUSMAST_ROUTING_MESSAGES_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/membership/membership_view.h"
#include "crocusmast/request/decision_history.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/peer_port.h"
#include "crocusmast/routing/target_table.h"

namespace crocusmast::routing {

/** @brief Instruction: send the request to a target. */
struct SendTo {
  /** @brief The request's key. */
  core::RequestKey key;
  /** @brief The chosen target. */
  ChosenTarget choice;
};

/** @brief Instruction: forward the request to a peer. */
struct ForwardTo {
  /** @brief The request's key. */
  core::RequestKey key;
  /** @brief The peer. */
  core::InstanceId peer;
};

/** @brief Instruction: claim the request's id at a peer. */
struct ClaimAt {
  /** @brief The request's key. */
  core::RequestKey key;
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief Identifies the claimant. */
  request::ClaimToken token;
};

/** @brief Instruction: return to the caller without an answer. */
struct ReturnError {
  /** @brief The outcome: refused or unknown. */
  request::Outcome outcome = request::Outcome::kRefused;
  /** @brief The reason for the outcome. */
  request::Reason reason = request::Reason::kNone;
  /** @brief Time after which the caller may retry. */
  std::chrono::seconds retry_after{};
};

/**
 * @brief Instruction: return the latest answer to the caller, although it
 * reports a failure.
 */
struct ReturnAnswer {};

/**
 * @brief The next step for the thread that executes a request; it ignores
 * std::monostate.
 */
using Instruction = std::variant<std::monostate,
                                 SendTo,
                                 ForwardTo,
                                 ClaimAt,
                                 ReturnError,
                                 ReturnAnswer>;

/** @brief Queue of the instructions for one request. */
using InstructionRing = core::BoundedRing<Instruction>;

/** @brief A request has arrived. */
struct RequestArrived {
  /** @brief The request's properties. */
  request::RequestSpec spec;
  /** @brief True if a peer forwarded it; it is not forwarded again. */
  bool is_forwarded = false;
  /** @brief Receives the instructions. */
  std::shared_ptr<InstructionRing> instructions;
};

/** @brief An attempt to send a request has ended. */
struct AttemptFinished {
  /** @brief The request's key. */
  core::RequestKey key;
  /** @brief The target or peer of the attempt. */
  core::InstanceId destination;
  /** @brief The result of the attempt. */
  AttemptReport report;
  /** @brief The peer's reason for not answering. */
  request::Reason reason = request::Reason::kNone;
};

/** @brief A peer has replied to a claim, or has not replied in time. */
struct ClaimFinished {
  /** @brief The request's key. */
  core::RequestKey key;
  /** @brief The peer. */
  core::InstanceId replica;
  /** @brief The outcome; empty if the peer did not reply. */
  std::optional<request::ClaimOutcome> outcome;
};

/**
 * @brief The thread that executes a request has timed out while it waited for
 * an instruction, and returns without one.
 */
struct RequestAbandoned {
  /** @brief The ring that the RequestArrived message carried. */
  std::shared_ptr<InstructionRing> instructions;
};

/** @brief The membership has changed. */
struct MembershipChanged {
  /** @brief The new view. */
  std::shared_ptr<const membership::MembershipView> view;
};

/** @brief New plan lists are in force. */
struct PlanListsChanged {
  /** @brief The revision of the lists. */
  core::Revision revision;
  /** @brief The lists. */
  std::shared_ptr<const configuration::PlanLists> lists;
};

/** @brief A peer has reported its free slots. */
struct FreeSlotsReceived {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief The pools whose free slots changed. */
  std::vector<PoolFreeSlots> free_slots;
};

/** @brief A peer no longer uses a target. */
struct TargetReleaseReceived {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief The target. */
  ReleasedTarget released;
};

/** @brief A borrower's demand has arrived at the lender on this instance. */
struct QuotaDemandReceived {
  /** @brief The borrower. */
  core::InstanceId borrower;
  /** @brief The demand. */
  QuotaDemand demand;
};

/** @brief A lender's grant has arrived at the borrower on this instance. */
struct QuotaGrantReceived {
  /** @brief The grant. */
  QuotaGrant grant;
};

/** @brief A peer claims a request id. */
struct ClaimReceived {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief The call to answer. */
  CallNumber call;
  /** @brief The request id. */
  core::RequestId id;
  /** @brief The claimant. */
  request::ClaimToken token;
};

/** @brief A peer releases its claim on a request id. */
struct ClaimReleaseReceived {
  /** @brief The request id. */
  core::RequestId id;
  /** @brief The claimant. */
  request::ClaimToken token;
};

/** @brief An instance asks whether a target is idle here. */
struct IdleQueryReceived {
  /** @brief The instance that asks. */
  core::InstanceId peer;
  /** @brief The target. */
  core::InstanceId target;
};

/** @brief Asks for the decisions about a request. */
struct ExplainQuery {
  /** @brief The request. */
  core::RequestId request;
  /** @brief Receives the decisions. */
  std::shared_ptr<core::BoundedRing<std::vector<request::Decision>>> reply;
};

/** @brief State of one pool on this instance. */
struct PoolStatus {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief Free slots of the targets that this instance owns. */
  core::Slots free;
  /** @brief Slots in use on those targets. */
  core::Slots in_flight;
  /** @brief Requests that wait for the pool on this instance. */
  std::size_t waiting = 0;
};

/** @brief State of the router on this instance. */
struct RouterStatus {
  /** @brief The revision of the lists in use. */
  core::Revision revision;
  /** @brief The peers that are up. */
  std::vector<core::InstanceId> peers;
  /** @brief The pools with owned targets or waiting requests. */
  std::vector<PoolStatus> pools;
  /** @brief Number of requests in progress. */
  std::size_t requests = 0;
};

/** @brief Asks for the state of the router. */
struct StatusQuery {
  /** @brief Receives the state. */
  std::shared_ptr<core::BoundedRing<RouterStatus>> reply;
};

/** @brief The messages that the router handles. */
using Message = std::variant<std::monostate,
                             RequestArrived,
                             AttemptFinished,
                             ClaimFinished,
                             RequestAbandoned,
                             MembershipChanged,
                             PlanListsChanged,
                             FreeSlotsReceived,
                             TargetReleaseReceived,
                             QuotaDemandReceived,
                             QuotaGrantReceived,
                             ClaimReceived,
                             ClaimReleaseReceived,
                             IdleQueryReceived,
                             ExplainQuery,
                             StatusQuery>;

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_MESSAGES_H_
