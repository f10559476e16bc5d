#ifndef CROCUSMAST_DAEMON_STORE_WATCHER_H_
#define CROCUSMAST_DAEMON_STORE_WATCHER_H_

#include <variant>

#include "crocusmast/configuration/change_store.h"
#include "crocusmast/configuration/messages.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/daemon/update_dispatcher.h"

namespace crocusmast::daemon {

/**
 * @brief Watches the store for configuration changes, while this instance does
 * so for its availability zone.
 *
 * Failures are retried with exponential backoff and jitter, so that a store
 * that recovers is not overloaded.
 */
class StoreWatcher final : public core::MessageHandler<std::monostate> {
 public:
  /** @brief How long the store delays the response to wait for a change. */
  static constexpr std::chrono::seconds kLongPollTime{25};

  /**
   * @brief Creates a watcher.
   * @param store Store client, which no other thread may use; must outlive the
   * watcher.
   * @param ring Input ring of the configuration thread; must outlive the
   * watcher.
   * @param dispatcher Reports the active revision and whether to watch the
   * store; must outlive the watcher.
   * @param logger Logger; must outlive the watcher.
   * @param clock Clock; must outlive the watcher.
   */
  StoreWatcher(configuration::ChangeStore& store,
               core::BoundedRing<configuration::Message>& ring,
               const UpdateDispatcher& dispatcher,
               core::Logger& logger,
               const core::Clock& clock);

  void Handle(std::monostate&& message) override {}
  void Tick() override;

 private:
  core::Result<void> Watch();
  void BackOff(const core::Error& error);

  configuration::ChangeStore& m_store;
  core::BoundedRing<configuration::Message>& m_ring;
  const UpdateDispatcher& m_dispatcher;
  core::Logger& m_logger;
  const core::Clock& m_clock;
  bool m_has_read_snapshot = false;
  core::Revision m_last_revision;
  unsigned m_failures = 0;
  core::TimePoint m_retry_at;
};

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_STORE_WATCHER_H_
