#ifndef TEST_SCHEDULING_START_IN_FLIGHT_H_
#define TEST_SCHEDULING_START_IN_FLIGHT_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "crocusmast/execution/commands.h"
#include "crocusmast/job/progress.h"

namespace test {

/** @brief A start command on its way to a worker. */
struct StartInFlight {
  crocusmast::execution::StartCommand command;
  std::chrono::milliseconds sent_at;
  /** @brief The leader does not wait for the reply any more. */
  bool has_timed_out = false;
};

/** @brief Tells whether stored progress has the placement of a start. */
inline bool IsPlacementStored(
    const std::optional<crocusmast::job::JobProgress>& progress,
    const crocusmast::execution::StartCommand& start) {
  if (!progress || !progress->placements) {
    return false;
  }
  return std::any_of(progress->placements->begin(), progress->placements->end(),
                     [&start](const crocusmast::job::TaskPlacement& placement) {
                       return placement.task == start.task.key &&
                              placement.worker == start.to.worker &&
                              placement.incarnation == start.to.incarnation;
                     });
}

}  // namespace test

#endif  // TEST_SCHEDULING_START_IN_FLIGHT_H_
