#ifndef CROCUSMAST_MEMBERSHIP_SERVICE_H_
#define CROCUSMAST_MEMBERSHIP_SERVICE_H_

#include <string>

#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/membership/membership_listener.h"
#include "crocusmast/membership/membership_table.h"
#include "crocusmast/membership/messages.h"

namespace crocusmast::membership {

/**
 * @brief Maintains the membership table and notifies the process of changes.
 */
class Service final : public core::MessageHandler<Message> {
 public:
  /**
   * @brief Constructs the service.
   * @param self The instance that runs it.
   * @param listener The listener to notify of changes; must outlive the
   * service.
   * @param logger The logger; must outlive the service.
   * @param clock The clock; must outlive the service.
   */
  Service(LocalInstance self,
          MembershipListener& listener,
          core::Logger& logger,
          const core::Clock& clock);

  void Handle(Message&& message) override;
  void Tick() override;

 private:
  void On(const std::monostate& nothing) {}
  void On(const MembershipUpdateReceived& message);
  void On(const LinkUp& message);
  void On(const LinkDown& message);
  void On(const InstanceLeaving& message);

  void Publish();
  void Log(core::Severity severity,
           std::string text,
           const core::InstanceId& instance);

  MembershipTable m_table;
  MembershipListener& m_listener;
  core::Logger& m_logger;
  const core::Clock& m_clock;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_SERVICE_H_
