#include "crocusmast/daemon/store_watcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using trompeloeil::_;

class StoreWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreWatcherTest);
  CPPUNIT_TEST(RefusedSnapshotIsReadAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance that stays without a configuration, because the
  // snapshot was dropped by a full ring and only later changes were read.
  void RefusedSnapshotIsReadAgain() {
    const core::Revision snapshot_revision(64);
    ALLOW_CALL(m_store, ReadAfter(_, _))
        .RETURN(core::Result<std::vector<configuration::Change>>(
            std::vector<configuration::Change>()));
    ALLOW_CALL(m_store, ReadSnapshot())
        .RETURN(core::Result<std::optional<configuration::Snapshot>>(
            configuration::Snapshot{snapshot_revision, {}}));
    auto view = std::make_shared<membership::MembershipView>();
    view->watches_store = true;
    m_dispatcher.OnMembershipChanged(std::move(view));
    m_ring.TryPush(configuration::PeerRevisionReported{});
    m_watcher.Tick();
    m_ring.PopFor(core::Duration::zero());
    m_watcher.Tick();
    const auto message = m_ring.PopFor(core::Duration::zero());
    CPPUNIT_ASSERT(message);
    CPPUNIT_ASSERT(
        std::get<configuration::SnapshotReceived>(*message).snapshot.revision ==
        snapshot_revision);
  }

 private:
  test::FakeClock m_clock;
  test::NullLogger m_logger;
  test::MockChangeStore m_store;
  core::BoundedRing<configuration::Message> m_ring{1};
  core::BoundedRing<routing::Message> m_router{4};
  core::BoundedRing<maintenance::Message> m_maintenance{4};
  daemon::UpdateDispatcher m_dispatcher{m_router, m_maintenance};
  daemon::StoreWatcher m_watcher{m_store, m_ring, m_dispatcher, m_logger,
                                 m_clock};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreWatcherTest, "daemon");

}  // namespace
