#ifndef CROCUSMAST_CONFIGURATION_SERVICE_H_
#define CROCUSMAST_CONFIGURATION_SERVICE_H_

#include <map>

#include "crocusmast/configuration/change_store.h"
#include "crocusmast/configuration/configuration.h"
#include "crocusmast/configuration/configuration_listener.h"
#include "crocusmast/configuration/messages.h"
#include "crocusmast/configuration/peer_port.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/core/meter.h"

namespace crocusmast::configuration {

/** @brief Number of revisions between two snapshots. */
inline constexpr std::uint64_t kSnapshotInterval = 64;
/**
 * @brief Maximum number of attempts to append an edit; each attempt merges it
 * again after another change has taken its revision.
 */
inline constexpr int kMaxAppendAttempts = 8;

/** @brief Dependencies of the configuration service; all outlive it. */
struct ServicePorts {
  /** @brief Store of the changes. */
  ChangeStore& store;
  /** @brief Other entry instances. */
  PeerPort& peers;
  /** @brief Is notified when the current lists change. */
  ConfigurationListener& listener;
  core::Logger& logger;
  core::Meter& meter;
  const core::Clock& clock;
};

/** @brief Processes edits, changes and queries of the configuration. */
class Service final : public core::MessageHandler<Message> {
 public:
  /**
   * @brief Creates the service at revision 0.
   * @param ports Dependencies.
   */
  explicit Service(ServicePorts ports) : m_ports(ports) {}

  void Handle(Message&& message) override;
  void Tick() override {}

  /** @brief Returns the current configuration. */
  const Configuration& Current() const { return m_configuration; }

 private:
  void On(const std::monostate& nothing) {}
  void On(ApplyEdit& message);
  void On(ChangesReceived& message);
  void On(SnapshotReceived& message);
  void On(PeerRevisionReported& message);
  void On(ChangesRequested& message);
  void On(SnapshotQuery& message);
  void On(HistoryQuery& message);

  core::Result<core::Revision> Apply(Edit& edit);
  core::Result<bool> TryAppend(const Change& change);
  void CatchUpFromStore();
  bool ApplyAll(const std::vector<Change>& changes);
  void MaybeWriteSnapshot();
  void Publish(const std::string& source);

  ServicePorts m_ports;
  Configuration m_configuration;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_SERVICE_H_
