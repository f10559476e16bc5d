#ifndef TEST_SCHEDULING_CLUSTER_EVENTS_H_
#define TEST_SCHEDULING_CLUSTER_EVENTS_H_

#include <rapidcheck.h>

#include "test/scheduling/simulated_cluster.h"

namespace test {

/** @brief Number of events that RapidCheck chooses from; the last one is that
 * a start command times out. */
inline constexpr int kEvents = 17;

/** @brief Lets something happen that RapidCheck chooses. */
inline void Act(SimulatedCluster& cluster, int events) {
  const auto is_good = [] { return *rc::gen::inRange(0, 4) > 0; };
  const auto index =
      *rc::gen::inRange<std::uint32_t>(0, cluster.Load().worker_count);
  switch (*rc::gen::inRange(0, events)) {
    case 0:
      cluster.ChangeLeader(is_good());
      break;
    case 1:
      cluster.CrashWorker(index);
      break;
    case 2:
      cluster.RestartWorker(index);
      break;
    case 3:
      cluster.UpdateMembership(index);
      break;
    case 4:
      if (cluster.Load().is_finite && is_good()) {
        cluster.FinishRun(index % cluster.Load().task_count);
      } else {
        cluster.FailRun(index % cluster.Load().task_count);
      }
      break;
    case 5:
      cluster.Advance(std::chrono::milliseconds(*rc::gen::inRange(1, 3000)));
      break;
    case 6:
    case 7:
      cluster.DeliverStart(is_good(), is_good());
      break;
    case 8:
      cluster.DeliverStop();
      break;
    case 9:
    case 10:
    case 11:
      cluster.ReplyToCommit(is_good(), is_good());
      break;
    case 12:
    case 13:
      cluster.Advance(std::chrono::milliseconds(50));
      break;
    case kEvents - 1:
      cluster.TimeOutStart();
      break;
    default:
      cluster.DeliverPoll(is_good());
      break;
  }
}

/** @brief Delivers everything for long enough that all leases expire, and that
 * no start command may be executed any more. */
inline void Settle(SimulatedCluster& cluster) {
  const SimulatedLoad& load = cluster.Load();
  for (std::uint32_t index = 0; index < load.worker_count; ++index) {
    if (!cluster.IsUp(index)) {
      cluster.RestartWorker(index);
    }
    cluster.UpdateMembership(index);
  }
  for (int round = 0; round < (load.is_finite ? 300 : 200); ++round) {
    for (int count = 0; count < 8; ++count) {
      cluster.ReplyToCommit(true, true);
      cluster.DeliverStart(true, true);
      cluster.DeliverStop();
      cluster.DeliverPoll(true);
    }
    for (std::uint32_t task = 0; load.is_finite && task < load.task_count;
         ++task) {
      cluster.FinishRun(task);
    }
    cluster.Advance(std::chrono::milliseconds(100));
  }
}

}  // namespace test

#endif  // TEST_SCHEDULING_CLUSTER_EVENTS_H_
