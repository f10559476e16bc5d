#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

#include "test/scheduling/scheduler_fixture.h"
#include "test/scheduling/simulated_workers.h"

namespace {

using namespace crocusmast;
using std::chrono::milliseconds;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::SimulatedWorkers;

constexpr char kLongRunningJob[] = "00000000000000aa";
/** @brief A task that has not run for longer breaks the job interface: 3 s,
 * counted from 6 s after its last run. */
constexpr milliseconds kMaxAbsence{9000};
constexpr unsigned kSeeds = 10;

std::string JobId(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

/** @brief A pool that is offered several times the finite work that it can do.
 */
class FullPool {
 public:
  FullPool(int workers, unsigned seed) {
    m_fixture.BeginTerm();
    m_workers = std::make_unique<SimulatedWorkers>(m_fixture, workers, seed);
  }

  /** @brief Adds a job of long-running tasks, which need most of the memory of
   * a worker. */
  std::vector<job::TaskId> AddLongRunningJob(std::uint32_t count) {
    job::Step step = MakeStep(count, 2000);
    step.resources.memory = core::Megabytes(8000);
    step.is_long_running = true;
    m_fixture.scheduler.AddJob(MakeJob(kLongRunningJob, {step}));
    std::vector<job::TaskId> tasks;
    for (std::uint32_t index = 0; index < count; ++index) {
      tasks.push_back({MakeId<core::JobId>(kLongRunningJob), {0, 0, index}});
      m_workers->MakeLongRunning(tasks.back());
    }
    return tasks;
  }

  /** @brief Lets time pass while finite jobs arrive. */
  void Advance(milliseconds time) {
    constexpr int kTicksPerJob = 3;
    for (milliseconds passed{}; passed < time;
         passed += SimulatedWorkers::kTick) {
      if (++m_ticks % kTicksPerJob == 0) {
        job::Step step = MakeStep(2);
        step.resources.memory = core::Megabytes(2400);
        m_fixture.scheduler.AddJob(MakeJob(JobId(m_ticks), {step}));
      }
      m_workers->Tick();
    }
  }

  SimulatedWorkers& Workers() { return *m_workers; }

  std::size_t CountRunning(const std::vector<job::TaskId>& tasks) const {
    return static_cast<std::size_t>(
        std::count_if(tasks.begin(), tasks.end(), [this](const auto& task) {
          return !m_workers->WorkerOf(task).IsEmpty();
        }));
  }

 private:
  test::SchedulerFixture m_fixture;
  std::unique_ptr<SimulatedWorkers> m_workers;
  std::uint32_t m_ticks = 0;
};

/** @brief Long-running tasks beside more finite work than the pool can do. */
class LongRunningPriorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongRunningPriorityTest);
  CPPUNIT_TEST(TaskOfACrashedWorkerRunsAgainInAFullPool);
  CPPUNIT_TEST(JobStartsInAFullPool);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 24: finite tasks took all resources that became free, so that a
  // long-running task that needs most of a worker did not run again while there
  // was a backlog.
  void TaskOfACrashedWorkerRunsAgainInAFullPool() {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      FullPool pool(4, seed);
      const std::vector<job::TaskId> tasks = pool.AddLongRunningJob(2);
      pool.Advance(milliseconds(3000));
      CPPUNIT_ASSERT_EQUAL(tasks.size(), pool.CountRunning(tasks));
      pool.Workers().Crash(pool.Workers().WorkerOf(tasks[0]));
      pool.Advance(kMaxAbsence);
      CPPUNIT_ASSERT_EQUAL(tasks.size(), pool.CountRunning(tasks));
    }
  }

  // Issue 24: the same for the first start.
  void JobStartsInAFullPool() {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      FullPool pool(6, seed);
      pool.Advance(milliseconds(3000));
      const std::vector<job::TaskId> tasks = pool.AddLongRunningJob(3);
      pool.Advance(kMaxAbsence);
      CPPUNIT_ASSERT_EQUAL(tasks.size(), pool.CountRunning(tasks));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LongRunningPriorityTest, "scheduling");

}  // namespace
