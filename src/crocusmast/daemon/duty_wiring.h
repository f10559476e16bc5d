#ifndef CROCUSMAST_DAEMON_DUTY_WIRING_H_
#define CROCUSMAST_DAEMON_DUTY_WIRING_H_

#include <atomic>
#include <memory>
#include <vector>

#include "crocusmast/adapters/peer_link.h"
#include "crocusmast/configuration/publisher.h"
#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/maintenance/messages.h"
#include "crocusmast/membership/listener.h"
#include "crocusmast/routing/leaving_listener.h"
#include "crocusmast/routing/messages.h"

namespace crocusmast::daemon {

/** @brief Hands what one duty publishes to the rings of the others. */
class DutyWiring final : public configuration::Publisher,
                         public membership::Listener,
                         public routing::LeavingListener {
 public:
  /**
   * @brief Makes the wiring.
   * @param router Feeds the routing duty; outlives the wiring.
   * @param maintenance Feeds the maintenance duty; outlives the wiring.
   */
  DutyWiring(core::BoundedRing<routing::Message>& router,
             core::BoundedRing<maintenance::Message>& maintenance);

  /**
   * @brief Sets the link to the peers.
   * @param peers The link; outlives the wiring's use.
   */
  void SetPeerLink(adapters::PeerLink& peers) { m_peers = &peers; }

  /** @brief Returns the revision in force. */
  core::Revision CurrentRevision() const { return core::Revision(m_revision); }

  /** @brief Tells whether this instance watches the store for its zone. */
  bool WatchesStore() const { return m_watches_store; }

  /** @brief Tells whether lists and roster are known. */
  bool IsReady() const { return m_has_roster && m_revision > 0; }

  // configuration::Publisher
  void InForce(core::Revision revision,
               std::shared_ptr<const configuration::Lists> lists) override;

  // membership::Listener
  void RosterChanged(
      std::shared_ptr<const membership::RosterView> view) override;
  void PeersChanged(std::vector<membership::PeerAddress> peers) override;

  // routing::LeavingListener
  void TargetLeaves(const core::InstanceId& target) override;

 private:
  core::BoundedRing<routing::Message>& m_router;
  core::BoundedRing<maintenance::Message>& m_maintenance;
  adapters::PeerLink* m_peers = nullptr;
  std::atomic<std::uint64_t> m_revision{0};
  std::atomic<bool> m_watches_store{false};
  std::atomic<bool> m_has_roster{false};
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_DUTY_WIRING_H_
