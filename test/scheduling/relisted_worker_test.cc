#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "test/scheduling/scheduler_fixture.h"

namespace {

using namespace crocusmast;
using Fixture = test::SchedulerFixture;
using test::MakeId;
using test::MakeJob;
using test::MakeStep;
using test::MakeWorker;

/** @brief Workers whose entry is missing from the membership list for a
 * moment. */
class RelistedWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelistedWorkerTest);
  CPPUNIT_TEST(RelistedWorkerGetsTasksOnceASuccessorKnowsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 36, TWICE: a worker that was listed again before the next check of
  // all workers got tasks, although the handover state that was stored
  // meanwhile left it out, so that a successor would not have waited for it.
  void RelistedWorkerGetsTasksOnceASuccessorKnowsIt() {
    Fixture fixture;
    fixture.BeginTerm();
    fixture.SetWorkers({MakeWorker("w-1")});
    fixture.scheduler.Handle(
        scheduling::WorkerRemoved{MakeId<core::InstanceId>("w-1")});
    fixture.scheduler.SetFleetHandover({});
    while (LastHandoverListsWorker(fixture)) {
      fixture.scheduler.RunCycle(fixture.clock.Now());
      ReplyToCommits(fixture);
    }
    fixture.scheduler.Handle(scheduling::WorkerUpdated{MakeWorker("w-1")});
    fixture.scheduler.AddJob(MakeJob("0123456789abcdef", {MakeStep(1)}));
    for (int cycle = 0; cycle < 20 && fixture.worker_port.starts.empty();
         ++cycle) {
      fixture.RunCycles();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.worker_port.starts.size());
    CPPUNIT_ASSERT(LastHandoverListsWorker(fixture));
  }

 private:
  static void ReplyToCommits(Fixture& fixture) {
    while (fixture.replied_commits < fixture.store.commits.size()) {
      fixture.ReplyToCommit(job::StoreOutcome::kDone);
    }
  }

  /** @brief Tells whether the handover state that was stored last lists the
   * worker. */
  static bool LastHandoverListsWorker(const Fixture& fixture) {
    const auto& commits = fixture.store.commits;
    const auto last = std::find_if(
        commits.rbegin(), commits.rend(),
        [](const job::Commit& commit) { return commit.handover.has_value(); });
    return last != commits.rend() && !last->handover->workers.empty();
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RelistedWorkerTest, "scheduling");

}  // namespace
