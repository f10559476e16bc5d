#include "crocusmast/upkeep/cooldown_machine_port.h"

#include <cppunit/extensions/HelperMacros.h>

#include "test/support/command_record_support.h"
#include "test/support/fake_clock.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using test::MakeId;
using trompeloeil::_;
using upkeep::MachineCommandOutcome;

constexpr milliseconds kCooldown(3500);
constexpr core::FencingToken kToken(5);
constexpr core::FencingToken kNextToken(7);
const auto kMachine = MakeId<core::MachineId>("m-1");
const auto kOther = MakeId<core::MachineId>("m-2");
const auto kPool = MakeId<core::PoolId>("pool");

class CooldownMachinePortTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CooldownMachinePortTest);
  CPPUNIT_TEST(AllMachinesCoolDownAfterALeaderCrash);
  CPPUNIT_TEST(AllMachinesCoolDownAfterALeaderWithoutARecord);
  CPPUNIT_TEST(OnlyRecordedMachinesCoolDownAfterALeaderCrash);
  CPPUNIT_TEST(CooldownsOfTheRecordGetShorter);
  CPPUNIT_TEST(CommandsWithoutReplyBlockMachinesForLonger);
  CPPUNIT_TEST(MachinesStayBlockedOverTwoLeaderCrashes);
  CPPUNIT_TEST(OnlyRecentlyCommandedMachinesCoolDownAfterAHandover);
  CPPUNIT_TEST(NoCommandBeforeOwnHandoverStateIsStored);
  CPPUNIT_TEST(NoCommandBeforeItsAnnouncementIsStored);
  CPPUNIT_TEST(AnnouncementOfALaterRecordReplacesEarlierOnes);
  CPPUNIT_TEST(WithdrawnAnnouncementsAreRemovedFromTheRecord);
  CPPUNIT_TEST(CooldownsAreHandedOverToTheSuccessor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_clock.Advance(std::chrono::seconds(100)); }

  void AllMachinesCoolDownAfterALeaderCrash() {
    m_cooldown_port.BeginTerm(kToken, {});
    m_cooldown_port.EnableCommands();
    m_clock.Advance(kCooldown - milliseconds(1));
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    m_clock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
  }

  // The last leader may be of a version that stores no record, so that the
  // record of one before it is out of date.
  void AllMachinesCoolDownAfterALeaderWithoutARecord() {
    for (const core::FencingToken leader : {core::FencingToken(), kToken}) {
      job::StoredHandover stored;
      stored.handover.leader = leader;
      stored.commanded_machines.emplace();
      stored.commanded_machines->leader = core::FencingToken(4);
      m_cooldown_port.BeginTerm(kNextToken, stored);
      m_cooldown_port.EnableCommands();
      CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
      CPPUNIT_ASSERT(!m_cooldown_port.CountBlocked());
      m_clock.Advance(kCooldown);
      CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
    }
  }

  void OnlyRecordedMachinesCoolDownAfterALeaderCrash() {
    Command(kMachine);
    Answer(kMachine, MachineCommandOutcome::kDone);
    BeginNextTerm();
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
    // The record was made kRecordInterval after the reply.
    m_clock.Advance(kCooldown - upkeep::kRecordInterval - milliseconds(1));
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    m_clock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
  }

  void CooldownsOfTheRecordGetShorter() {
    Command(kMachine);
    Answer(kMachine, MachineCommandOutcome::kDone);
    m_clock.Advance(upkeep::kMaxRecordAge - milliseconds(1));
    CPPUNIT_ASSERT(!m_cooldown_port.NextRecord());
    m_clock.Advance(milliseconds(1));
    Store();
    CPPUNIT_ASSERT(m_stored->answered[0].cooldown_remaining ==
                   kCooldown - upkeep::kRecordInterval - upkeep::kMaxRecordAge);
    m_clock.Advance(kCooldown);
    Store();
    CPPUNIT_ASSERT(m_stored->open.empty() && m_stored->answered.empty());
    m_clock.Advance(upkeep::kMaxRecordAge);
    CPPUNIT_ASSERT(!m_cooldown_port.NextRecord());
  }

  void CommandsWithoutReplyBlockMachinesForLonger() {
    Command(kMachine);
    Answer(kMachine, MachineCommandOutcome::kUnknown);
    Command(kOther);
    BeginNextTerm();
    m_clock.Advance(upkeep::kMaxMachineCommandDelay - milliseconds(1));
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kOther));
    m_clock.Advance(milliseconds(1));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
  }

  // The second leader has commanded nothing, but the commands of the first may
  // still be executed.
  void MachinesStayBlockedOverTwoLeaderCrashes() {
    Command(kMachine);
    BeginNextTerm();
    Store();
    m_clock.Advance(milliseconds(1000));
    BeginNextTerm();
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
    m_clock.Advance(upkeep::kMaxMachineCommandDelay - milliseconds(1));
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    m_cooldown_port.BeginTerm(kToken, {});
    Store();
    m_clock.Advance(milliseconds(1000));
    BeginNextTerm();
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kOther));
  }

  void OnlyRecentlyCommandedMachinesCoolDownAfterAHandover() {
    m_cooldown_port.BeginTerm(
        kToken, test::MakeResignedState({{kMachine, milliseconds(2000)}}));
    m_cooldown_port.EnableCommands();
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kMachine));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
    m_clock.Advance(milliseconds(2000));
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kMachine));
  }

  // Until its own state is stored, a successor would read the state of the
  // earlier leader, which does not contain this leader's commands.
  void NoCommandBeforeOwnHandoverStateIsStored() {
    m_cooldown_port.BeginTerm(kToken, test::MakeResignedState());
    CPPUNIT_ASSERT(!m_cooldown_port.MayCommand(kOther));
    m_cooldown_port.EnableCommands();
    CPPUNIT_ASSERT(m_cooldown_port.MayCommand(kOther));
  }

  void NoCommandBeforeItsAnnouncementIsStored() {
    m_cooldown_port.BeginTerm(kToken, test::MakeResignedState());
    CPPUNIT_ASSERT(!m_cooldown_port.Announce(kMachine));
    const auto record = m_cooldown_port.NextRecord();
    CPPUNIT_ASSERT(record && record->leader == kToken);
    CPPUNIT_ASSERT(!m_cooldown_port.Announce(kMachine));
    m_cooldown_port.HandleStored(*record);
    CPPUNIT_ASSERT(m_cooldown_port.Announce(kMachine));
    CPPUNIT_ASSERT(!m_cooldown_port.Announce(kOther));
  }

  // The record that was stored last may not contain what an earlier one did.
  void AnnouncementOfALaterRecordReplacesEarlierOnes() {
    Command(kMachine);
    CPPUNIT_ASSERT(m_cooldown_port.Announce(kMachine));
    m_cooldown_port.Handle(
        {kMachine, MachineCommandOutcome::kDone, std::nullopt});
    m_clock.Advance(upkeep::kAnnouncementValidity);
    const auto later = m_cooldown_port.NextRecord();
    CPPUNIT_ASSERT(later && later->open.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, later->answered.size());
    CPPUNIT_ASSERT(!m_cooldown_port.Announce(kMachine));
    m_cooldown_port.HandleStored(*later);
    CPPUNIT_ASSERT(!m_cooldown_port.Announce(kMachine));
    Store();
    CPPUNIT_ASSERT(m_cooldown_port.Announce(kMachine));
  }

  void WithdrawnAnnouncementsAreRemovedFromTheRecord() {
    m_cooldown_port.BeginTerm(kToken, test::MakeResignedState());
    m_cooldown_port.Announce(kMachine);
    Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stored->open.size());
    m_clock.Advance(upkeep::kAnnouncementValidity);
    Store();
    CPPUNIT_ASSERT(m_stored->open.empty() && m_stored->answered.empty());
  }

  void CooldownsAreHandedOverToTheSuccessor() {
    m_cooldown_port.BeginTerm(
        kToken, test::MakeResignedState({{kMachine, milliseconds(3000)}}));
    m_cooldown_port.EnableCommands();
    m_clock.Advance(milliseconds(1000));
    m_cooldown_port.Move(kToken, kOther, kPool);
    m_clock.Advance(milliseconds(500));
    const std::vector<job::MachineCooldown> cooldowns =
        m_cooldown_port.RemainingCooldowns();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cooldowns.size());
    CPPUNIT_ASSERT(cooldowns[0].cooldown_remaining == milliseconds(1500));
    CPPUNIT_ASSERT(cooldowns[1].cooldown_remaining == milliseconds(3000));
    m_clock.Advance(kCooldown);
    CPPUNIT_ASSERT(m_cooldown_port.RemainingCooldowns().empty());
  }

 private:
  /** @brief Stores the record of commanded machines, if one is due. */
  void Store() {
    if (auto record = m_cooldown_port.NextRecord(); record) {
      m_cooldown_port.HandleStored(*record);
      m_stored = std::move(record);
    }
  }

  /** @brief Sends a command, in a term that begins with the first one. */
  void Command(const core::MachineId& machine) {
    if (!m_stored) {
      m_cooldown_port.BeginTerm(kToken, test::MakeResignedState());
    }
    m_cooldown_port.Announce(machine);
    Store();
    CPPUNIT_ASSERT(m_cooldown_port.Announce(machine));
    m_cooldown_port.Move(kToken, machine, kPool);
  }

  void Answer(const core::MachineId& machine, MachineCommandOutcome outcome) {
    m_cooldown_port.Handle({machine, outcome, std::nullopt});
    m_clock.Advance(upkeep::kRecordInterval);
    Store();
  }

  /** @brief Begins a term after the leader that has stored its record was
   * lost. */
  void BeginNextTerm() {
    job::StoredHandover stored;
    stored.handover.leader = m_stored->leader;
    stored.commanded_machines = m_stored;
    m_cooldown_port.BeginTerm(kNextToken, stored);
    m_cooldown_port.EnableCommands();
  }

  test::FakeClock m_clock;
  test::MockMachinePort m_port;
  std::unique_ptr<trompeloeil::expectation> m_allow_moves =
      NAMED_ALLOW_CALL(m_port, Move(_, _, _));
  std::optional<job::CommandedMachines> m_stored;
  upkeep::CooldownMachinePort m_cooldown_port{m_port, m_clock, kCooldown};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CooldownMachinePortTest, "upkeep");

}  // namespace
