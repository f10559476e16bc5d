#include "crocusmast/intake/store_circuit.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"

namespace {

using namespace crocusmast;
using intake::StoreCircuit;

class StoreCircuitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreCircuitTest);
  CPPUNIT_TEST(ConsecutiveFailuresOpenTheCircuit);
  CPPUNIT_TEST(ReplyBetweenFailuresKeepsTheCircuitClosed);
  CPPUNIT_TEST(FailureOfACallSentBeforeTheLastReplyIsNotCounted);
  CPPUNIT_TEST(OneProbeAtATimeIsStarted);
  CPPUNIT_TEST(ReplyClosesTheCircuit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_clock.Advance(std::chrono::seconds(100)); }

  void ConsecutiveFailuresOpenTheCircuit() {
    CPPUNIT_ASSERT(!m_circuit.TryStartProbe());
    for (int count = 1; count < StoreCircuit::kMaxConsecutiveFailures;
         ++count) {
      CPPUNIT_ASSERT(!m_circuit.RecordFailure(m_clock.Now()));
      CPPUNIT_ASSERT(m_circuit.IsClosed());
    }
    CPPUNIT_ASSERT(m_circuit.RecordFailure(m_clock.Now()));
    CPPUNIT_ASSERT(!m_circuit.IsClosed());
    CPPUNIT_ASSERT(!m_circuit.RecordFailure(m_clock.Now()));
  }

  // A store that loses some replies still works.
  void ReplyBetweenFailuresKeepsTheCircuitClosed() {
    for (int count = 0; count < 10; ++count) {
      CPPUNIT_ASSERT(!m_circuit.RecordFailure(m_clock.Now()));
      CPPUNIT_ASSERT(!m_circuit.RecordReply());
    }
    CPPUNIT_ASSERT(m_circuit.IsClosed());
  }

  // Calls that were lost in an outage may time out after its end.
  void FailureOfACallSentBeforeTheLastReplyIsNotCounted() {
    const core::TimePoint sent_at = m_clock.Now();
    m_clock.Advance(std::chrono::milliseconds(900));
    m_circuit.RecordReply();
    for (int count = 0; count < 10; ++count) {
      CPPUNIT_ASSERT(!m_circuit.RecordFailure(sent_at));
    }
    CPPUNIT_ASSERT(m_circuit.IsClosed());
  }

  void OneProbeAtATimeIsStarted() {
    Open();
    CPPUNIT_ASSERT(m_circuit.TryStartProbe());
    m_clock.Advance(std::chrono::seconds(5));
    CPPUNIT_ASSERT(!m_circuit.TryStartProbe());
    m_circuit.EndProbe();
    CPPUNIT_ASSERT(!m_circuit.TryStartProbe());
    m_clock.Advance(StoreCircuit::kProbeInterval -
                    std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(!m_circuit.TryStartProbe());
    m_clock.Advance(std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(m_circuit.TryStartProbe());
    CPPUNIT_ASSERT(!m_circuit.IsClosed());
  }

  void ReplyClosesTheCircuit() {
    Open();
    CPPUNIT_ASSERT(m_circuit.TryStartProbe());
    CPPUNIT_ASSERT(m_circuit.RecordReply());
    m_circuit.EndProbe();
    CPPUNIT_ASSERT(m_circuit.IsClosed());
    CPPUNIT_ASSERT(!m_circuit.TryStartProbe());
    CPPUNIT_ASSERT(!m_circuit.RecordFailure(m_clock.Now()));
    CPPUNIT_ASSERT(m_circuit.IsClosed());
  }

 private:
  void Open() {
    for (int count = 0; count < StoreCircuit::kMaxConsecutiveFailures;
         ++count) {
      m_circuit.RecordFailure(m_clock.Now());
    }
    CPPUNIT_ASSERT(!m_circuit.IsClosed());
  }

  test::FakeClock m_clock;
  StoreCircuit m_circuit{m_clock};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreCircuitTest, "intake");

}  // namespace
