#include "crocusmast/daemon/duty_wiring.h"

#include <utility>

namespace crocusmast::daemon {
namespace internal {

// A view or lists must not be lost; the routing duty never waits for these.
constexpr std::chrono::seconds kPublishWait{10};

}  // namespace internal

DutyWiring::DutyWiring(core::BoundedRing<routing::Message>& router,
                       core::BoundedRing<maintenance::Message>& maintenance)
    : m_router(router), m_maintenance(maintenance) {}

void DutyWiring::InForce(core::Revision revision,
                         std::shared_ptr<const configuration::Lists> lists) {
  m_router.PushFor(routing::ListsChanged{revision, lists},
                   internal::kPublishWait);
  m_maintenance.PushFor(maintenance::ListsChanged{std::move(lists)},
                        internal::kPublishWait);
  m_revision = revision.Count();
  m_peers->SetRevision(revision);
}

void DutyWiring::RosterChanged(
    std::shared_ptr<const membership::RosterView> view) {
  m_watches_store = view->watches_store;
  m_has_roster = true;
  m_router.PushFor(routing::RosterChanged{view}, internal::kPublishWait);
  m_maintenance.PushFor(maintenance::RosterChanged{std::move(view)},
                        internal::kPublishWait);
}

void DutyWiring::PeersChanged(std::vector<membership::PeerAddress> peers) {
  m_peers->SetPeers(std::move(peers));
}

void DutyWiring::TargetLeaves(const core::InstanceId& target) {
  m_peers->TellLeaving(target);
}

}  // namespace crocusmast::daemon
