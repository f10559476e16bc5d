#ifndef CROCUSMAST_DAEMON_MEMBERSHIP_POLLER_H_
#define CROCUSMAST_DAEMON_MEMBERSHIP_POLLER_H_

#include <variant>

#include "crocusmast/core/duty.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/membership/messages.h"

namespace crocusmast::daemon {

/** @brief Reads the membership list at a steady rate. */
class MembershipPoller final : public core::DutyHandler<std::monostate> {
 public:
  /**
   * @brief Makes a poller.
   * @param list The list; outlives the poller.
   * @param ring Feeds the membership duty; outlives the poller.
   * @param logger The log; outlives the poller.
   */
  MembershipPoller(membership::MembershipList& list,
                   core::BoundedRing<membership::Message>& ring,
                   core::Logger& logger);

  void Handle(std::monostate&& message) override {}
  void Tick() override;

 private:
  void Report(bool is_reachable, const core::Error& error);

  membership::MembershipList& m_list;
  core::BoundedRing<membership::Message>& m_ring;
  core::Logger& m_logger;
  membership::ListVersion m_version;
  bool m_is_reachable = true;
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_MEMBERSHIP_POLLER_H_
