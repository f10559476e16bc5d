#include "crocusmast/membership/service.h"

#include <memory>
#include <utility>

namespace crocusmast::membership {

Service::Service(LocalInstance self,
                 MembershipListener& listener,
                 core::Logger& logger,
                 const core::Clock& clock)
    : m_table(std::move(self)),
      m_listener(listener),
      m_logger(logger),
      m_clock(clock) {}

void Service::Handle(Message&& message) {
  std::visit([this](const auto& content) { On(content); }, message);
}

void Service::Tick() {
  if (m_table.ExpireLinks(m_clock.Now())) {
    m_logger.Write(
        {core::Component::kMembership,
         core::Severity::kWarning,
         "A peer is treated as down: its link was down for too long.",
         {}});
    Publish();
  }
}

void Service::On(const MembershipUpdateReceived& message) {
  if (!m_table.Apply(message.update, m_clock.Now())) {
    return;
  }
  m_logger.Write(
      {core::Component::kMembership,
       core::Severity::kInfo,
       "Applied version " + std::to_string(message.update.version.Count()) +
           " of the membership list.",
       {{"version", std::to_string(message.update.version.Count())},
        {"changed", std::to_string(message.update.changed.size())}}});
  Publish();
}

void Service::On(const LinkUp& message) {
  Log(core::Severity::kInfo, "Peer link is up", message.peer);
  if (m_table.RecordLinkUp(message.peer)) {
    Publish();
  }
}

void Service::On(const LinkDown& message) {
  Log(core::Severity::kWarning, "Peer link is down", message.peer);
  m_table.RecordLinkDown(message.peer, m_clock.Now());
}

void Service::On(const InstanceLeaving& message) {
  if (m_table.MarkLeaving(message.instance)) {
    Log(core::Severity::kInfo, "Instance is leaving", message.instance);
    Publish();
  }
}

void Service::Publish() {
  m_listener.OnMembershipChanged(
      std::make_shared<const MembershipView>(m_table.View()));
  m_listener.OnPeersChanged(m_table.LinkedPeers());
}

void Service::Log(core::Severity severity,
                  std::string text,
                  const core::InstanceId& instance) {
  m_logger.Write({core::Component::kMembership,
                  severity,
                  std::move(text) + ": " + instance.Text() + ".",
                  {{"instance", instance.Text()}}});
}

}  // namespace crocusmast::membership
