#ifndef CROCUSMAST_DAEMON_MEMBERSHIP_POLLER_H_
#define CROCUSMAST_DAEMON_MEMBERSHIP_POLLER_H_

#include <variant>

#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/membership/messages.h"

namespace crocusmast::daemon {

/** @brief Polls the membership list on each tick of its thread. */
class MembershipPoller final : public core::MessageHandler<std::monostate> {
 public:
  /**
   * @brief Creates a poller.
   * @param source Source of the membership list; must outlive the poller.
   * @param ring Input ring of the membership thread; must outlive the poller.
   * @param logger Logger; must outlive the poller.
   */
  MembershipPoller(membership::MembershipSource& source,
                   core::BoundedRing<membership::Message>& ring,
                   core::Logger& logger);

  void Handle(std::monostate&& message) override {}
  void Tick() override;

 private:
  void LogReachability(bool is_reachable, const core::Error& error);

  membership::MembershipSource& m_source;
  core::BoundedRing<membership::Message>& m_ring;
  core::Logger& m_logger;
  membership::MembershipVersion m_version;
  bool m_is_reachable = true;
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_MEMBERSHIP_POLLER_H_
