#include <cppunit/extensions/HelperMacros.h>

#include "test/scheduling/simulated_cluster.h"

namespace {

using std::chrono::milliseconds;
using test::SimulatedCluster;

constexpr milliseconds kTick{50};
/** @brief How long the leader waits for the reply to a start command. */
constexpr milliseconds kReplyTimeout{550};
constexpr milliseconds kRunTime{1000};
constexpr milliseconds kCut{5500};
/** @brief From the beginning of the cut to the crash of the worker behind it,
 * and to its next incarnation. */
constexpr milliseconds kCrashDelay{300};
constexpr milliseconds kRestartDelay{1300};
/** @brief Time in which the task must be done, and nothing may break after. */
constexpr milliseconds kDuration{45000};

/** @brief One task, whose first start command gets no reply and is executed
 * late, on a worker that starts again while it is cut off. */
class LateStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateStartTest);
  CPPUNIT_TEST(DoneTaskDoesNotStartAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Issue 64, TWICE (review/11): the start had been repeated, and a later
  // incarnation executed the first copy of it after the task was done.
  void DoneTaskDoesNotStartAgain() {
    for (milliseconds late(1000); late <= milliseconds(12000);
         late += milliseconds(1000)) {
      for (milliseconds cut(600); cut < milliseconds(16000);
           cut += milliseconds(500)) {
        Play(late, cut);
      }
    }
  }

 private:
  static void Play(milliseconds late, milliseconds cut_at) {
    test::SimulatedLoad load;
    load.worker_count = 1;
    load.task_count = 1;
    load.is_finite = true;
    load.executes_all_late_starts = true;
    SimulatedCluster cluster(load);
    while (cluster.StartsInFlight() == 0) {
      cluster.ReplyToCommit(true, true);
      cluster.DeliverPoll(true);
      cluster.Advance(kTick);
    }
    milliseconds running{};
    for (milliseconds time{}; time < kDuration; time += kTick) {
      if (time == kReplyTimeout) {
        cluster.TimeOutStart();
      }
      const bool is_cut = cut_at <= time && time < cut_at + kCut;
      const std::size_t late_starts = time < late ? 1 : 0;
      if (time == late) {
        cluster.DeliverStart(true, true);
      }
      while (late_starts < cluster.StartsInFlight()) {
        if (is_cut) {
          cluster.TimeOutStart();
        }
        cluster.DeliverLatestStart();
      }
      if (time == cut_at + kCrashDelay) {
        cluster.CrashWorker(0);
      }
      if (time == cut_at + kRestartDelay) {
        cluster.RestartWorker(0);
      }
      cluster.ReplyToCommit(true, true);
      cluster.DeliverPoll(!is_cut);
      running = cluster.CountRuns(0) > 0 ? running + kTick : milliseconds{};
      if (running == kRunTime) {
        cluster.FinishRun(0);
      }
      cluster.Advance(kTick);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(late, cut_at), std::string(),
                                   cluster.Violation());
    }
    CPPUNIT_ASSERT_MESSAGE(Describe(late, cut_at), cluster.HasEnded());
  }

  static std::string Describe(milliseconds late, milliseconds cut_at) {
    return "late by " + std::to_string(late.count()) + " ms, cut off at " +
           std::to_string(cut_at.count()) + " ms";
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LateStartTest, "scheduling");

}  // namespace
