#ifndef CROCUSMAST_ADAPTERS_PEER_MESSAGE_H_
#define CROCUSMAST_ADAPTERS_PEER_MESSAGE_H_

#include <string>
#include <variant>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/routing/peer_port.h"

namespace crocusmast::adapters {

/** @brief First message on a link, sent by both sides. */
struct HelloMessage {
  /** @brief Id of the sender. */
  core::InstanceId instance;
  /** @brief Configuration revision active at the sender. */
  core::Revision revision;
};

/** @brief Sent periodically on each link. */
struct HeartbeatMessage {
  /** @brief Configuration revision active at the sender. */
  core::Revision revision;
};

/** @brief Reports the free slots per pool at the sender. */
struct FreeSlotsMessage {
  /** @brief Pools whose free slots changed. */
  std::vector<routing::PoolFreeSlots> free_slots;
};

/** @brief Reports the occupied and wanted slots of a quota to the lender. */
struct QuotaDemandMessage {
  /** @brief Occupied and wanted slots. */
  routing::QuotaDemand demand;
};

/** @brief Tells a borrower how many slots of a quota it may use. */
struct QuotaGrantMessage {
  /** @brief The grant. */
  routing::QuotaGrant grant;
};

/** @brief Claims a request id, so that only one instance processes it. */
struct ClaimMessage {
  /** @brief Number of the call. */
  routing::CallNumber call;
  /** @brief The request id. */
  core::RequestId id;
  /** @brief Identifies the claimant. */
  request::ClaimToken token;
};

/** @brief Reply to a claim. */
struct ClaimReplyMessage {
  /** @brief Number of the call. */
  routing::CallNumber call;
  /** @brief Outcome of the claim. */
  request::ClaimOutcome outcome = request::ClaimOutcome::kFull;
};

/** @brief Releases the claim on a request id. */
struct ClaimReleaseMessage {
  /** @brief The request id. */
  core::RequestId id;
  /** @brief Identifies the claimant. */
  request::ClaimToken token;
};

/** @brief Forwards a request. */
struct ForwardMessage {
  /** @brief Number of the call. */
  routing::CallNumber call;
  /** @brief Specification of the request; the receiver sets the deadline. */
  request::RequestSpec spec;
  /** @brief Time left until the deadline; instances share no clock. */
  std::chrono::milliseconds remaining{};
  /** @brief Body of the request. */
  std::string body;
};

/** @brief Reply to a forwarded request. */
struct ForwardReplyMessage {
  /** @brief Number of the call. */
  routing::CallNumber call;
  /**
   * @brief Whether a target answered the request, did not run it or may have
   * run it.
   */
  request::DeliveryStatus delivery = request::DeliveryStatus::kUnknown;
  /** @brief Why the request was not answered. */
  request::Reason reason = request::Reason::kNone;
  /** @brief Response of the target. */
  routing::Answer answer;
};

/** @brief Sends configuration changes, in order of revision. */
struct ChangesMessage {
  /** @brief The changes. */
  std::vector<configuration::Change> changes;
};

/** @brief Requests the changes after a revision. */
struct ChangesRequestMessage {
  /** @brief Revision after which changes are requested. */
  core::Revision after;
};

/** @brief Sends a complete configuration. */
struct SnapshotMessage {
  /** @brief The configuration and its revision. */
  configuration::Snapshot snapshot;
};

/** @brief Reports that a target or the sender is shutting down. */
struct InstanceLeavingMessage {
  /** @brief Id of the target or of the sender. */
  core::InstanceId instance;
};

/** @brief Asks whether the receiver has finished using a target. */
struct IdleQueryMessage {
  /** @brief The target. */
  core::InstanceId target;
};

/** @brief Reports whether the sender has finished using a target. */
struct IdleReplyMessage {
  /** @brief The target. */
  core::InstanceId target;
  /**
   * @brief True if no request is in flight to the target and none will be sent.
   */
  bool is_idle = false;
};

/**
 * @brief Reports that the sender has finished using a target that another
 * instance owns now.
 */
struct TargetReleaseMessage {
  /** @brief The target and its incarnation. */
  routing::ReleasedTarget released;
};

/**
 * @brief A message between entry instances; the variant index is the type
 * number on the wire.
 */
using PeerMessage = std::variant<std::monostate,
                                 HelloMessage,
                                 HeartbeatMessage,
                                 FreeSlotsMessage,
                                 QuotaDemandMessage,
                                 QuotaGrantMessage,
                                 ClaimMessage,
                                 ClaimReplyMessage,
                                 ClaimReleaseMessage,
                                 ForwardMessage,
                                 ForwardReplyMessage,
                                 ChangesMessage,
                                 ChangesRequestMessage,
                                 SnapshotMessage,
                                 InstanceLeavingMessage,
                                 IdleQueryMessage,
                                 IdleReplyMessage,
                                 TargetReleaseMessage>;

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PEER_MESSAGE_H_
