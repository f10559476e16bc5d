#ifndef CROCUSMAST_CONFIGURATION_MESSAGES_H_
#define CROCUSMAST_CONFIGURATION_MESSAGES_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/core/bounded_ring.h"

namespace crocusmast::configuration {

/** @brief The answer to an edit: the revision in force, or why not. */
using ApplyReply = std::variant<core::Revision, core::Error>;
/** @brief The answer to a query: lists and revision, or why not. */
using ViewReply = std::variant<Snapshot, core::Error>;

/** @brief An operator's edit. */
struct ApplyEdit {
  /** @brief The edit. */
  Edit edit;
  /** @brief Takes the answer. */
  std::shared_ptr<core::BoundedRing<ApplyReply>> reply;
};

/** @brief Changes read from the store or sent by a peer. */
struct ChangesSeen {
  /** @brief The peer that sent them; empty for the store. */
  core::InstanceId source;
  /** @brief The changes in order. */
  std::vector<Change> changes;
};

/** @brief Whole lists read from the store or sent by a peer. */
struct SnapshotSeen {
  /** @brief The lists and their revision. */
  Snapshot snapshot;
};

/** @brief The revision that a peer has in force. */
struct PeerRevision {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief Its revision. */
  core::Revision revision;
};

/** @brief A peer's wish for what is newer than its revision. */
struct PullRequested {
  /** @brief The peer. */
  core::InstanceId peer;
  /** @brief Its revision. */
  core::Revision after;
};

/** @brief Asks for the lists at a revision. */
struct ViewQuery {
  /** @brief The revision; empty for the one in force. */
  std::optional<core::Revision> revision;
  /** @brief Takes the answer. */
  std::shared_ptr<core::BoundedRing<ViewReply>> reply;
};

/** @brief Asks for the changes kept. */
struct HistoryQuery {
  /** @brief Takes the answer, oldest first. */
  std::shared_ptr<core::BoundedRing<std::vector<Change>>> reply;
};

/** @brief The messages of the configuration duty. */
using Message = std::variant<std::monostate,
                             ApplyEdit,
                             ChangesSeen,
                             SnapshotSeen,
                             PeerRevision,
                             PullRequested,
                             ViewQuery,
                             HistoryQuery>;

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_MESSAGES_H_
