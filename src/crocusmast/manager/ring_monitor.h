#ifndef CROCUSMAST_MANAGER_RING_MONITOR_H_
#define CROCUSMAST_MANAGER_RING_MONITOR_H_

#include <chrono>
#include <cstdint>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/manager/messages.h"

namespace crocusmast::manager {

/** @brief Time in the manager's ring above which a message is reported. */
inline constexpr std::chrono::milliseconds kLongRingWait{500};
/** @brief Minimum time between two log records of one kind. */
inline constexpr std::chrono::seconds kRingLogInterval{1};

/** @brief Dependencies of the monitor; all outlive it. */
struct RingMonitorPorts {
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

/**
 * @brief Reports how long messages wait for the manager's thread, and messages
 * that its ring dropped.
 */
class RingMonitor final : public core::MessageObserver<Message> {
 public:
  /**
   * @brief Creates the monitor.
   * @param ports Dependencies.
   */
  explicit RingMonitor(const RingMonitorPorts& ports) : m_ports(ports) {}

  void OnPopped(const core::PoppedMessage<Message>& popped) override;

 private:
  void ReportLongWait(const core::PoppedMessage<Message>& popped);
  void ReportDrops(const core::PoppedMessage<Message>& popped);

  RingMonitorPorts m_ports;
  core::TimePoint m_next_wait_log_at;
  core::TimePoint m_next_drop_log_at;
  std::uint64_t m_reported_drops = 0;
};

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_RING_MONITOR_H_
