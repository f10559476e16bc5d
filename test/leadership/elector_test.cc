#include "crocusmast/leadership/elector.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/job_fakes.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using leadership::DutyClaimed;
using leadership::DutyStored;
using leadership::DutyVacant;
using leadership::Elector;
using leadership::Holder;
using leadership::LeaseGranted;
using leadership::LeaseId;
using leadership::LeaseOutcome;
using leadership::LeaseRenewed;
using trompeloeil::_;

const Holder kSelf{"entry-1", "life-2"};
const Holder kOther{"entry-2", "life-9"};

class ElectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ElectorTest);
  CPPUNIT_TEST(AVacantDutyIsTaken);
  CPPUNIT_TEST(AHeldDutyIsLeftAlone);
  CPPUNIT_TEST(ALostAnswerIsFoundInTheStore);
  CPPUNIT_TEST(AnUnknownClaimIsReleased);
  CPPUNIT_TEST(AnEndedLeaseEndsTheHold);
  CPPUNIT_TEST(WithoutTheStoreItActsOnForAWhile);
  CPPUNIT_TEST(ASuccessorsClaimEndsTheHold);
  CPPUNIT_TEST(AnEarlierLifeIsDeposed);
  CPPUNIT_TEST(ResigningReleases);
  CPPUNIT_TEST(APatientInstanceLeavesAVacantDutyToOthersFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_clock.Advance(std::chrono::seconds(100)); }

  void AVacantDutyIsTaken() {
    Take(12);
    CPPUNIT_ASSERT(m_elector.MayAct());
    CPPUNIT_ASSERT(m_elector.IsSure());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, m_elector.Token().Count());
  }

  void AHeldDutyIsLeftAlone() {
    FORBID_CALL(m_leases, Grant(_));
    m_elector.Handle(DutyStored{kOther, core::Revision(4)});
    m_elector.Tick();
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void ALostAnswerIsFoundInTheStore() {
    Ask();
    m_elector.Handle(DutyStored{kSelf, core::Revision(15)});
    CPPUNIT_ASSERT(m_elector.MayAct());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, m_elector.Token().Count());
  }

  void AnUnknownClaimIsReleased() {
    Ask();
    REQUIRE_CALL(m_leases, Release(LeaseId(7)));
    m_elector.Handle(DutyClaimed{LeaseOutcome::kUnknown, {}});
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void AnEndedLeaseEndsTheHold() {
    Take(12);
    m_elector.Handle(
        LeaseRenewed{LeaseOutcome::kLost, LeaseId(7), m_clock.Now()});
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void WithoutTheStoreItActsOnForAWhile() {
    Take(12);
    ALLOW_CALL(m_leases, Renew(_));
    m_clock.Advance(leadership::kSchedulingLease.length);
    m_elector.Tick();
    m_elector.Handle(
        LeaseRenewed{LeaseOutcome::kRefused, LeaseId(7), m_clock.Now()});
    CPPUNIT_ASSERT(m_elector.MayAct());
    CPPUNIT_ASSERT(!m_elector.IsSure());
    m_clock.Advance(leadership::kSchedulingLease.acting);
    m_elector.Tick();
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void ASuccessorsClaimEndsTheHold() {
    Take(12);
    m_elector.Handle(DutyStored{kOther, core::Revision(30)});
    CPPUNIT_ASSERT(!m_elector.MayAct());
    // News from before the claim changes nothing.
    ElectorTest second;
    second.setUp();
    second.Take(12);
    second.m_elector.Handle(DutyStored{kOther, core::Revision(5)});
    CPPUNIT_ASSERT(second.m_elector.MayAct());
  }

  void AnEarlierLifeIsDeposed() {
    REQUIRE_CALL(m_leases, Depose(core::Revision(9)));
    m_elector.Handle(DutyStored{{kSelf.instance, "life-1"}, core::Revision(9)});
  }

  void ResigningReleases() {
    Take(12);
    REQUIRE_CALL(m_leases, Release(LeaseId(7)));
    m_elector.Resign();
    FORBID_CALL(m_leases, Grant(_));
    m_elector.Handle(DutyVacant{core::Revision(40)});
    CPPUNIT_ASSERT(!m_elector.MayAct());
  }

  void APatientInstanceLeavesAVacantDutyToOthersFirst() {
    const std::chrono::milliseconds patience(700);
    Elector patient{kSelf, patience, m_leases, m_clock, m_logger};
    {
      FORBID_CALL(m_leases, Grant(_));
      patient.Handle(DutyVacant{core::Revision(3)});
      m_clock.Advance(patience / 2);
      patient.Tick();
      // Somebody else took it meanwhile, and lost it again.
      patient.Handle(DutyStored{kOther, core::Revision(4)});
      patient.Handle(DutyVacant{core::Revision(5)});
      m_clock.Advance(patience / 2);
      patient.Tick();
    }
    REQUIRE_CALL(m_leases, Grant(_));
    m_clock.Advance(patience / 2);
    patient.Tick();
  }

 private:
  void Ask() {
    REQUIRE_CALL(m_leases, Grant(leadership::kSchedulingLease.length));
    REQUIRE_CALL(m_leases, Claim(kSelf, LeaseId(7)));
    m_elector.Handle(DutyVacant{core::Revision(3)});
    m_elector.Handle(
        LeaseGranted{LeaseOutcome::kDone, LeaseId(7), m_clock.Now()});
  }

  void Take(std::uint64_t revision) {
    Ask();
    m_elector.Handle(
        DutyClaimed{LeaseOutcome::kDone, core::Revision(revision)});
  }

  test::FakeClock m_clock;
  test::SilentLogger m_logger;
  test::MockLeases m_leases;
  Elector m_elector{kSelf, std::chrono::milliseconds(0), m_leases, m_clock,
                    m_logger};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ElectorTest, "leadership");

}  // namespace
