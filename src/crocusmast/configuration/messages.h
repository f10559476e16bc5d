#ifndef CROCUSMAST_CONFIGURATION_MESSAGES_H_
#define CROCUSMAST_CONFIGURATION_MESSAGES_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::configuration {

/** @brief Reply to an edit: the accepted revision, or the error. */
using ApplyReply = std::variant<core::Revision, core::Error>;
/** @brief Reply to a query: lists with their revision, or the error. */
using SnapshotReply = std::variant<Snapshot, core::Error>;

/** @brief Applies an operator's edit. */
struct ApplyEdit {
  /** @brief Edit to apply. */
  Edit edit;
  /** @brief Receives the reply. */
  std::shared_ptr<core::BoundedRing<ApplyReply>> reply;
};

/** @brief Changes were read from the store or received from a peer. */
struct ChangesReceived {
  /** @brief Peer that sent the changes; empty if they are from the store. */
  core::InstanceId source;
  /** @brief Changes in the order of their revisions. */
  std::vector<Change> changes;
};

/** @brief A snapshot was read from the store or received from a peer. */
struct SnapshotReceived {
  /** @brief Received snapshot. */
  Snapshot snapshot;
};

/** @brief A peer has reported its current revision. */
struct PeerRevisionReported {
  /** @brief Peer that sent the message. */
  core::InstanceId peer;
  /** @brief Current revision of the peer. */
  core::Revision revision;
};

/** @brief A peer has requested the changes after its revision. */
struct ChangesRequested {
  /** @brief Peer that sent the message. */
  core::InstanceId peer;
  /** @brief Current revision of the peer; it lacks the changes after it. */
  core::Revision after;
};

/** @brief Queries the lists of a revision. */
struct SnapshotQuery {
  /** @brief Revision to return; empty for the current one. */
  std::optional<core::Revision> revision;
  /** @brief Receives the reply. */
  std::shared_ptr<core::BoundedRing<SnapshotReply>> reply;
};

/** @brief Queries the retained history of changes. */
struct HistoryQuery {
  /** @brief Receives the changes, oldest first. */
  std::shared_ptr<core::BoundedRing<std::vector<Change>>> reply;
};

/** @brief Messages of the configuration thread. */
using Message = std::variant<std::monostate,
                             ApplyEdit,
                             ChangesReceived,
                             SnapshotReceived,
                             PeerRevisionReported,
                             ChangesRequested,
                             SnapshotQuery,
                             HistoryQuery>;

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_MESSAGES_H_
