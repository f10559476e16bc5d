#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "test/manager/leader_fixture.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using test::FakeMachines;
using test::LeaderFixture;
using test::MakeId;

constexpr std::size_t kMachines = 4;

/** @brief Machines that are moved by a leader and by its successor. */
class MovedMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MovedMachineTest);
  CPPUNIT_TEST(NoTaskIsPlacedOnAWorkerWhoseMachineHasMoved);
  CPPUNIT_TEST(NoTaskIsPlacedOnAWorkerThatIsListedAfterTheMove);
  CPPUNIT_TEST(WorkersOfRejectedMovesAreUsedAgain);
  CPPUNIT_TEST(MachinesAreMovedSoonAfterALeaderIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock.Advance(std::chrono::seconds(100));
    m_state.stored.handover.fleet.pools = {{FakeMachines::kPool, 2},
                                           {FakeMachines::kStandbyPool, 2}};
    m_state.stored.handover.fleet.machine_cooldowns.emplace();
  }

  // Issue 54, SHORT: once its machine had arrived in another pool, a worker
  // that the store still listed was used again, so that tasks were sent to
  // workers that were gone, and their cores counted as spare.
  void NoTaskIsPlacedOnAWorkerWhoseMachineHasMoved() {
    LeaderFixture leader(m_clock, m_machines, m_state, kMachines);
    leader.RunFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_machines.moved.size());
    ExpectStartsOnMachines(leader);
  }

  // Issue 54: a worker that the store lists only after its machine was moved,
  // since the store was slow, was used.
  void NoTaskIsPlacedOnAWorkerThatIsListedAfterTheMove() {
    LeaderFixture leader(m_clock, m_machines, m_state, kMachines - 2);
    leader.RunFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_machines.moved.size());
    leader.ListWorkers(kMachines);
    ExpectStartsOnMachines(leader);
  }

  // Guards against workers that stay out of use because their machines were not
  // moved.
  void WorkersOfRejectedMovesAreUsedAgain() {
    m_machines.outcome = upkeep::MachineCommandOutcome::kRefused;
    LeaderFixture leader(m_clock, m_machines, m_state, kMachines);
    leader.RunFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT(!m_machines.moved.empty());
    leader.AddJob(16);
    leader.RunFor(milliseconds(1000));
    std::set<core::InstanceId> used;
    for (const execution::StartCommand& start : leader.workers.starts) {
      used.insert(start.to.worker);
    }
    CPPUNIT_ASSERT_EQUAL(m_machines.machines.size(), used.size());
  }

  // Issue 54, SHORT: after a leader was lost its successor moved no machine for
  // the longest time that the commands of two leaders must be apart.
  void MachinesAreMovedSoonAfterALeaderIsLost() {
    BeginTermAndLoseLeader();
    LeaderFixture successor(m_clock, m_machines, m_state, kMachines);
    successor.RunFor(capacity::kIdleTimeBeforeReturn + milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_machines.moved.size());
  }

 private:
  /** @brief Lets a leader store its state, without a command to a machine. */
  void BeginTermAndLoseLeader() {
    LeaderFixture leader(m_clock, m_machines, m_state, kMachines);
    leader.RunFor(milliseconds(500));
    CPPUNIT_ASSERT(m_machines.moved.empty());
  }

  void ExpectStartsOnMachines(LeaderFixture& leader) {
    leader.AddJob(16);
    leader.RunFor(milliseconds(500));
    CPPUNIT_ASSERT(!leader.workers.starts.empty());
    for (const execution::StartCommand& start : leader.workers.starts) {
      CPPUNIT_ASSERT_MESSAGE(start.to.worker.Text(),
                             HasMachine(start.to.worker));
    }
  }

  bool HasMachine(const core::InstanceId& worker) const {
    return std::any_of(m_machines.machines.begin(), m_machines.machines.end(),
                       [&worker](const upkeep::Machine& machine) {
                         return machine.worker == worker;
                       });
  }

  test::FakeClock m_clock;
  FakeMachines m_machines{kMachines};
  test::LeaderState m_state;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MovedMachineTest, "manager");

}  // namespace
