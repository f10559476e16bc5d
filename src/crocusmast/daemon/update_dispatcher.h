#ifndef CROCUSMAST_DAEMON_UPDATE_DISPATCHER_H_
#define CROCUSMAST_DAEMON_UPDATE_DISPATCHER_H_

#include <atomic>
#include <memory>
#include <vector>

#include "crocusmast/adapters/peer_messenger.h"
#include "crocusmast/configuration/configuration_listener.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/maintenance/messages.h"
#include "crocusmast/membership/membership_listener.h"
#include "crocusmast/routing/messages.h"
#include "crocusmast/routing/target_leaving_listener.h"

namespace crocusmast::daemon {

/**
 * @brief Delivers the events published by one thread to the rings of the
 * others.
 */
class UpdateDispatcher final : public configuration::ConfigurationListener,
                               public membership::MembershipListener,
                               public routing::TargetLeavingListener {
 public:
  /**
   * @brief Creates a dispatcher without a peer messenger.
   * @param router Input ring of the routing thread; must outlive the
   * dispatcher.
   * @param maintenance Input ring of the maintenance thread; must outlive the
   * dispatcher.
   */
  UpdateDispatcher(core::BoundedRing<routing::Message>& router,
                   core::BoundedRing<maintenance::Message>& maintenance);

  /**
   * @brief Sets the peer messenger; must be called before the first event.
   * @param peer_messenger The messenger; must outlive the last event.
   */
  void SetPeerMessenger(adapters::PeerMessenger& peer_messenger) {
    m_peer_messenger = &peer_messenger;
  }

  /** @brief Returns the active configuration revision. */
  core::Revision CurrentRevision() const { return core::Revision(m_revision); }

  /**
   * @brief Returns whether this instance watches the store on behalf of its
   * availability zone.
   */
  bool WatchesStore() const { return m_watches_store; }

  /**
   * @brief Returns whether a configuration and a membership view were received.
   */
  bool IsReady() const { return m_has_membership && m_revision > 0; }

  // configuration::Publisher
  void OnConfigurationChanged(
      core::Revision revision,
      std::shared_ptr<const configuration::PlanLists> lists) override;

  // membership::MembershipListener
  void OnMembershipChanged(
      std::shared_ptr<const membership::MembershipView> view) override;
  void OnPeersChanged(std::vector<membership::PeerAddress> peers) override;

  // routing::TargetLeavingListener
  void OnTargetLeaving(const core::InstanceId& target) override;

 private:
  core::BoundedRing<routing::Message>& m_router;
  core::BoundedRing<maintenance::Message>& m_maintenance;
  adapters::PeerMessenger* m_peer_messenger = nullptr;
  std::atomic<std::uint64_t> m_revision{0};
  std::atomic<bool> m_watches_store{false};
  std::atomic<bool> m_has_membership{false};
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_UPDATE_DISPATCHER_H_
