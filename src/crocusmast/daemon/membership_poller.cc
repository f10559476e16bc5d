#include "crocusmast/daemon/membership_poller.h"

#include <utility>

namespace crocusmast::daemon {

MembershipPoller::MembershipPoller(membership::MembershipSource& source,
                                   core::BoundedRing<membership::Message>& ring,
                                   core::Logger& logger)
    : m_source(source), m_ring(ring), m_logger(logger) {}

void MembershipPoller::Tick() {
  core::Handle(
      [&]() -> core::Result<void> {
        BOOST_LEAF_AUTO(update, m_source.ReadAfter(m_version));
        LogReachability(true, {});
        const membership::MembershipVersion version = update.version;
        if (version == m_version) {
          return {};
        }
        if (m_ring.TryPush(
                membership::MembershipUpdateReceived{std::move(update)})) {
          m_version = version;
        }
        return {};
      },
      [this](const core::Error& error) { LogReachability(false, error); });
}

void MembershipPoller::LogReachability(bool is_reachable,
                                       const core::Error& error) {
  if (is_reachable == m_is_reachable) {
    return;
  }
  m_is_reachable = is_reachable;
  const std::string sentence =
      is_reachable ? "The membership list is reachable again."
                   : "The membership list is unreachable; the last view "
                     "stays active. " +
                         core::Describe(error) + ".";
  m_logger.Write(
      {core::Component::kMembership,
       is_reachable ? core::Severity::kInfo : core::Severity::kWarning,
       sentence,
       {}});
}

}  // namespace crocusmast::daemon
