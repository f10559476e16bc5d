#include "crocusmast/daemon/store_watcher.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

namespace crocusmast::daemon {
namespace internal {

constexpr std::chrono::milliseconds kFirstPause{250};
constexpr std::chrono::milliseconds kLongestPause{8000};
constexpr unsigned kMostDoublings = 5;

core::Duration JitteredPause(unsigned failures) {
  thread_local std::minstd_rand random{std::random_device()()};
  const auto bound = std::min(
      kLongestPause, kFirstPause * (1 << std::min(failures, kMostDoublings)));
  std::uniform_int_distribution<long> pick(bound.count() / 2, bound.count());
  return std::chrono::milliseconds(pick(random));
}

}  // namespace internal

StoreWatcher::StoreWatcher(configuration::ChangeStore& store,
                           core::BoundedRing<configuration::Message>& ring,
                           const DutyWiring& wiring,
                           core::Logger& logger,
                           const core::Clock& clock)
    : m_store(store),
      m_ring(ring),
      m_wiring(wiring),
      m_logger(logger),
      m_clock(clock) {}

void StoreWatcher::Tick() {
  if (!m_wiring.WatchesStore() || m_clock.Now() < m_resume_at) {
    return;
  }
  core::Handle([this] { return Watch(); },
               [this](const core::Error& error) { Pause(error); });
}

core::Result<void> StoreWatcher::Watch() {
  if (!m_has_read_snapshot) {
    BOOST_LEAF_AUTO(snapshot, m_store.ReadSnapshot());
    if (snapshot) {
      m_seen = snapshot->revision;
      m_ring.TryPush(configuration::SnapshotSeen{*std::move(snapshot)});
    }
    m_has_read_snapshot = true;
  }
  m_seen = std::max(m_seen, m_wiring.CurrentRevision());
  BOOST_LEAF_AUTO(changes, m_store.ReadAfter(m_seen, kWatchWait));
  m_failures = 0;
  if (changes.empty()) {
    return {};
  }
  const core::Revision last = changes.back().revision;
  if (m_ring.TryPush(configuration::ChangesSeen{{}, std::move(changes)})) {
    m_seen = last;
  }
  return {};
}

void StoreWatcher::Pause(const core::Error& error) {
  if (m_failures == 0) {
    m_logger.Write({core::Part::kConfiguration,
                    core::Severity::kWarning,
                    "The store does not answer. The lists in force stay. " +
                        core::Describe(error) + ".",
                    {}});
  }
  m_resume_at = m_clock.Now() + internal::JitteredPause(m_failures);
  ++m_failures;
}

}  // namespace crocusmast::daemon
