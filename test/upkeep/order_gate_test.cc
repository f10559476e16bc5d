#include "crocusmast/upkeep/order_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/job_fakes.h"

namespace {

using namespace crocusmast;
using test::MakeId;
using trompeloeil::_;

constexpr std::chrono::milliseconds kGap(3500);
const auto kMachine = MakeId<core::MachineId>("m-1");
const auto kOther = MakeId<core::MachineId>("m-2");
const auto kPool = MakeId<core::PoolId>("pool");

class OrderGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderGateTest);
  CPPUNIT_TEST(AfterADeathEveryMachineIsLeftAlone);
  CPPUNIT_TEST(AfterAHandOverOnlyThoseThatWereOrderedAre);
  CPPUNIT_TEST(NothingIsOrderedBeforeItsOwnNotesAreStored);
  CPPUNIT_TEST(OrdersAreNotedForTheNextHolder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_clock.Advance(std::chrono::seconds(100)); }

  void AfterADeathEveryMachineIsLeftAlone() {
    m_gate.Begin(std::nullopt);
    m_gate.Open();
    m_clock.Advance(kGap - std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(!m_gate.IsOpen(kMachine));
    m_clock.Advance(std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(m_gate.IsOpen(kMachine));
  }

  void AfterAHandOverOnlyThoseThatWereOrderedAre() {
    m_gate.Begin(std::vector<job::OrderNote>{
        {kMachine, std::chrono::milliseconds(2000)}});
    m_gate.Open();
    CPPUNIT_ASSERT(!m_gate.IsOpen(kMachine));
    CPPUNIT_ASSERT(m_gate.IsOpen(kOther));
    m_clock.Advance(std::chrono::milliseconds(2000));
    CPPUNIT_ASSERT(m_gate.IsOpen(kMachine));
  }

  // The next holder would read the notes of the one before.
  void NothingIsOrderedBeforeItsOwnNotesAreStored() {
    m_gate.Begin(std::vector<job::OrderNote>());
    CPPUNIT_ASSERT(!m_gate.IsOpen(kOther));
    m_gate.Open();
    CPPUNIT_ASSERT(m_gate.IsOpen(kOther));
  }

  void OrdersAreNotedForTheNextHolder() {
    ALLOW_CALL(m_port, Move(_, _, _));
    m_gate.Begin(std::vector<job::OrderNote>{
        {kMachine, std::chrono::milliseconds(3000)}});
    m_gate.Open();
    m_clock.Advance(std::chrono::milliseconds(1000));
    m_gate.Move(core::FencingToken(5), kOther, kPool);
    m_clock.Advance(std::chrono::milliseconds(500));
    const std::vector<job::OrderNote> orders = m_gate.LastOrders();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
    CPPUNIT_ASSERT(orders[0].closed_for == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(orders[1].closed_for == std::chrono::milliseconds(3000));
    m_clock.Advance(kGap);
    CPPUNIT_ASSERT(m_gate.LastOrders().empty());
  }

 private:
  test::FakeClock m_clock;
  test::MockMachines m_port;
  upkeep::OrderGate m_gate{m_port, m_clock, kGap};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OrderGateTest, "upkeep");

}  // namespace
