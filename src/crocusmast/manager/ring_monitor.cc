#include "crocusmast/manager/ring_monitor.h"

#include <boost/type_index.hpp>
#include <string>
#include <type_traits>
#include <variant>

namespace crocusmast::manager {
namespace internal {

/** @brief Returns the name of a message's type, without its namespaces. */
std::string MessageKind(const Message& message) {
  const std::string name = std::visit(
      [](const auto& content) {
        return boost::typeindex::type_id<std::decay_t<decltype(content)>>()
            .pretty_name();
      },
      message);
  const std::size_t colon = name.rfind(':');
  return colon == std::string::npos ? name : name.substr(colon + 1);
}

}  // namespace internal

void RingMonitor::OnPopped(const core::PoppedMessage<Message>& popped) {
  m_ports.meter.Observe(core::Timing::kManagerRingWait, popped.waited);
  if (popped.waited > kLongRingWait) {
    ReportLongWait(popped);
  }
  if (popped.drops != m_reported_drops) {
    ReportDrops(popped);
  }
}

void RingMonitor::ReportLongWait(const core::PoppedMessage<Message>& popped) {
  const core::TimePoint now = m_ports.clock.Now();
  if (now < m_next_wait_log_at) {
    return;
  }
  m_next_wait_log_at = now + kRingLogInterval;
  const std::string kind = internal::MessageKind(popped.message);
  const std::string waited_ms = std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(popped.waited)
          .count());
  m_ports.logger.Write({core::Component::kDaemon,
                        core::Severity::kWarning,
                        "A message of kind " + kind + " waited " + waited_ms +
                            " ms for the manager's thread.",
                        {{"event", "ring_wait_long"},
                         {"duty", "manager"},
                         {"kind", kind},
                         {"wait_ms", waited_ms},
                         {"depth", std::to_string(popped.depth)}}});
}

void RingMonitor::ReportDrops(const core::PoppedMessage<Message>& popped) {
  const core::TimePoint now = m_ports.clock.Now();
  if (now < m_next_drop_log_at) {
    return;
  }
  m_next_drop_log_at = now + kRingLogInterval;
  const std::string drops = std::to_string(popped.drops - m_reported_drops);
  m_reported_drops = popped.drops;
  m_ports.logger.Write({core::Component::kDaemon,
                        core::Severity::kWarning,
                        "The ring of the manager's thread was full: dropped " +
                            drops + " messages.",
                        {{"event", "ring_dropped"},
                         {"duty", "manager"},
                         {"drops", drops},
                         {"depth", std::to_string(popped.depth)}}});
}

}  // namespace crocusmast::manager
