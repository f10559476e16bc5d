#include "crocusmast/configuration/service.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/factories.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using configuration::AppendOutcome;
using configuration::ApplyEdit;
using configuration::ApplyReply;
using configuration::Change;
using configuration::ChangesReceived;
using configuration::ChangesRequested;
using configuration::PeerRevisionReported;
using configuration::PlanLists;
using test::MakeEdit;
using test::MakeId;
using test::MakePlan;
using trompeloeil::_;

constexpr std::chrono::milliseconds kNoWait{0};

Change MakeChange(std::uint64_t revision, std::uint64_t headroom) {
  const configuration::Row after = MakePlan("a", headroom);
  std::optional<configuration::Row> before;
  if (revision > 1) {
    before = MakePlan("a", headroom - 1);
  }
  return {core::Revision(revision),
          {MakeId<core::ChangeId>("c" + std::to_string(revision)),
           "ann",
           "because",
           {}},
          {{configuration::KeyOf(after), before, after}}};
}

class ServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceTest);
  CPPUNIT_TEST(AcceptedEditIsStoredBroadcastAndPublished);
  CPPUNIT_TEST(MergesAgainWhenTheRevisionIsTaken);
  CPPUNIT_TEST(UnreachableStoreChangesNothing);
  CPPUNIT_TEST(RequestsChangesFromANewerPeer);
  CPPUNIT_TEST(RequestsMissingChangesAfterAGap);
  CPPUNIT_TEST(AnswersAPeerWithChangesOrASnapshot);
  CPPUNIT_TEST(SameChangeIdIsAppliedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_fixture = std::make_unique<Fixture>(); }

  void tearDown() override { m_fixture.reset(); }

  void AcceptedEditIsStoredBroadcastAndPublished() {
    Fixture& f = *m_fixture;
    REQUIRE_CALL(f.store, ReadAfter(_, _))
        .RETURN(core::Result<std::vector<Change>>(std::vector<Change>{}));
    REQUIRE_CALL(f.store, Append(_))
        .RETURN(core::Result<AppendOutcome>(AppendOutcome::kAppended));
    REQUIRE_CALL(f.peers, BroadcastChange(_));
    REQUIRE_CALL(f.listener, OnConfigurationChanged(core::Revision(1), _));
    const ApplyReply reply = Apply(MakeEdit("c1", 0, ListsOf(20)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::get<core::Revision>(reply).Count());
  }

  void MergesAgainWhenTheRevisionIsTaken() {
    Fixture& f = *m_fixture;
    const Change other = {core::Revision(1),
                          {MakeId<core::ChangeId>("other"), "bob", "b", {}},
                          {{{MakeId<core::PlanId>("b"), {}},
                            std::nullopt,
                            configuration::Row(MakePlan("b"))}}};
    trompeloeil::sequence order;
    REQUIRE_CALL(f.store, ReadAfter(core::Revision(0), _))
        .RETURN(core::Result<std::vector<Change>>(std::vector<Change>{}))
        .IN_SEQUENCE(order);
    REQUIRE_CALL(f.store, Append(_))
        .RETURN(core::Result<AppendOutcome>(AppendOutcome::kRevisionTaken))
        .IN_SEQUENCE(order);
    REQUIRE_CALL(f.store, ReadAfter(core::Revision(0), _))
        .RETURN(core::Result<std::vector<Change>>(std::vector<Change>{other}))
        .IN_SEQUENCE(order);
    REQUIRE_CALL(f.store, Append(_))
        .WITH(_1.revision == core::Revision(2))
        .RETURN(core::Result<AppendOutcome>(AppendOutcome::kAppended))
        .IN_SEQUENCE(order);
    ALLOW_CALL(f.peers, BroadcastChange(_));
    ALLOW_CALL(f.listener, OnConfigurationChanged(_, _));
    const ApplyReply reply = Apply(MakeEdit("c1", 0, ListsOf(20)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         std::get<core::Revision>(reply).Count());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         f.service.Current().CurrentLists()->Rows().size());
  }

  void UnreachableStoreChangesNothing() {
    Fixture& f = *m_fixture;
    REQUIRE_CALL(f.store, ReadAfter(_, _))
        .RETURN(core::Result<std::vector<Change>>(
            core::Fail(core::Operation::kConnect, "store", "down")));
    REQUIRE_CALL(f.store, Append(_))
        .RETURN(core::Result<AppendOutcome>(
            core::Fail(core::Operation::kConnect, "store", "down")));
    const ApplyReply reply = Apply(MakeEdit("c1", 0, ListsOf(20)));
    CPPUNIT_ASSERT_EQUAL(std::string("connect (store): down"),
                         core::Describe(std::get<core::Error>(reply)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         f.service.Current().CurrentRevision().Count());
  }

  void RequestsChangesFromANewerPeer() {
    Fixture& f = *m_fixture;
    const auto peer = MakeId<core::InstanceId>("entry-2");
    REQUIRE_CALL(f.peers, RequestChanges(peer, core::Revision(0)));
    f.service.Handle(PeerRevisionReported{peer, core::Revision(3)});
    f.service.Handle(PeerRevisionReported{peer, core::Revision(0)});
  }

  void RequestsMissingChangesAfterAGap() {
    Fixture& f = *m_fixture;
    const auto peer = MakeId<core::InstanceId>("entry-2");
    REQUIRE_CALL(f.peers, RequestChanges(peer, core::Revision(0)));
    f.service.Handle(ChangesReceived{peer, {MakeChange(2, 21)}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         f.service.Current().CurrentRevision().Count());
    REQUIRE_CALL(f.listener, OnConfigurationChanged(core::Revision(2), _));
    f.service.Handle(
        ChangesReceived{peer, {MakeChange(1, 20), MakeChange(2, 21)}});
  }

  void AnswersAPeerWithChangesOrASnapshot() {
    Fixture& f = *m_fixture;
    const auto peer = MakeId<core::InstanceId>("entry-2");
    ALLOW_CALL(f.listener, OnConfigurationChanged(_, _));
    f.service.Handle(
        configuration::SnapshotReceived{{core::Revision(5), ListsOf(20)}});
    Change sixth = MakeChange(6, 21);
    f.service.Handle(ChangesReceived{{}, {sixth}});
    {
      REQUIRE_CALL(f.peers, SendChanges(peer, _)).WITH(_2.size() == 1);
      f.service.Handle(ChangesRequested{peer, core::Revision(5)});
    }
    REQUIRE_CALL(f.peers, SendSnapshot(peer, _))
        .WITH(_2.revision == core::Revision(6));
    f.service.Handle(ChangesRequested{peer, core::Revision(2)});
    f.service.Handle(ChangesRequested{peer, core::Revision(6)});
  }

  void SameChangeIdIsAppliedOnce() {
    Fixture& f = *m_fixture;
    ALLOW_CALL(f.store, ReadAfter(_, _))
        .RETURN(core::Result<std::vector<Change>>(std::vector<Change>{}));
    REQUIRE_CALL(f.store, Append(_))
        .RETURN(core::Result<AppendOutcome>(AppendOutcome::kAppended));
    ALLOW_CALL(f.peers, BroadcastChange(_));
    ALLOW_CALL(f.listener, OnConfigurationChanged(_, _));
    Apply(MakeEdit("c1", 0, ListsOf(20)));
    const ApplyReply again = Apply(MakeEdit("c1", 0, ListsOf(20)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::get<core::Revision>(again).Count());
  }

 private:
  struct Fixture {
    test::MockChangeStore store;
    test::MockConfigurationPeerPort peers;
    test::MockConfigurationListener listener;
    test::NullLogger logger;
    test::CountingMeter meter;
    test::FakeClock clock;
    configuration::Service service{
        {store, peers, listener, logger, meter, clock}};
  };

  static PlanLists ListsOf(std::uint64_t headroom) {
    return PlanLists::Create({MakePlan("a", headroom)}).value();
  }

  ApplyReply Apply(const configuration::Edit& edit) {
    const auto reply = std::make_shared<core::BoundedRing<ApplyReply>>(1);
    m_fixture->service.Handle(ApplyEdit{edit, reply});
    return *reply->PopFor(kNoWait);
  }

  std::unique_ptr<Fixture> m_fixture;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ServiceTest, "configuration");

}  // namespace
