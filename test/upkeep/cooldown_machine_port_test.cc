#include "crocusmast/upkeep/cooldown_machine_port.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/fake_clock.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using test::MakeId;
using trompeloeil::_;

constexpr std::chrono::milliseconds kCooldown(3500);
const auto kMachine = MakeId<core::MachineId>("m-1");
const auto kOther = MakeId<core::MachineId>("m-2");
const auto kPool = MakeId<core::PoolId>("pool");

class CooldownMachinePortTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CooldownMachinePortTest);
  CPPUNIT_TEST(AllMachinesCoolDownAfterALeaderCrash);
  CPPUNIT_TEST(OnlyRecentlyCommandedMachinesCoolDownAfterAHandover);
  CPPUNIT_TEST(NoCommandBeforeOwnHandoverStateIsStored);
  CPPUNIT_TEST(CooldownsAreHandedOverToTheSuccessor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_clock.Advance(std::chrono::seconds(100)); }

  void AllMachinesCoolDownAfterALeaderCrash() {
    m_cooldown_port.BeginTerm(std::nullopt);
    m_cooldown_port.EnableCommands();
    m_clock.Advance(kCooldown - std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    m_clock.Advance(std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
  }

  void OnlyRecentlyCommandedMachinesCoolDownAfterAHandover() {
    m_cooldown_port.BeginTerm(std::vector<job::MachineCooldown>{
        {kMachine, std::chrono::milliseconds(2000)}});
    m_cooldown_port.EnableCommands();
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
    m_clock.Advance(std::chrono::milliseconds(2000));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
  }

  // Until its own state is stored, a successor would read the state of the
  // earlier leader, which does not contain this leader's commands.
  void NoCommandBeforeOwnHandoverStateIsStored() {
    m_cooldown_port.BeginTerm(std::vector<job::MachineCooldown>());
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kOther));
    m_cooldown_port.EnableCommands();
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
  }

  void CooldownsAreHandedOverToTheSuccessor() {
    ALLOW_CALL(m_port, Move(_, _, _));
    m_cooldown_port.BeginTerm(std::vector<job::MachineCooldown>{
        {kMachine, std::chrono::milliseconds(3000)}});
    m_cooldown_port.EnableCommands();
    m_clock.Advance(std::chrono::milliseconds(1000));
    m_cooldown_port.Move(core::FencingToken(5), kOther, kPool);
    m_clock.Advance(std::chrono::milliseconds(500));
    const std::vector<job::MachineCooldown> cooldowns =
        m_cooldown_port.RemainingCooldowns();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cooldowns.size());
    CPPUNIT_ASSERT(cooldowns[0].cooldown_remaining ==
                   std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(cooldowns[1].cooldown_remaining ==
                   std::chrono::milliseconds(3000));
    m_clock.Advance(kCooldown);
    CPPUNIT_ASSERT(m_cooldown_port.RemainingCooldowns().empty());
  }

 private:
  test::FakeClock m_clock;
  test::MockMachinePort m_port;
  upkeep::CooldownMachinePort m_cooldown_port{m_port, m_clock, kCooldown};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CooldownMachinePortTest, "upkeep");

}  // namespace
