#include "crocusmast/daemon/update_dispatcher.h"

#include <utility>

namespace crocusmast::daemon {
namespace internal {

// Delivery blocks while a ring is full, since a membership view or a
// configuration must not be dropped. The routing thread never delivers these.
constexpr std::chrono::seconds kDeliveryTimeout{10};

}  // namespace internal

UpdateDispatcher::UpdateDispatcher(
    core::BoundedRing<routing::Message>& router,
    core::BoundedRing<maintenance::Message>& maintenance)
    : m_router(router), m_maintenance(maintenance) {}

void UpdateDispatcher::OnConfigurationChanged(
    core::Revision revision,
    std::shared_ptr<const configuration::PlanLists> lists) {
  m_router.PushFor(routing::PlanListsChanged{revision, lists},
                   internal::kDeliveryTimeout);
  m_maintenance.PushFor(maintenance::PlanListsChanged{std::move(lists)},
                        internal::kDeliveryTimeout);
  m_revision = revision.Count();
  m_peer_messenger->SetRevision(revision);
}

void UpdateDispatcher::OnMembershipChanged(
    std::shared_ptr<const membership::MembershipView> view) {
  m_watches_store = view->watches_store;
  m_has_membership = true;
  m_router.PushFor(routing::MembershipChanged{view},
                   internal::kDeliveryTimeout);
  m_maintenance.PushFor(maintenance::MembershipChanged{std::move(view)},
                        internal::kDeliveryTimeout);
}

void UpdateDispatcher::OnPeersChanged(
    std::vector<membership::PeerAddress> peers) {
  m_peer_messenger->SetPeers(std::move(peers));
}

void UpdateDispatcher::OnTargetLeaving(const core::InstanceId& target) {
  m_peer_messenger->AnnounceLeaving(target);
}

}  // namespace crocusmast::daemon
