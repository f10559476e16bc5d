#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <string>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using Fixture = test::SchedulerFixture;
using std::chrono::nanoseconds;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

constexpr std::uint32_t kWorkers = 350;
constexpr std::uint64_t kWorkerProcessor = 16000;
constexpr std::uint32_t kTasksPerJob = 10;
constexpr std::uint64_t kTaskProcessor = 1500;
/** @brief Jobs that fill all workers, with ten tasks on each. */
constexpr std::uint32_t kFillingJobs = kWorkers;
/** @brief Measured run ends; the cheapest counts, as others may be interrupted.
 */
constexpr std::uint32_t kMeasuredEnds = 30;
constexpr std::uint32_t kSmallBacklog = 100;
constexpr std::uint32_t kLargeBacklog = 3200;
/** @brief A full pool gets one task per run end, whatever waits. Less than a
 * quarter of the growth of the backlog leaves room for sorting. */
constexpr int kMaxGrowth = 8;

nanoseconds ProcessorTime() {
  std::timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

std::string JobId(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

/** @brief A full pool of workers with jobs that wait for it. */
class Backlog {
 public:
  explicit Backlog(std::uint32_t waiting_jobs) {
    m_fixture.BeginTerm();
    std::vector<execution::WorkerRecord> workers;
    for (std::uint32_t index = 0; index < kWorkers; ++index) {
      workers.push_back(
          MakeWorker("w-" + std::to_string(index), 1, kWorkerProcessor));
    }
    m_fixture.SetWorkers(std::move(workers));
    for (std::uint32_t job = 0; job < kFillingJobs + waiting_jobs; ++job) {
      m_fixture.scheduler.AddJob(
          MakeJob(JobId(job), {MakeStep(kTasksPerJob, kTaskProcessor)}));
    }
    m_fixture.RunCycles();
    for (const execution::StartCommand& start : m_fixture.worker_port.starts) {
      m_starts.emplace(start.to.worker, start);
    }
  }

  std::size_t CountStarts() const {
    return m_fixture.worker_port.starts.size();
  }

  /** @brief Runs cycles until nothing is left to store. */
  void Settle() { m_fixture.RunCycles(); }

  /** @brief Ends a run on one worker and returns the processor time that this
   * and the placement after it take. */
  nanoseconds EndRun(std::uint32_t index) {
    const auto worker =
        test::MakeId<core::InstanceId>("w-" + std::to_string(index));
    const auto poll =
        std::find_if(m_fixture.worker_port.polls.rbegin(),
                     m_fixture.worker_port.polls.rend(),
                     [&worker](const execution::PollCommand& sent) {
                       return sent.to.worker == worker;
                     });
    execution::PollReply reply;
    reply.worker = worker;
    reply.incarnation = poll->to.incarnation;
    reply.sequence = poll->sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    reply.ended = {
        Fixture::EndedRun(m_starts.at(worker), 1, job::RunOutcome::kDone)};
    const nanoseconds begin = ProcessorTime();
    m_fixture.scheduler.Handle(reply);
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    return ProcessorTime() - begin;
  }

  nanoseconds CheapestEnd() {
    nanoseconds cheapest = nanoseconds::max();
    for (std::uint32_t index = 0; index < kMeasuredEnds; ++index) {
      cheapest = std::min(cheapest, EndRun(index));
    }
    return cheapest;
  }

 private:
  Fixture m_fixture;
  std::map<core::InstanceId, execution::StartCommand> m_starts;
};

/** @brief What the scheduler does while more jobs wait than can run. */
class PlacementCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementCostTest);
  CPPUNIT_TEST(FreedResourcesAreUsedAtOnce);
  CPPUNIT_TEST(CostOfARunEndDoesNotGrowWithTheBacklog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FreedResourcesAreUsedAtOnce() {
    Backlog backlog(kSmallBacklog);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkers * kTasksPerJob},
                         backlog.CountStarts());
    backlog.EndRun(0);
    backlog.Settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkers * kTasksPerJob + 1},
                         backlog.CountStarts());
  }

  // Issue 24: after each run end every waiting job was tried on every worker of
  // a full pool, so that a backlog took the leader's processor time and kept
  // itself from being worked off.
  void CostOfARunEndDoesNotGrowWithTheBacklog() {
    const nanoseconds small = Backlog(kSmallBacklog).CheapestEnd();
    const nanoseconds large = Backlog(kLargeBacklog).CheapestEnd();
    const std::string costs =
        "a run end costs " + std::to_string(small.count()) + " ns at " +
        std::to_string(kSmallBacklog) + " waiting jobs, " +
        std::to_string(large.count()) + " ns at " +
        std::to_string(kLargeBacklog);
    std::cout << '\n' << costs << '\n';
    CPPUNIT_ASSERT_MESSAGE(costs, large < small * kMaxGrowth);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlacementCostTest, "scheduling");

}  // namespace
