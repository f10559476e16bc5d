#ifndef TEST_SCHEDULING_RUN_RULES_H_
#define TEST_SCHEDULING_RUN_RULES_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "crocusmast/execution/commands.h"
#include "test/scheduling/start_in_flight.h"

namespace test {

/** @brief Checks what SimulatedCluster sends and runs, and keeps the first
 * broken rule. */
class RunRules {
 public:
  /**
   * @brief Creates the rules.
   * @param is_finite The tasks must not run again once they are done, and no
   * two starts of one may be on their way.
   */
  explicit RunRules(bool is_finite) : m_is_finite(is_finite) {}

  /** @brief Returns the first broken rule; empty for none. */
  const std::string& Violation() const { return m_violation; }

  void Break(std::string rule) {
    if (m_violation.empty()) {
      m_violation = std::move(rule);
    }
  }

  /** @brief Handles a start command while others are on their way, of whichever
   * leader, of which those sent after a time may still be executed. */
  void HandleSend(const crocusmast::execution::StartCommand& start,
                  const std::optional<crocusmast::job::JobProgress>& stored,
                  const std::deque<StartInFlight>& others,
                  std::chrono::milliseconds executable_since) {
    if (!IsPlacementStored(stored, start)) {
      Break("the start of " + Describe(start.task) + " on " +
            start.to.worker.Text() + " is sent before it is stored");
    }
    for (const StartInFlight& other : others) {
      if (m_is_finite && other.command.task == start.task &&
          executable_since < other.sent_at) {
        Break("two starts of " + Describe(start.task) +
              " are on their way, to " + other.command.to.worker.Text() +
              " and to " + start.to.worker.Text());
      }
    }
  }

  /** @brief Handles the start of a task of which some runs are active. */
  void HandleStart(std::uint32_t index,
                   const std::string& worker,
                   std::size_t active_runs) {
    if (active_runs > 0) {
      Break("a second run of task " + std::to_string(index) + " starts on " +
            worker);
    }
    for (auto& [number, end] : m_done) {
      end.is_started_after = end.is_started_after || end.index == index;
      Check(end);
    }
  }

  /** @brief Identifies an end: worker, incarnation and number. */
  using EndId = std::tuple<std::string, std::uint64_t, std::uint64_t>;

  void HandleDone(const EndId& id, std::uint32_t index) {
    m_done[id].index = index;
  }

  /** @brief Handles that a worker was told that its ends up to one are
   * recorded. */
  void HandleRecorded(const EndId& last) {
    const auto& [worker, incarnation, number] = last;
    const auto end = m_done.upper_bound(last);
    for (auto next = m_done.lower_bound({worker, incarnation, 0}); next != end;
         ++next) {
      next->second.is_recorded = true;
      Check(next->second);
    }
  }

 private:
  /** @brief The end of a run as done. */
  struct DoneEnd {
    std::uint32_t index = 0;
    bool is_recorded = false;
    bool is_started_after = false;
  };

  void Check(const DoneEnd& end) {
    if (end.is_recorded && end.is_started_after) {
      Break("task " + std::to_string(end.index) +
            ", which is done, starts again");
    }
  }

  const bool m_is_finite;
  std::string m_violation;
  std::map<EndId, DoneEnd> m_done;
};

}  // namespace test

#endif  // TEST_SCHEDULING_RUN_RULES_H_
