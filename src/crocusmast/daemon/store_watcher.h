#ifndef CROCUSMAST_DAEMON_STORE_WATCHER_H_
#define CROCUSMAST_DAEMON_STORE_WATCHER_H_

#include <variant>

#include "crocusmast/configuration/change_store.h"
#include "crocusmast/configuration/messages.h"
#include "crocusmast/core/duty.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/daemon/duty_wiring.h"

namespace crocusmast::daemon {

/**
 * @brief Waits at the store for changes, on one instance of each zone.
 *
 * After a failure it pauses, longer each time and by a different time on each
 * instance, so that a store that comes back is not overrun.
 */
class StoreWatcher final : public core::DutyHandler<std::monostate> {
 public:
  /** @brief How long the store is asked to wait for a change. */
  static constexpr std::chrono::seconds kWatchWait{25};

  /**
   * @brief Makes a watcher.
   * @param store The store, for this watcher alone; outlives it.
   * @param ring Feeds the configuration duty; outlives the watcher.
   * @param wiring Knows the revision in force; outlives the watcher.
   * @param logger The log; outlives the watcher.
   * @param clock The time; outlives the watcher.
   */
  StoreWatcher(configuration::ChangeStore& store,
               core::BoundedRing<configuration::Message>& ring,
               const DutyWiring& wiring,
               core::Logger& logger,
               const core::Clock& clock);

  void Handle(std::monostate&& message) override {}
  void Tick() override;

 private:
  core::Result<void> Watch();
  void Pause(const core::Error& error);

  configuration::ChangeStore& m_store;
  core::BoundedRing<configuration::Message>& m_ring;
  const DutyWiring& m_wiring;
  core::Logger& m_logger;
  const core::Clock& m_clock;
  bool m_has_read_snapshot = false;
  core::Revision m_seen;
  unsigned m_failures = 0;
  core::TimePoint m_resume_at;
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_STORE_WATCHER_H_
