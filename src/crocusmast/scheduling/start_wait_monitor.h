#ifndef CROCUSMAST_SCHEDULING_START_WAIT_MONITOR_H_
#define CROCUSMAST_SCHEDULING_START_WAIT_MONITOR_H_

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/execution/assigned_run.h"

namespace crocusmast::scheduling {

/** @brief How the wait for a start command without a reply ends. */
enum class StartWaitEnd {
  /** @brief Its worker lists the run or its end. */
  kExecuted,
  /** @brief It was not executed and can't be any more. */
  kNotExecuted,
  /** @brief Its run was given up; the start may still be executed. */
  kGivenUp,
};

/** @brief Reports the waits for start commands without a reply that must not be
 * repeated. */
class StartWaitMonitor {
 public:
  /**
   * @brief Creates a monitor.
   * @param clock Measures the waits; outlives the monitor.
   * @param meter Receives their number and lengths; outlives the monitor.
   * @param logger Receives their beginnings and ends; outlives the monitor.
   */
  StartWaitMonitor(const core::Clock& clock,
                   core::Meter& meter,
                   core::Logger& logger)
      : m_clock(clock), m_meter(meter), m_logger(logger) {}

  /**
   * @brief Registers that the start command of a run got no reply.
   * @param worker The worker that it was sent to.
   * @param key The run.
   * @param run Its state.
   */
  void Begin(const core::InstanceId& worker,
             const execution::RunKey& key,
             const execution::AssignedRun& run) const;

  /**
   * @brief Registers the end of a wait; ignored for a run that does not wait.
   * @param worker The worker that the start was sent to.
   * @param key The run.
   * @param run Its state before the end.
   * @param end How the wait ends.
   */
  void End(const core::InstanceId& worker,
           const execution::RunKey& key,
           const execution::AssignedRun& run,
           StartWaitEnd end) const;

 private:
  const core::Clock& m_clock;
  core::Meter& m_meter;
  core::Logger& m_logger;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_START_WAIT_MONITOR_H_
