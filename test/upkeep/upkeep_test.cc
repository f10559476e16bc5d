#include "crocusmast/upkeep/upkeep.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "test/support/fake_clock.h"
#include "test/support/job_fakes.h"
#include "test/support/mocks.h"

namespace {

using namespace crocusmast;
using test::MakeId;
using trompeloeil::_;
using upkeep::Machine;
using upkeep::MachineOutcome;
using upkeep::MachineState;
using upkeep::Upkeep;

constexpr std::uint32_t kMachines = 12;
constexpr std::uint32_t kCap = 3;
const core::WaveNumber kWave(4);
const auto kNoneMoves = [](const core::MachineId&) { return false; };

/** @brief Machines that go down on an order and come back two seconds later. */
class MachineRoom final : public upkeep::MachinePort,
                          public upkeep::WorkerKeeper {
 public:
  explicit MachineRoom(const core::Clock& clock) : m_clock(clock) {
    for (std::uint32_t index = 0; index < kMachines; ++index) {
      Machine machine;
      machine.id = MakeId<core::MachineId>("m-" + std::to_string(index));
      machine.pool = MakeId<core::PoolId>(index % 2 == 0 ? "even" : "odd");
      machine.state = MachineState::kUp;
      machine.worker =
          MakeId<core::InstanceId>("w-" + std::to_string(index) + "-0");
      machines.emplace(machine.id, machine);
    }
  }

  void List() override { is_asked = true; }
  void Move(core::FencingToken,
            const core::MachineId&,
            const core::PoolId&) override {}
  void TakeDown(core::FencingToken,
                const core::MachineId& id,
                core::WaveNumber) override {
    ordered.push_back(id);
  }
  void WriteStatus(core::FencingToken,
                   core::WaveNumber,
                   bool is_done) override {
    statuses.push_back(is_done);
  }
  upkeep::Usage UsageOf(const core::InstanceId&) const override {
    return usage;
  }
  void SetAside(const core::InstanceId& worker) override {
    aside.insert(worker);
  }
  bool IsEmpty(const core::InstanceId& worker) const override {
    return aside.count(worker) > 0 && busy.count(worker) == 0;
  }

  /** @brief Carries an order out; one that was done before changes nothing. */
  void CarryOut(const core::MachineId& id) {
    if (begun.insert(id).second) {
      machines[id].state = MachineState::kUpkeep;
      m_down_at[id] = m_clock.Now();
      most_down = std::max(most_down, Down());
    }
  }

  void Advance() {
    for (auto& [id, machine] : machines) {
      const bool is_back =
          machine.state == MachineState::kUpkeep &&
          m_down_at[id] + std::chrono::seconds(2) <= m_clock.Now();
      if (is_back) {
        machine.state = MachineState::kUp;
        machine.worker =
            MakeId<core::InstanceId>(machine.worker.Text() + "-new");
      }
    }
  }

  std::size_t Down() const {
    std::size_t down = 0;
    for (const auto& [id, machine] : machines) {
      down += machine.state == MachineState::kUpkeep ? 1 : 0;
    }
    return down;
  }

  std::map<core::MachineId, Machine> machines;
  std::vector<core::MachineId> ordered;
  std::set<core::MachineId> begun;
  std::vector<bool> statuses;
  std::set<core::InstanceId> aside;
  std::set<core::InstanceId> busy;
  std::size_t most_down = 0;
  upkeep::Usage usage;
  bool is_asked = false;

 private:
  const core::Clock& m_clock;
  std::map<core::MachineId, core::TimePoint> m_down_at;
};

class UpkeepTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpkeepTest);
  CPPUNIT_TEST(AWaveIsDoneWithinItsCap);
  CPPUNIT_TEST(AnOldListDoesNotBringMachinesBack);
  CPPUNIT_TEST(LostAnswersCountAsDown);
  CPPUNIT_TEST(ABusyWorkerIsWaitedFor);
  CPPUNIT_TEST(NothingIsOrderedWhenUnsureOrTooSoon);
  CPPUNIT_TEST(ASuccessorGoesOn);
  CPPUNIT_TEST(ASuccessorKnowsHowOldAWaveIs);
  CPPUNIT_TEST(AMachineThatLeftIsNotWaitedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_gate.Begin(std::nullopt);
    m_gate.Open();
    m_upkeep.Begin(core::FencingToken(9), {});
    upkeep::WaveRequest wave;
    wave.number = kWave;
    wave.cap = kCap;
    wave.time = std::chrono::seconds(30);
    for (const auto& [id, machine] : m_room.machines) {
      wave.machines.push_back(id);
    }
    m_upkeep.Handle(upkeep::WaveAsked{wave});
  }

  void AWaveIsDoneWithinItsCap() {
    Play(std::chrono::seconds(30), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines}, m_room.begun.size());
    CPPUNIT_ASSERT(m_room.most_down <= kCap);
    CPPUNIT_ASSERT(!m_room.statuses.front());
    CPPUNIT_ASSERT(m_room.statuses.back());
  }

  // A list asked for before the orders shows every machine as up.
  void AnOldListDoesNotBringMachinesBack() {
    m_gate.Begin(std::nullopt);
    m_gate.Open();
    m_upkeep.Begin(core::FencingToken(11), {});
    m_room.is_asked = true;
    const auto before = m_room.machines;
    Answer();
    m_clock.Advance(std::chrono::seconds(4));
    for (int count = 0; count < 10; ++count) {
      m_upkeep.Round(true, kNoneMoves);
      while (m_answered < m_room.ordered.size()) {
        const core::MachineId id = m_room.ordered[m_answered++];
        m_room.CarryOut(id);
        m_upkeep.Handle(upkeep::MachineReplied{id, MachineOutcome::kDone});
      }
      upkeep::MachinesListed old;
      old.is_known = true;
      for (const auto& [id, machine] : before) {
        old.machines.push_back(machine);
      }
      m_upkeep.Handle(std::move(old));
    }
    CPPUNIT_ASSERT(m_room.most_down <= kCap);
  }

  void LostAnswersCountAsDown() {
    Play(std::chrono::seconds(60),
         [](std::size_t order) { return order % 3 == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines}, m_room.begun.size());
    CPPUNIT_ASSERT(m_room.most_down <= kCap);
  }

  void ABusyWorkerIsWaitedFor() {
    const core::MachineId id = MakeId<core::MachineId>("m-5");
    m_room.busy.insert(m_room.machines[id].worker);
    Play(std::chrono::seconds(30), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines - 1}, m_room.begun.size());
    CPPUNIT_ASSERT(!m_room.statuses.back());
  }

  void NothingIsOrderedWhenUnsureOrTooSoon() {
    for (int count = 0; count < 100; ++count) {
      m_upkeep.Round(false, kNoneMoves);
      Answer();
      m_clock.Advance(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(m_room.ordered.empty());
    m_gate.Begin(std::nullopt);
    m_gate.Open();
    m_upkeep.Begin(core::FencingToken(10), {});
    m_upkeep.Round(true, kNoneMoves);
    Answer();
    m_upkeep.Round(true, kNoneMoves);
    // The earlier holder may have given an order a moment ago.
    CPPUNIT_ASSERT(m_room.ordered.empty());
  }

  void ASuccessorGoesOn() {
    Play(std::chrono::seconds(8), [](std::size_t) { return true; });
    const std::size_t orders = m_room.ordered.size();
    CPPUNIT_ASSERT(orders > 0);
    const std::vector<job::WaveNote> notes = m_upkeep.Notes();
    m_gate.Begin(std::nullopt);
    m_gate.Open();
    m_upkeep.Begin(core::FencingToken(10), notes);
    Play(std::chrono::seconds(40), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines}, m_room.begun.size());
    CPPUNIT_ASSERT(m_room.most_down <= kCap);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines}, m_room.ordered.size());
  }

  // Busy machines are taken late in a wave; a new hold does not begin anew.
  void ASuccessorKnowsHowOldAWaveIs() {
    m_room.usage.passing = 1;
    m_clock.Advance(std::chrono::seconds(18));
    m_gate.Begin(std::nullopt);
    m_gate.Open();
    m_upkeep.Begin(core::FencingToken(10), {});
    Play(std::chrono::seconds(5), [](std::size_t) { return true; });
    CPPUNIT_ASSERT(!m_room.ordered.empty());
  }

  void AMachineThatLeftIsNotWaitedFor() {
    m_room.machines.erase(MakeId<core::MachineId>("m-3"));
    Play(std::chrono::seconds(30), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines - 1}, m_room.begun.size());
    CPPUNIT_ASSERT(m_room.statuses.back());
  }

 private:
  void Answer() {
    if (std::exchange(m_room.is_asked, false)) {
      upkeep::MachinesListed listed;
      listed.is_known = true;
      for (const auto& [id, machine] : m_room.machines) {
        listed.machines.push_back(machine);
      }
      m_upkeep.Handle(std::move(listed));
    }
  }

  template <typename IsAnswered>
  void Play(core::Duration time, IsAnswered is_answered) {
    const core::TimePoint end = m_clock.Now() + time;
    while (m_clock.Now() < end) {
      m_room.Advance();
      m_upkeep.Round(true, kNoneMoves);
      Answer();
      while (m_answered < m_room.ordered.size()) {
        const core::MachineId id = m_room.ordered[m_answered];
        m_room.CarryOut(id);
        m_upkeep.Handle(upkeep::MachineReplied{
            id, is_answered(m_answered) ? MachineOutcome::kDone
                                        : MachineOutcome::kUnknown});
        ++m_answered;
      }
      if (!m_room.statuses.empty()) {
        m_upkeep.Handle(
            upkeep::StatusWritten{kWave, m_room.statuses.back(), true});
      }
      m_clock.Advance(std::chrono::milliseconds(100));
    }
  }

  test::FakeClock m_clock;
  test::SilentLogger m_logger;
  MachineRoom m_room{m_clock};
  std::size_t m_answered = 0;
  upkeep::OrderGate m_gate{m_room, m_clock, std::chrono::milliseconds(3500)};
  Upkeep m_upkeep{{m_gate, m_room, m_clock, m_logger}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UpkeepTest, "upkeep");

}  // namespace
