#ifndef CROCUSMAST_CONFIGURATION_SERVICE_H_
#define CROCUSMAST_CONFIGURATION_SERVICE_H_

#include <map>

#include "crocusmast/configuration/change_store.h"
#include "crocusmast/configuration/configuration.h"
#include "crocusmast/configuration/messages.h"
#include "crocusmast/configuration/peer_port.h"
#include "crocusmast/configuration/publisher.h"
#include "crocusmast/core/duty.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"

namespace crocusmast::configuration {

/** @brief A snapshot is written each time this many revisions have passed. */
inline constexpr std::uint64_t kSnapshotInterval = 64;
/** @brief How often an edit is merged anew when another takes its revision. */
inline constexpr int kAppendAttempts = 8;

/** @brief The ports that the configuration duty uses; all outlive it. */
struct ServicePorts {
  /** @brief The store. */
  ChangeStore& store;
  /** @brief The other entry instances. */
  PeerPort& peers;
  /** @brief The rest of the process. */
  Publisher& publisher;
  /** @brief The log. */
  core::Logger& logger;
  /** @brief The metrics. */
  core::Meter& meter;
  /** @brief The time. */
  const core::Clock& clock;
};

/** @brief Decides on edits, changes and queries of the configuration. */
class Service final : public core::DutyHandler<Message> {
 public:
  /**
   * @brief Makes the service at revision 0.
   * @param ports The ports.
   */
  explicit Service(ServicePorts ports) : m_ports(ports) {}

  void Handle(Message&& message) override;
  void Tick() override {}

  /** @brief Returns the configuration in force. */
  const Configuration& Current() const { return m_configuration; }

 private:
  void On(const std::monostate& nothing) {}
  void On(ApplyEdit& message);
  void On(ChangesSeen& message);
  void On(SnapshotSeen& message);
  void On(PeerRevision& message);
  void On(PullRequested& message);
  void On(ViewQuery& message);
  void On(HistoryQuery& message);

  core::Result<core::Revision> Apply(Edit& edit);
  core::Result<bool> AppendOnce(const Change& change);
  void CatchUpFromStore();
  bool AdoptAll(const std::vector<Change>& changes);
  void MaybeWriteSnapshot();
  void Publish(const std::string& source);

  ServicePorts m_ports;
  Configuration m_configuration;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_SERVICE_H_
