#include "crocusmast/leadership/leader_elector.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using leadership::HolderIdentity;
using leadership::LeaderElector;
using leadership::LeaderObserved;
using leadership::LeadershipClaimReply;
using leadership::LeadershipVacant;
using leadership::LeaseGrantReply;
using leadership::LeaseId;
using leadership::LeaseOutcome;
using leadership::LeaseRenewalReply;
using trompeloeil::_;

const HolderIdentity kSelf{"entry-1", "life-2"};
const HolderIdentity kOther{"entry-2", "life-9"};

class LeaderElectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderElectorTest);
  CPPUNIT_TEST(VacantLeadershipIsAcquired);
  CPPUNIT_TEST(HeldLeadershipIsNotClaimed);
  CPPUNIT_TEST(ClaimWithoutReplyIsConfirmedByTheStore);
  CPPUNIT_TEST(UnconfirmedClaimIsReleased);
  CPPUNIT_TEST(ExpiredLeaseEndsTheTerm);
  CPPUNIT_TEST(LeaderActsUntilTheRenewDeadlineDuringAnOutage);
  CPPUNIT_TEST(OnlyNewerClaimEndsTheTerm);
  CPPUNIT_TEST(ClaimOfAnEarlierIncarnationIsRevoked);
  CPPUNIT_TEST(ResigningReleasesTheLease);
  CPPUNIT_TEST(LostLeaseWhileHandingOverIsNotReplaced);
  CPPUNIT_TEST(ClaimDelayLetsOtherInstancesClaimFirst);
  CPPUNIT_TEST(VacancyIsKnownFromItsFirstObservation);
  CPPUNIT_TEST(VacancyBeforeAnotherClaimIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_clock.Advance(std::chrono::seconds(100)); }

  void VacantLeadershipIsAcquired() {
    AcquireLeadership(12);
    CPPUNIT_ASSERT(m_elector.MayAct());
    CPPUNIT_ASSERT(m_elector.IsLeaseValid());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, m_elector.Token().Count());
  }

  void HeldLeadershipIsNotClaimed() {
    FORBID_CALL(m_leases, RequestLease(_));
    m_elector.Handle(LeaderObserved{kOther, core::Revision(4)});
    m_elector.Tick();
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void ClaimWithoutReplyIsConfirmedByTheStore() {
    ClaimVacantLeadership();
    m_elector.Handle(LeaderObserved{kSelf, core::Revision(15)});
    CPPUNIT_ASSERT(m_elector.MayAct());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, m_elector.Token().Count());
  }

  void UnconfirmedClaimIsReleased() {
    ClaimVacantLeadership();
    REQUIRE_CALL(m_leases, Release(LeaseId(7)));
    m_elector.Handle(LeadershipClaimReply{LeaseOutcome::kUnknown, {}});
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void ExpiredLeaseEndsTheTerm() {
    AcquireLeadership(12);
    m_elector.Handle(
        LeaseRenewalReply{LeaseOutcome::kLost, LeaseId(7), m_clock.Now()});
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void LeaderActsUntilTheRenewDeadlineDuringAnOutage() {
    AcquireLeadership(12);
    ALLOW_CALL(m_leases, Renew(_));
    m_clock.Advance(leadership::kSchedulingLease.duration);
    m_elector.Tick();
    m_elector.Handle(
        LeaseRenewalReply{LeaseOutcome::kRefused, LeaseId(7), m_clock.Now()});
    CPPUNIT_ASSERT(m_elector.MayAct());
    CPPUNIT_ASSERT(!m_elector.IsLeaseValid());
    m_clock.Advance(leadership::kSchedulingLease.renew_deadline);
    m_elector.Tick();
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void OnlyNewerClaimEndsTheTerm() {
    AcquireLeadership(12);
    m_elector.Handle(LeaderObserved{kOther, core::Revision(30)});
    CPPUNIT_ASSERT(!m_elector.MayAct());
    // A claim that is older than this leader's own claim has no effect.
    LeaderElectorTest second_fixture;
    second_fixture.setUp();
    second_fixture.AcquireLeadership(12);
    second_fixture.m_elector.Handle(LeaderObserved{kOther, core::Revision(5)});
    CPPUNIT_ASSERT(second_fixture.m_elector.MayAct());
  }

  void ClaimOfAnEarlierIncarnationIsRevoked() {
    REQUIRE_CALL(m_leases, RevokeClaim(core::Revision(9)));
    m_elector.Handle(
        LeaderObserved{{kSelf.instance, "life-1"}, core::Revision(9)});
  }

  // A stopping instance claimed the leadership again, and released that claim
  // without a handover.
  void LostLeaseWhileHandingOverIsNotReplaced() {
    AcquireLeadership(12);
    m_elector.StopActing();
    CPPUNIT_ASSERT(!m_elector.MayAct());
    FORBID_CALL(m_leases, RequestLease(_));
    ALLOW_CALL(m_leases, Renew(_));
    m_elector.Handle(
        LeaseRenewalReply{LeaseOutcome::kLost, LeaseId(7), m_clock.Now()});
    m_elector.Handle(LeadershipVacant{core::Revision(20)});
    m_clock.Advance(std::chrono::seconds(2));
    m_elector.Tick();
    REQUIRE_CALL(m_leases, Release(LeaseId(7)));
    m_elector.ReleaseLease();
  }

  void ResigningReleasesTheLease() {
    AcquireLeadership(12);
    REQUIRE_CALL(m_leases, Release(LeaseId(7)));
    m_elector.Resign();
    FORBID_CALL(m_leases, RequestLease(_));
    m_elector.Handle(LeadershipVacant{core::Revision(40)});
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void ClaimDelayLetsOtherInstancesClaimFirst() {
    const std::chrono::milliseconds delay(700);
    LeaderElector delayed{kSelf, delay, m_leases, m_clock, m_logger};
    {
      FORBID_CALL(m_leases, RequestLease(_));
      delayed.Handle(LeadershipVacant{core::Revision(3)});
      m_clock.Advance(delay / 2);
      delayed.Tick();
      // Another instance claims the leadership in the meantime and loses it
      // again.
      delayed.Handle(LeaderObserved{kOther, core::Revision(4)});
      delayed.Handle(LeadershipVacant{core::Revision(5)});
      m_clock.Advance(delay / 2);
      delayed.Tick();
    }
    REQUIRE_CALL(m_leases, RequestLease(_));
    m_clock.Advance(delay / 2);
    delayed.Tick();
  }

  void VacancyIsKnownFromItsFirstObservation() {
    const core::TimePoint start = m_clock.Now();
    ClaimVacantLeadership();
    m_clock.Advance(std::chrono::milliseconds(300));
    m_elector.Handle(LeadershipVacant{core::Revision(4)});
    CPPUNIT_ASSERT(!m_elector.VacantSince(core::Revision(3)));
    m_elector.Handle(LeaderObserved{kSelf, core::Revision(15)});
    CPPUNIT_ASSERT(m_elector.VacantSince(core::Revision(3)) == start);
    CPPUNIT_ASSERT(!m_elector.VacantSince(core::Revision(4)));
    m_elector.Handle(LeaderObserved{kSelf, core::Revision(15)});
    CPPUNIT_ASSERT(m_elector.VacantSince(core::Revision(3)) == start);
    m_elector.Handle(LeaderObserved{kOther, core::Revision(30)});
    CPPUNIT_ASSERT(!m_elector.VacantSince(core::Revision(3)));
  }

  void VacancyBeforeAnotherClaimIsForgotten() {
    LeaderElector delayed{kSelf, std::chrono::milliseconds(700), m_leases,
                          m_clock, m_logger};
    delayed.Handle(LeadershipVacant{core::Revision(3)});
    delayed.Handle(LeaderObserved{kOther, core::Revision(4)});
    m_clock.Advance(std::chrono::seconds(1));
    const core::TimePoint vacant_since = m_clock.Now();
    delayed.Handle(LeadershipVacant{core::Revision(5)});
    REQUIRE_CALL(m_leases, RequestLease(_));
    REQUIRE_CALL(m_leases, ClaimLeadership(kSelf, LeaseId(7)));
    m_clock.Advance(std::chrono::seconds(1));
    delayed.Tick();
    delayed.Handle(
        LeaseGrantReply{LeaseOutcome::kDone, LeaseId(7), m_clock.Now()});
    delayed.Handle(
        LeadershipClaimReply{LeaseOutcome::kDone, core::Revision(6)});
    CPPUNIT_ASSERT(delayed.VacantSince(core::Revision(2)) == vacant_since);
  }

 private:
  void ClaimVacantLeadership() {
    REQUIRE_CALL(m_leases, RequestLease(leadership::kSchedulingLease.duration));
    REQUIRE_CALL(m_leases, ClaimLeadership(kSelf, LeaseId(7)));
    m_elector.Handle(LeadershipVacant{core::Revision(3)});
    m_elector.Handle(
        LeaseGrantReply{LeaseOutcome::kDone, LeaseId(7), m_clock.Now()});
  }

  void AcquireLeadership(std::uint64_t revision) {
    ClaimVacantLeadership();
    m_elector.Handle(
        LeadershipClaimReply{LeaseOutcome::kDone, core::Revision(revision)});
  }

  test::FakeClock m_clock;
  test::NullLogger m_logger;
  test::MockLeasePort m_leases;
  LeaderElector m_elector{kSelf, std::chrono::milliseconds(0), m_leases,
                          m_clock, m_logger};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LeaderElectorTest, "leadership");

}  // namespace
