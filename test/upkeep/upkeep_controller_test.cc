#include "crocusmast/upkeep/upkeep_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "test/support/command_record_support.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using test::MakeId;
using trompeloeil::_;
using upkeep::Machine;
using upkeep::MachineCommandOutcome;
using upkeep::MachineState;
using upkeep::UpkeepController;

constexpr std::uint32_t kMachines = 12;
constexpr std::uint32_t kMaxDown = 3;
const core::WaveNumber kWave(4);
const auto kNoMachineMoving = [](const core::MachineId&) { return false; };

/** @brief Machines that go down on command and return two seconds later. */
class FakeMachines final : public upkeep::MachinePort,
                           public upkeep::WorkerDrainPort {
 public:
  explicit FakeMachines(const core::Clock& clock) : m_clock(clock) {
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

  void RequestMachineList() override { is_list_requested = true; }
  void Move(core::FencingToken,
            const core::MachineId&,
            const core::PoolId&) override {}
  void TakeDown(core::FencingToken,
                const core::MachineId& id,
                core::WaveNumber) override {
    take_downs.push_back(id);
  }
  void WriteWaveStatus(core::FencingToken,
                       core::WaveNumber,
                       bool is_done) override {
    statuses.push_back(is_done);
  }
  upkeep::WorkerUsage UsageOf(const core::InstanceId&) const override {
    return usage;
  }
  void DrainWorker(const core::InstanceId& worker) override {
    draining_workers.insert(worker);
  }
  bool IsConfirmedIdle(const core::InstanceId& worker) const override {
    return draining_workers.count(worker) > 0 &&
           busy_workers.count(worker) == 0;
  }

  /** @brief Executes a take-down command; a repeated one has no effect. */
  void ExecuteTakeDown(const core::MachineId& id) {
    if (started.insert(id).second) {
      machines[id].state = MachineState::kMaintenance;
      m_down_at[id] = m_clock.Now();
      max_down_at_once = std::max(max_down_at_once, CountDown());
    }
  }

  /** @brief Returns the machines whose maintenance is over to service. */
  void FinishMaintenance() {
    for (auto& [id, machine] : machines) {
      const bool has_returned =
          machine.state == MachineState::kMaintenance &&
          m_down_at[id] + std::chrono::seconds(2) <= m_clock.Now();
      if (has_returned) {
        machine.state = MachineState::kUp;
        machine.worker =
            MakeId<core::InstanceId>(machine.worker.Text() + "-new");
      }
    }
  }

  std::size_t CountDown() const {
    std::size_t down = 0;
    for (const auto& [id, machine] : machines) {
      down += machine.state == MachineState::kMaintenance ? 1 : 0;
    }
    return down;
  }

  std::map<core::MachineId, Machine> machines;
  std::vector<core::MachineId> take_downs;
  std::set<core::MachineId> started;
  std::vector<bool> statuses;
  std::set<core::InstanceId> draining_workers;
  std::set<core::InstanceId> busy_workers;
  std::size_t max_down_at_once = 0;
  upkeep::WorkerUsage usage;
  bool is_list_requested = false;

 private:
  const core::Clock& m_clock;
  std::map<core::MachineId, core::TimePoint> m_down_at;
};

class UpkeepControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpkeepControllerTest);
  CPPUNIT_TEST(WaveFinishesWithinItsLimits);
  CPPUNIT_TEST(StaleListDoesNotMarkMachinesAsReturned);
  CPPUNIT_TEST(MachinesWithLostRepliesCountAsDown);
  CPPUNIT_TEST(BusyWorkerIsNotTakenDown);
  CPPUNIT_TEST(NoCommandWithoutValidLeaseOrDuringCooldown);
  CPPUNIT_TEST(SuccessorContinuesTheWave);
  CPPUNIT_TEST(WaveAgeSurvivesANewTerm);
  CPPUNIT_TEST(RemovedMachineDoesNotBlockTheWave);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_cooldown_port.BeginTerm(core::FencingToken(9), {});
    m_cooldown_port.EnableCommands();
    m_upkeep.BeginTerm(core::FencingToken(9), {});
    upkeep::WaveRequest wave;
    wave.number = kWave;
    wave.max_machines_down = kMaxDown;
    wave.time_limit = std::chrono::seconds(30);
    for (const auto& [id, machine] : m_fake_machines.machines) {
      wave.machines.push_back(id);
    }
    m_upkeep.Handle(upkeep::WaveRequested{wave});
  }

  void WaveFinishesWithinItsLimits() {
    RunFor(std::chrono::seconds(30), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines},
                         m_fake_machines.started.size());
    CPPUNIT_ASSERT(m_fake_machines.max_down_at_once <= kMaxDown);
    CPPUNIT_ASSERT(!m_fake_machines.statuses.front());
    CPPUNIT_ASSERT(m_fake_machines.statuses.back());
  }

  // A list that was requested before the take-down commands still shows every
  // machine as up.
  void StaleListDoesNotMarkMachinesAsReturned() {
    m_cooldown_port.BeginTerm(core::FencingToken(11), {});
    m_cooldown_port.EnableCommands();
    m_upkeep.BeginTerm(core::FencingToken(11), {});
    m_fake_machines.is_list_requested = true;
    const auto before = m_fake_machines.machines;
    DeliverList();
    m_clock.Advance(std::chrono::seconds(4));
    for (int count = 0; count < 10; ++count) {
      m_upkeep.RunCycle(true, kNoMachineMoving);
      test::StoreAnnouncements(m_cooldown_port);
      while (m_reply_count < m_fake_machines.take_downs.size()) {
        const core::MachineId id = m_fake_machines.take_downs[m_reply_count++];
        m_fake_machines.ExecuteTakeDown(id);
        m_upkeep.Handle(upkeep::MachineCommandReply{
            id, MachineCommandOutcome::kDone, kWave});
      }
      upkeep::MachineListReceived old;
      old.is_known = true;
      for (const auto& [id, machine] : before) {
        old.machines.push_back(machine);
      }
      m_upkeep.Handle(std::move(old));
    }
    CPPUNIT_ASSERT(m_fake_machines.max_down_at_once <= kMaxDown);
  }

  void MachinesWithLostRepliesCountAsDown() {
    RunFor(std::chrono::seconds(60),
           [](std::size_t index) { return index % 3 == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines},
                         m_fake_machines.started.size());
    CPPUNIT_ASSERT(m_fake_machines.max_down_at_once <= kMaxDown);
  }

  void BusyWorkerIsNotTakenDown() {
    const core::MachineId id = MakeId<core::MachineId>("m-5");
    m_fake_machines.busy_workers.insert(m_fake_machines.machines[id].worker);
    RunFor(std::chrono::seconds(30), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines - 1},
                         m_fake_machines.started.size());
    CPPUNIT_ASSERT(!m_fake_machines.statuses.back());
  }

  void NoCommandWithoutValidLeaseOrDuringCooldown() {
    for (int count = 0; count < 100; ++count) {
      m_upkeep.RunCycle(false, kNoMachineMoving);
      test::StoreAnnouncements(m_cooldown_port);
      DeliverList();
      m_clock.Advance(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(m_fake_machines.take_downs.empty());
    m_cooldown_port.BeginTerm(core::FencingToken(10), {});
    m_cooldown_port.EnableCommands();
    m_upkeep.BeginTerm(core::FencingToken(10), {});
    m_upkeep.RunCycle(true, kNoMachineMoving);
    DeliverList();
    for (int count = 0; count < 3; ++count) {
      m_upkeep.RunCycle(true, kNoMachineMoving);
      test::StoreAnnouncements(m_cooldown_port);
    }
    // The earlier leader may have sent a command immediately before its term
    // ended.
    CPPUNIT_ASSERT(m_fake_machines.take_downs.empty());
  }

  void SuccessorContinuesTheWave() {
    RunFor(std::chrono::seconds(8), [](std::size_t) { return true; });
    const std::size_t take_down_count = m_fake_machines.take_downs.size();
    CPPUNIT_ASSERT(take_down_count > 0);
    const std::vector<job::WaveProgress> progress = m_upkeep.Progress();
    m_cooldown_port.BeginTerm(core::FencingToken(10), {});
    m_cooldown_port.EnableCommands();
    m_upkeep.BeginTerm(core::FencingToken(10), progress);
    RunFor(std::chrono::seconds(40), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines},
                         m_fake_machines.started.size());
    CPPUNIT_ASSERT(m_fake_machines.max_down_at_once <= kMaxDown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines},
                         m_fake_machines.take_downs.size());
  }

  // Busy machines are taken down late in a wave, so a new term must not reset
  // the age of the wave.
  void WaveAgeSurvivesANewTerm() {
    m_fake_machines.usage.finite_runs = 1;
    m_clock.Advance(std::chrono::seconds(18));
    m_cooldown_port.BeginTerm(core::FencingToken(10), {});
    m_cooldown_port.EnableCommands();
    m_upkeep.BeginTerm(core::FencingToken(10), {});
    RunFor(std::chrono::seconds(5), [](std::size_t) { return true; });
    CPPUNIT_ASSERT(!m_fake_machines.take_downs.empty());
  }

  void RemovedMachineDoesNotBlockTheWave() {
    m_fake_machines.machines.erase(MakeId<core::MachineId>("m-3"));
    RunFor(std::chrono::seconds(30), [](std::size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMachines - 1},
                         m_fake_machines.started.size());
    CPPUNIT_ASSERT(m_fake_machines.statuses.back());
  }

 private:
  void DeliverList() {
    if (std::exchange(m_fake_machines.is_list_requested, false)) {
      upkeep::MachineListReceived listed;
      listed.is_known = true;
      for (const auto& [id, machine] : m_fake_machines.machines) {
        listed.machines.push_back(machine);
      }
      m_upkeep.Handle(std::move(listed));
    }
  }

  template <typename IsDelivered>
  void RunFor(core::Duration duration, IsDelivered is_delivered) {
    const core::TimePoint end = m_clock.Now() + duration;
    while (m_clock.Now() < end) {
      m_fake_machines.FinishMaintenance();
      m_upkeep.RunCycle(true, kNoMachineMoving);
      test::StoreAnnouncements(m_cooldown_port);
      DeliverList();
      while (m_reply_count < m_fake_machines.take_downs.size()) {
        const core::MachineId id = m_fake_machines.take_downs[m_reply_count];
        m_fake_machines.ExecuteTakeDown(id);
        m_upkeep.Handle(upkeep::MachineCommandReply{
            id,
            is_delivered(m_reply_count) ? MachineCommandOutcome::kDone
                                        : MachineCommandOutcome::kUnknown,
            kWave});
        ++m_reply_count;
      }
      if (!m_fake_machines.statuses.empty()) {
        m_upkeep.Handle(upkeep::WaveStatusReply{
            kWave, m_fake_machines.statuses.back(), true});
      }
      m_clock.Advance(std::chrono::milliseconds(100));
    }
  }

  test::FakeClock m_clock;
  test::NullLogger m_logger;
  FakeMachines m_fake_machines{m_clock};
  std::size_t m_reply_count = 0;
  upkeep::CooldownMachinePort m_cooldown_port{m_fake_machines, m_clock,
                                              std::chrono::milliseconds(3500)};
  UpkeepController m_upkeep{
      {m_cooldown_port, m_fake_machines, m_clock, m_logger}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UpkeepControllerTest, "upkeep");

}  // namespace
