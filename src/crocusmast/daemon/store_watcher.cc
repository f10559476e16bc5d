#include "crocusmast/daemon/store_watcher.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

namespace crocusmast::daemon {
namespace internal {

constexpr std::chrono::milliseconds kInitialBackoff{250};
constexpr std::chrono::milliseconds kMaxBackoff{8000};
constexpr unsigned kMaxDoublings = 5;

/**
 * @brief Returns a random delay between half of the exponential backoff and all
 * of it.
 * @param failures Number of consecutive failures before the current one.
 */
core::Duration JitteredBackoff(unsigned failures) {
  thread_local std::minstd_rand random{std::random_device()()};
  const auto backoff = std::min(
      kMaxBackoff, kInitialBackoff * (1 << std::min(failures, kMaxDoublings)));
  std::uniform_int_distribution<long> distribution(backoff.count() / 2,
                                                   backoff.count());
  return std::chrono::milliseconds(distribution(random));
}

}  // namespace internal

StoreWatcher::StoreWatcher(configuration::ChangeStore& store,
                           core::BoundedRing<configuration::Message>& ring,
                           const UpdateDispatcher& dispatcher,
                           core::Logger& logger,
                           const core::Clock& clock)
    : m_store(store),
      m_ring(ring),
      m_dispatcher(dispatcher),
      m_logger(logger),
      m_clock(clock) {}

void StoreWatcher::Tick() {
  if (!m_dispatcher.WatchesStore() || m_clock.Now() < m_retry_at) {
    return;
  }
  core::Handle([this] { return Watch(); },
               [this](const core::Error& error) { BackOff(error); });
}

core::Result<void> StoreWatcher::Watch() {
  if (!m_has_read_snapshot) {
    BOOST_LEAF_AUTO(snapshot, m_store.ReadSnapshot());
    if (snapshot) {
      const core::Revision revision = snapshot->revision;
      if (!m_ring.TryPush(
              configuration::SnapshotReceived{*std::move(snapshot)})) {
        return {};
      }
      m_last_revision = revision;
    }
    m_has_read_snapshot = true;
  }
  m_last_revision = std::max(m_last_revision, m_dispatcher.CurrentRevision());
  BOOST_LEAF_AUTO(changes, m_store.ReadAfter(m_last_revision, kLongPollTime));
  m_failures = 0;
  if (changes.empty()) {
    return {};
  }
  const core::Revision newest = changes.back().revision;
  if (m_ring.TryPush(configuration::ChangesReceived{{}, std::move(changes)})) {
    m_last_revision = newest;
  }
  return {};
}

void StoreWatcher::BackOff(const core::Error& error) {
  if (m_failures == 0) {
    m_logger.Write({core::Component::kConfiguration,
                    core::Severity::kWarning,
                    "The store is unreachable; the active configuration "
                    "stays in use. " +
                        core::Describe(error) + ".",
                    {}});
  }
  m_retry_at = m_clock.Now() + internal::JitteredBackoff(m_failures);
  ++m_failures;
}

}  // namespace crocusmast::daemon
