#include "crocusmast/manager/resignation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>

#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using job::StoreOutcome;
using std::chrono::milliseconds;
using test::MakeId;

constexpr core::FencingToken kToken{7};

class ResignationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResignationTest);
  CPPUNIT_TEST(EndsWithTheReply);
  CPPUNIT_TEST(RefusedHandoverIsSentAgain);
  CPPUNIT_TEST(HandoverWithoutReplyIsSentAgain);
  CPPUNIT_TEST(ConflictAfterALostReplyIsNeitherStoredNorFailed);
  CPPUNIT_TEST(ReplyOfAnEarlierTermIsIgnored);
  CPPUNIT_TEST(ConflictOfTheFirstCallMeansTheClaimIsGone);
  CPPUNIT_TEST(LeasesGetShorterWhileTheStoreIsAway);
  CPPUNIT_TEST(GivesUpBeforeTheInstanceIsKilled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    job::HandoverState handover;
    handover.workers.push_back(
        {MakeId<core::InstanceId>("worker"), core::Incarnation(1),
         MakeId<core::PoolId>("pool"), milliseconds(3000)});
    m_resignation.Begin(kToken, std::move(handover));
  }

  void EndsWithTheReply() {
    CPPUNIT_ASSERT(m_resignation.IsPending());
    m_resignation.Handle({kToken, StoreOutcome::kDone});
    CPPUNIT_ASSERT(!m_resignation.IsPending());
    Wait(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(1, m_store.handover_calls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_meter.Count(core::Counter::kHandoversStored));
  }

  void RefusedHandoverIsSentAgain() {
    m_resignation.Handle({kToken, StoreOutcome::kRefused});
    CPPUNIT_ASSERT(m_resignation.IsPending());
    CPPUNIT_ASSERT_EQUAL(1, m_store.handover_calls);
    Wait(manager::kHandoverRetryDelay);
    CPPUNIT_ASSERT_EQUAL(2, m_store.handover_calls);
  }

  void HandoverWithoutReplyIsSentAgain() {
    Wait(manager::kHandoverReplyTimeout);
    CPPUNIT_ASSERT_EQUAL(2, m_store.handover_calls);
    m_resignation.Handle({kToken, StoreOutcome::kUnknown});
    Wait(manager::kHandoverRetryDelay);
    CPPUNIT_ASSERT_EQUAL(3, m_store.handover_calls);
  }

  void ConflictAfterALostReplyIsNeitherStoredNorFailed() {
    m_resignation.Handle({kToken, StoreOutcome::kUnknown});
    Wait(manager::kHandoverRetryDelay);
    m_resignation.Handle({kToken, StoreOutcome::kConflict});
    CPPUNIT_ASSERT(!m_resignation.IsPending());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         m_meter.Count(core::Counter::kHandoversStored));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         m_meter.Count(core::Counter::kHandoversFailed));
  }

  // It would end the resignation before this term's state is stored.
  void ReplyOfAnEarlierTermIsIgnored() {
    m_resignation.Handle({core::FencingToken(6), StoreOutcome::kConflict});
    m_resignation.Handle({core::FencingToken(6), StoreOutcome::kDone});
    CPPUNIT_ASSERT(m_resignation.IsPending());
  }

  void ConflictOfTheFirstCallMeansTheClaimIsGone() {
    m_resignation.Handle({kToken, StoreOutcome::kConflict});
    CPPUNIT_ASSERT(!m_resignation.IsPending());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_meter.Count(core::Counter::kHandoversFailed));
  }

  // A successor counts a lease from the end of the term, so a handover that is
  // sent later must hold what is left by then.
  void LeasesGetShorterWhileTheStoreIsAway() {
    m_clock.Advance(milliseconds(800));
    m_resignation.Handle({kToken, StoreOutcome::kRefused});
    Wait(milliseconds(200));
    CPPUNIT_ASSERT(m_store.last_handover.workers[0].lease_remaining ==
                   milliseconds(2100));
  }

  void GivesUpBeforeTheInstanceIsKilled() {
    Wait(manager::kResignationTimeout);
    CPPUNIT_ASSERT(!m_resignation.IsPending());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         m_meter.Count(core::Counter::kHandoversFailed));
  }

 private:
  void Wait(milliseconds duration) {
    constexpr milliseconds kTick{50};
    for (milliseconds waited{}; waited < duration; waited += kTick) {
      m_clock.Advance(kTick);
      m_resignation.Tick();
    }
  }

  test::FakeClock m_clock;
  test::NullLogger m_logger;
  test::CountingMeter m_meter;
  test::RecordingJobStore m_store;
  manager::Resignation m_resignation{{m_store, m_clock, m_logger, m_meter}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ResignationTest, "manager");

}  // namespace
