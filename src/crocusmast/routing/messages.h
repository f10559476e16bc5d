#ifndef CROCUSMAST_ROUTING_MESSAGES_H_
#define CROCUSMAST_ROUTING_MESSAGES_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "crocusmast/configuration/lists.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/membership/roster_view.h"
#include "crocusmast/request/history.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/peer_port.h"
#include "crocusmast/routing/table.h"

namespace crocusmast::routing {

/** @brief Send the request to a target. */
struct SendTo {
  /** @brief The request's number. */
  core::RequestKey key;
  /** @brief The target. */
  ChosenTarget choice;
};

/** @brief Hand the request to a peer. */
struct ForwardTo {
  /** @brief The request's number. */
  core::RequestKey key;
  /** @brief The peer. */
  core::InstanceId peer;
};

/** @brief Claim the request's id at a peer. */
struct ClaimAt {
  /** @brief The request's number. */
  core::RequestKey key;
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief Names the claimant. */
  request::ClaimToken token;
};

/** @brief Tell the caller that there is no answer. */
struct GiveUp {
  /** @brief Refused or unknown. */
  request::Outcome outcome = request::Outcome::kRefused;
  /** @brief Why. */
  request::Reason reason = request::Reason::kNone;
  /** @brief When the caller may come back. */
  std::chrono::seconds retry_after{};
};

/** @brief Give the caller the latest answer, though it is a failure. */
struct ReturnAnswer {};

/** @brief What the thread that serves a request is to do next. */
using Instruction = std::
    variant<std::monostate, SendTo, ForwardTo, ClaimAt, GiveUp, ReturnAnswer>;

/** @brief Where instructions for one request arrive. */
using InstructionRing = core::BoundedRing<Instruction>;

/** @brief A request has come. */
struct Arrival {
  /** @brief What the caller said. */
  request::RequestSpec spec;
  /** @brief True if a peer handed it on; it is not handed on again. */
  bool is_forwarded = false;
  /** @brief Takes the instructions. */
  std::shared_ptr<InstructionRing> reply;
};

/** @brief An attempt has ended. */
struct SendFinished {
  /** @brief The request's number. */
  core::RequestKey key;
  /** @brief The target or peer. */
  core::InstanceId source;
  /** @brief What the attempt showed. */
  SendReport report;
  /** @brief Why a peer did not answer. */
  request::Reason reason = request::Reason::kNone;
};

/** @brief A claim at a peer has ended. */
struct ClaimFinished {
  /** @brief The request's number. */
  core::RequestKey key;
  /** @brief The peer. */
  core::InstanceId replica;
  /** @brief The outcome; empty if the peer did not answer. */
  std::optional<request::ClaimOutcome> outcome;
};

/** @brief The thread that served a request has stopped waiting. */
struct RequestAbandoned {
  /** @brief The ring given with the arrival. */
  std::shared_ptr<InstructionRing> reply;
};

/** @brief The roster has changed. */
struct RosterChanged {
  /** @brief The new view. */
  std::shared_ptr<const membership::RosterView> view;
};

/** @brief Other lists are in force. */
struct ListsChanged {
  /** @brief Their revision. */
  core::Revision revision;
  /** @brief The lists. */
  std::shared_ptr<const configuration::Lists> lists;
};

/** @brief A peer says which slots it has free. */
struct LoadsSeen {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief The pools where they changed. */
  std::vector<PoolLoad> loads;
};

/** @brief A peer has done with a target. */
struct ReleasedSeen {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief The target. */
  Released released;
};

/** @brief A borrower's news for a lender here. */
struct WantSeen {
  /** @brief The borrower. */
  core::InstanceId peer;
  /** @brief The news. */
  ShareWant demand;
};

/** @brief A lender's grant for the borrower here. */
struct GrantSeen {
  /** @brief The grant. */
  ShareGrant grant;
};

/** @brief A peer claims a request id. */
struct ClaimSeen {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief The call to answer. */
  CallNumber call;
  /** @brief The id. */
  core::RequestId id;
  /** @brief The claimant. */
  request::ClaimToken token;
};

/** @brief A peer gives a claimed id back. */
struct ReleaseSeen {
  /** @brief The id. */
  core::RequestId id;
  /** @brief The claimant. */
  request::ClaimToken token;
};

/** @brief An instance asks whether this one has done with a target. */
struct IdleAsked {
  /** @brief Who asks. */
  core::InstanceId peer;
  /** @brief The target. */
  core::InstanceId target;
};

/** @brief Asks for the decisions about a request. */
struct ExplainQuery {
  /** @brief The request. */
  core::RequestId request;
  /** @brief Takes the answer. */
  std::shared_ptr<core::BoundedRing<std::vector<request::Decision>>> reply;
};

/** @brief How one pool stands on this instance. */
struct PoolStatus {
  /** @brief The pool. */
  core::PoolId pool;
  /** @brief Free slots of the targets owned here. */
  core::Slots free;
  /** @brief Slots of theirs in use. */
  core::Slots in_flight;
  /** @brief Requests that wait here for the pool. */
  std::size_t waiting = 0;
};

/** @brief How the routing stands on this instance. */
struct RouterStatus {
  /** @brief The revision of the lists in use. */
  core::Revision revision;
  /** @brief The peers that are up. */
  std::vector<core::InstanceId> peers;
  /** @brief The pools with targets or waiting requests here. */
  std::vector<PoolStatus> pools;
  /** @brief Requests being served. */
  std::size_t requests = 0;
};

/** @brief Asks how the routing stands. */
struct StatusQuery {
  /** @brief Takes the answer. */
  std::shared_ptr<core::BoundedRing<RouterStatus>> reply;
};

/** @brief The messages of the routing duty. */
using Message = std::variant<std::monostate,
                             Arrival,
                             SendFinished,
                             ClaimFinished,
                             RequestAbandoned,
                             RosterChanged,
                             ListsChanged,
                             LoadsSeen,
                             ReleasedSeen,
                             WantSeen,
                             GrantSeen,
                             ClaimSeen,
                             ReleaseSeen,
                             IdleAsked,
                             ExplainQuery,
                             StatusQuery>;

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_MESSAGES_H_
