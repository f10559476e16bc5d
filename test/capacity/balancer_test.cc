#include "crocusmast/capacity/balancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "test/support/command_record_support.h"
#include "test/support/fake_clock.h"
#include "test/support/mocks.h"
#include "test/support/port_fakes.h"

namespace {

using namespace crocusmast;
using capacity::Balancer;
using capacity::PoolLoad;
using test::MakeId;
using upkeep::Machine;
using upkeep::MachineCommandOutcome;
using upkeep::MachineState;

const core::PoolId kShopPool = MakeId<core::PoolId>("shop");
const core::PoolId kOtherPool = MakeId<core::PoolId>("other");
const core::PoolId kStandbyPool = MakeId<core::PoolId>("spare");

/** @brief Fake fleet: four machines in a pool and three on standby. */
class FakeFleet final : public upkeep::MachinePort,
                        public upkeep::WorkerDrainPort,
                        public capacity::PoolLoadSource {
 public:
  FakeFleet() {
    for (int index = 0; index < 7; ++index) {
      Machine machine;
      machine.id = MakeId<core::MachineId>("m-" + std::to_string(index));
      machine.pool = index < 4 ? kShopPool : kStandbyPool;
      machine.state = MachineState::kUp;
      if (index < 4) {
        machine.worker = MakeId<core::InstanceId>("w-" + std::to_string(index));
      }
      machines.emplace(machine.id, machine);
    }
    shop_load.pool = kShopPool;
    shop_load.capacity_cores = 64;
    shop_load.ready_workers = 4;
    other_load.pool = kOtherPool;
    standby_load.pool = kStandbyPool;
    standby_load.is_standby = true;
  }

  void RequestMachineList() override { is_list_requested = true; }
  void Move(core::FencingToken,
            const core::MachineId& machine,
            const core::PoolId& pool) override {
    moves.emplace_back(machine, pool);
  }
  void TakeDown(core::FencingToken,
                const core::MachineId&,
                core::WaveNumber) override {}
  void WriteWaveStatus(core::FencingToken, core::WaveNumber, bool) override {}
  upkeep::WorkerUsage UsageOf(const core::InstanceId&) const override {
    return {};
  }
  void DrainWorker(const core::InstanceId& worker) override {
    drained.insert(worker);
  }
  bool IsConfirmedIdle(const core::InstanceId& worker) const override {
    return busy.count(worker) == 0;
  }
  std::vector<PoolLoad> PoolLoads() const override {
    return {shop_load, other_load, standby_load};
  }

  void CompleteMove(const core::MachineId& id, const core::PoolId& pool) {
    Machine& machine = machines[id];
    machine.pool = pool;
    shop_load.capacity_cores += pool == kShopPool ? 16 : -16;
    shop_load.ready_workers += pool == kShopPool ? 1 : -1;
    machine.worker = pool == kStandbyPool
                         ? core::InstanceId()
                         : MakeId<core::InstanceId>("new-" + id.Text());
  }

  std::map<core::MachineId, Machine> machines;
  std::vector<std::pair<core::MachineId, core::PoolId>> moves;
  std::set<core::InstanceId> drained;
  std::set<core::InstanceId> busy;
  PoolLoad shop_load;
  PoolLoad other_load;
  PoolLoad standby_load;
  bool is_list_requested = false;
};

class BalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerTest);
  CPPUNIT_TEST(SpikeBorrowsFromStandby);
  CPPUNIT_TEST(ShortBacklogBorrowsNothing);
  CPPUNIT_TEST(WorkersThatAreJoiningAreCountedAsWholeMachines);
  CPPUNIT_TEST(MachinesThatAreDownAreReplaced);
  CPPUNIT_TEST(WorkersThatCannotBeReachedAreReplaced);
  CPPUNIT_TEST(IdleMachinesAboveBaselineAreReturned);
  CPPUNIT_TEST(BusyAndReservedMachinesAreNotMoved);
  CPPUNIT_TEST(LateJobsLeaveLentMachinesToPoolsThatLackThem);
  CPPUNIT_TEST(UnansweredMoveIsRequestedAgain);
  CPPUNIT_TEST(NothingMovesWithoutLeaseOrDuringCooldown);
  CPPUNIT_TEST(RejectedMoveGivesItsWorkerBack);
  CPPUNIT_TEST(InvalidMovesAreNotRequestedAgain);
  CPPUNIT_TEST(WorkerStaysDrainedWhileAnEarlierRequestMayTakeEffect);
  CPPUNIT_TEST(RepliesToTakeDownCommandsEndNoMove);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_machine_port.BeginTerm(core::FencingToken(5), {});
    m_machine_port.EnableCommands();
    m_balancer.BeginTerm(core::FencingToken(5), {});
  }

  // Models a load spike: for some seconds the load of a queue is five times its
  // mean.
  void SpikeBorrowsFromStandby() {
    m_fleet.shop_load.running_cores = 64;
    m_fleet.shop_load.waiting_cores = 80;
    m_fleet.shop_load.waiting_core_seconds = 70;
    RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fleet.moves.size());
    CPPUNIT_ASSERT(m_fleet.moves[0].second == kShopPool);
  }

  void ShortBacklogBorrowsNothing() {
    m_fleet.shop_load.running_cores = 60;
    m_fleet.shop_load.waiting_cores = 20;
    m_fleet.shop_load.waiting_core_seconds = 20;
    RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT(m_fleet.moves.empty());
  }

  // Issue 29: while most workers of a pool were joining, after moves or in a
  // wave, its machines seemed small, so that it took many times what it lacked.
  void WorkersThatAreJoiningAreCountedAsWholeMachines() {
    m_fleet.shop_load.capacity_cores = 16;
    m_fleet.shop_load.ready_workers = 1;
    m_fleet.shop_load.running_cores = 16;
    m_fleet.shop_load.waiting_cores = 90;
    m_fleet.shop_load.waiting_core_seconds = 90;
    RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT(m_fleet.moves.empty());
  }

  // A machine that is down isn't back in time for the work that waits.
  void MachinesThatAreDownAreReplaced() {
    for (int index = 1; index < 4; ++index) {
      m_fleet.machines[MakeId<core::MachineId>("m-" + std::to_string(index))]
          .state = MachineState::kDown;
    }
    m_fleet.shop_load.capacity_cores = 16;
    m_fleet.shop_load.ready_workers = 1;
    m_fleet.shop_load.running_cores = 16;
    m_fleet.shop_load.waiting_cores = 60;
    m_fleet.shop_load.waiting_core_seconds = 60;
    RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fleet.moves.size());
  }

  // The same for one that is up, but whose worker is cut off or fails its runs.
  void WorkersThatCannotBeReachedAreReplaced() {
    m_fleet.shop_load.capacity_cores = 16;
    m_fleet.shop_load.ready_workers = 1;
    m_fleet.shop_load.unavailable_workers = 3;
    m_fleet.shop_load.running_cores = 16;
    m_fleet.shop_load.waiting_cores = 60;
    m_fleet.shop_load.waiting_core_seconds = 60;
    RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fleet.moves.size());
  }

  void IdleMachinesAboveBaselineAreReturned() {
    SpikeBorrowsFromStandby();
    m_fleet.shop_load.running_cores = 2;
    m_fleet.shop_load.waiting_cores = 0;
    m_fleet.shop_load.waiting_core_seconds = 0;
    RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_fleet.moves.size());
    CPPUNIT_ASSERT(m_fleet.moves[3].second == kStandbyPool);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fleet.drained.size());
  }

  void BusyAndReservedMachinesAreNotMoved() {
    SpikeBorrowsFromStandby();
    m_fleet.shop_load.running_cores = 2;
    m_fleet.shop_load.waiting_cores = 0;
    m_fleet.shop_load.waiting_core_seconds = 0;
    for (const auto& [id, machine] : m_fleet.machines) {
      m_fleet.busy.insert(machine.worker);
    }
    RunFor(std::chrono::seconds(10));
    m_fleet.busy.clear();
    m_all_reserved = true;
    RunFor(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fleet.moves.size());
  }

  // Issue 42: after a turn a pool kept the machines that it had borrowed busy
  // with late jobs, while the jobs in time of another pool waited for cores.
  void LateJobsLeaveLentMachinesToPoolsThatLackThem() {
    m_fleet.other_load.waiting_in_time = 5;
    m_fleet.other_load.arriving_cores = 200;
    RunFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(m_balancer.LimitsOfLateJobs().empty());
    m_fleet.other_load.arriving_cores = 0;
    SpikeBorrowsFromStandby();
    CPPUNIT_ASSERT(m_balancer.LimitsOfLateJobs().empty());
    m_fleet.shop_load.waiting_core_seconds = 0;
    m_fleet.other_load.arriving_cores = 200;
    RunFor(std::chrono::milliseconds(200));
    const capacity::LateLimits limits = m_balancer.LimitsOfLateJobs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.size());
    CPPUNIT_ASSERT(limits.at(kShopPool) == core::MilliCores(4 * 16000));
    m_fleet.other_load.waiting_in_time = 0;
    RunFor(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(m_balancer.LimitsOfLateJobs().empty());
  }

  void UnansweredMoveIsRequestedAgain() {
    m_outcome = MachineCommandOutcome::kUnknown;
    m_fleet.shop_load.running_cores = 64;
    m_fleet.shop_load.waiting_core_seconds = 40;
    RunFor(std::chrono::seconds(6));
    CPPUNIT_ASSERT(m_fleet.moves.size() > 1);
    for (const auto& [machine, pool] : m_fleet.moves) {
      CPPUNIT_ASSERT(machine == m_fleet.moves[0].first && pool == kShopPool);
    }
  }

  void NothingMovesWithoutLeaseOrDuringCooldown() {
    m_fleet.shop_load.running_cores = 64;
    m_fleet.shop_load.waiting_core_seconds = 500;
    // Ends before the 3.5 s cooldown that follows a change of leader.
    RunFor(std::chrono::milliseconds(3400));
    CPPUNIT_ASSERT(m_fleet.moves.empty());
    m_is_lease_valid = false;
    RunFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT(m_fleet.moves.empty());
  }

  // Review case 7, LOST: rejected moves left all workers of a pool out of use.
  void RejectedMoveGivesItsWorkerBack() {
    for (const MachineCommandOutcome outcome :
         {MachineCommandOutcome::kNotInWave, MachineCommandOutcome::kBusy,
          MachineCommandOutcome::kRefused, MachineCommandOutcome::kFenced}) {
      m_outcome = outcome;
      m_fleet.drained.clear();
      LendOnlyFromShop();
      CPPUNIT_ASSERT(!m_fleet.drained.empty());
      CPPUNIT_ASSERT(m_balancer.DrainedWorkers().empty());
      CPPUNIT_ASSERT(!m_balancer.IsMoving(m_fleet.moves.back().first));
      m_balancer.BeginTerm(core::FencingToken(5), {});
    }
  }

  void InvalidMovesAreNotRequestedAgain() {
    m_outcome = MachineCommandOutcome::kNotInWave;
    LendOnlyFromShop();
    RunFor(std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(capacity::kInvalidMovesBeforeBan,
                         m_fleet.moves.size());
  }

  void WorkerStaysDrainedWhileAnEarlierRequestMayTakeEffect() {
    m_outcome = MachineCommandOutcome::kUnknown;
    LendOnlyFromShop();
    const core::MachineId machine = m_fleet.moves.back().first;
    m_fleet.other_load = {};
    m_fleet.other_load.pool = kOtherPool;
    m_outcome = MachineCommandOutcome::kBusy;
    RunFor(capacity::kMoveRetryInterval + std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(m_balancer.IsMoving(machine));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_balancer.DrainedWorkers().size());
    RunFor(capacity::kMaxMoveDelay);
    CPPUNIT_ASSERT(!m_balancer.IsMoving(machine));
    CPPUNIT_ASSERT(m_balancer.DrainedWorkers().empty());
  }

  void RepliesToTakeDownCommandsEndNoMove() {
    m_outcome = MachineCommandOutcome::kUnknown;
    LendOnlyFromShop();
    const core::MachineId machine = m_fleet.moves.back().first;
    m_balancer.Handle(upkeep::MachineCommandReply{
        machine, MachineCommandOutcome::kNotInWave, core::WaveNumber(1)});
    CPPUNIT_ASSERT(m_balancer.IsMoving(machine));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_balancer.DrainedWorkers().size());
  }

 private:
  /** @brief Makes a pool lack machines that only another busy pool has, until a
   * machine of that one is to be moved. */
  void LendOnlyFromShop() {
    for (auto& [id, machine] : m_fleet.machines) {
      if (machine.pool == kStandbyPool) {
        machine.state = MachineState::kDown;
      }
    }
    m_fleet.other_load.steady_cores = 100;
    m_fleet.other_load.arriving_cores = 100;
    const std::size_t before = m_fleet.moves.size();
    for (int count = 0; count < 100 && m_fleet.moves.size() == before;
         ++count) {
      RunFor(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(before < m_fleet.moves.size());
  }

  void RunFor(core::Duration time) {
    const core::TimePoint end = m_clock.Now() + time;
    while (m_clock.Now() < end) {
      m_balancer.RunCycle(m_is_lease_valid, [this](const core::MachineId&) {
        return m_all_reserved;
      });
      test::StoreAnnouncements(m_machine_port);
      m_balancer.RequestAnnouncedMoves(m_is_lease_valid);
      if (std::exchange(m_fleet.is_list_requested, false)) {
        upkeep::MachineListReceived list;
        list.is_known = true;
        for (const auto& [id, machine] : m_fleet.machines) {
          list.machines.push_back(machine);
        }
        m_balancer.Handle(list);
      }
      while (m_replied_count < m_fleet.moves.size()) {
        const auto [machine, pool] = m_fleet.moves[m_replied_count++];
        if (m_outcome == MachineCommandOutcome::kDone) {
          m_fleet.CompleteMove(machine, pool);
        }
        m_balancer.Handle(upkeep::MachineCommandReply{machine, m_outcome});
      }
      m_clock.Advance(std::chrono::milliseconds(100));
    }
  }

  test::FakeClock m_clock;
  test::NullLogger m_logger;
  FakeFleet m_fleet;
  std::size_t m_replied_count = 0;
  MachineCommandOutcome m_outcome = MachineCommandOutcome::kDone;
  bool m_is_lease_valid = true;
  bool m_all_reserved = false;
  upkeep::CooldownMachinePort m_machine_port{m_fleet, m_clock,
                                             std::chrono::milliseconds(3500)};
  Balancer m_balancer{{m_machine_port, m_fleet, m_fleet, m_clock, m_logger}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BalancerTest, "capacity");

}  // namespace
