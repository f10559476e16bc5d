#include "crocusmast/configuration/service.h"

#include <string>
#include <utility>

namespace crocusmast::configuration {

void Service::Handle(Message&& message) {
  std::visit([this](auto& content) { On(content); }, message);
}

void Service::On(ApplyEdit& message) {
  message.edit.origin.at = m_ports.clock.WallNow();
  ApplyReply reply = core::Handle(
      [&]() -> core::Result<ApplyReply> {
        BOOST_LEAF_AUTO(revision, Apply(message.edit));
        return ApplyReply(revision);
      },
      [](const core::Error& error) { return ApplyReply(error); });
  message.reply->TryPush(std::move(reply));
}

core::Result<core::Revision> Service::Apply(Edit& edit) {
  CatchUpFromStore();
  for (int attempt = 0; attempt < kMaxAppendAttempts; ++attempt) {
    if (const Change* stored = m_configuration.FindChange(edit.origin.id)) {
      return stored->revision;
    }
    BOOST_LEAF_AUTO(change, m_configuration.Propose(edit));
    if (change.rows.empty()) {
      return m_configuration.CurrentRevision();
    }
    BOOST_LEAF_AUTO(is_appended, TryAppend(change));
    if (is_appended) {
      return change.revision;
    }
    CatchUpFromStore();
  }
  return core::Fail(
      core::Operation::kWriteStore, "store",
      "concurrent edits took the next revision at each attempt; try again");
}

core::Result<bool> Service::TryAppend(const Change& change) {
  BOOST_LEAF_AUTO(outcome, m_ports.store.Append(change));
  if (outcome == AppendOutcome::kRevisionTaken) {
    return false;
  }
  BOOST_LEAF_CHECK(m_configuration.ApplyChange(change));
  m_ports.peers.BroadcastChange(change);
  Publish("an edit by " + change.origin.author);
  MaybeWriteSnapshot();
  return true;
}

void Service::CatchUpFromStore() {
  core::Handle(
      [&]() -> core::Result<void> {
        BOOST_LEAF_AUTO(
            changes, m_ports.store.ReadAfter(m_configuration.CurrentRevision(),
                                             core::Duration::zero()));
        if (ApplyAll(changes)) {
          Publish("the store");
        }
        return {};
      },
      [this](const core::Error& error) {
        m_ports.logger.Write({core::Component::kConfiguration,
                              core::Severity::kWarning,
                              "Failed to read new changes from the store. " +
                                  core::Describe(error),
                              {}});
      });
}

bool Service::ApplyAll(const std::vector<Change>& changes) {
  bool is_any_applied = false;
  for (const Change& change : changes) {
    is_any_applied |= core::Handle(
        [&]() -> core::Result<bool> {
          return m_configuration.ApplyChange(change);
        },
        [this](const core::Error& error) {
          m_ports.logger.Write(
              {core::Component::kConfiguration,
               core::Severity::kError,
               "Rejected an invalid change. " + core::Describe(error),
               {}});
          return false;
        });
  }
  return is_any_applied;
}

void Service::MaybeWriteSnapshot() {
  const core::Revision revision = m_configuration.CurrentRevision();
  if (revision.Count() % kSnapshotInterval != 0) {
    return;
  }
  // A failed write is not retried; the next snapshot is due kSnapshotInterval
  // revisions later.
  core::Handle(
      [&]() -> core::Result<void> {
        return m_ports.store.WriteSnapshot(
            Snapshot{revision, *m_configuration.CurrentLists()});
      },
      [](const core::Error&) {});
}

void Service::On(ChangesReceived& message) {
  if (ApplyAll(message.changes)) {
    Publish(message.source.IsEmpty() ? "the store" : message.source.Text());
  }
  const bool has_gap =
      !message.changes.empty() &&
      m_configuration.CurrentRevision() < message.changes.back().revision;
  if (has_gap && !message.source.IsEmpty()) {
    m_ports.peers.RequestChanges(message.source,
                                 m_configuration.CurrentRevision());
  }
}

void Service::On(SnapshotReceived& message) {
  if (m_configuration.Restore(message.snapshot)) {
    Publish("a snapshot");
  }
}

void Service::On(PeerRevisionReported& message) {
  if (m_configuration.CurrentRevision() < message.revision) {
    m_ports.peers.RequestChanges(message.peer,
                                 m_configuration.CurrentRevision());
  }
}

void Service::On(ChangesRequested& message) {
  const core::Revision current = m_configuration.CurrentRevision();
  if (!(message.after < current)) {
    return;
  }
  const auto& history = m_configuration.History();
  const std::uint64_t missing_changes = current.Count() - message.after.Count();
  if (missing_changes > history.size()) {
    // The history does not reach back to the revision of the peer.
    m_ports.peers.SendSnapshot(
        message.peer, Snapshot{current, *m_configuration.CurrentLists()});
    return;
  }
  const auto first =
      history.end() - static_cast<std::ptrdiff_t>(missing_changes);
  m_ports.peers.SendChanges(message.peer,
                            std::vector<Change>(first, history.end()));
}

void Service::On(SnapshotQuery& message) {
  const core::Revision revision =
      message.revision.value_or(m_configuration.CurrentRevision());
  SnapshotReply reply = core::Handle(
      [&]() -> core::Result<SnapshotReply> {
        BOOST_LEAF_AUTO(lists, m_configuration.ListsAt(revision));
        return SnapshotReply(Snapshot{revision, std::move(lists)});
      },
      [](const core::Error& error) { return SnapshotReply(error); });
  message.reply->TryPush(std::move(reply));
}

void Service::On(HistoryQuery& message) {
  const auto& history = m_configuration.History();
  message.reply->TryPush(std::vector<Change>(history.begin(), history.end()));
}

void Service::Publish(const std::string& source) {
  const core::Revision revision = m_configuration.CurrentRevision();
  const std::string revision_text = std::to_string(revision.Count());
  m_ports.listener.OnConfigurationChanged(revision,
                                          m_configuration.CurrentLists());
  m_ports.meter.Add(core::Counter::kConfigurationsAdopted, 1);
  m_ports.logger.Write(
      {core::Component::kConfiguration,
       core::Severity::kInfo,
       "Revision " + revision_text + " is in force; source: " + source + ".",
       {{"revision", revision_text}, {"source", source}}});
}

}  // namespace crocusmast::configuration
