#ifndef CROCUSMAST_UPKEEP_WORKER_DRAIN_PORT_H_
#define CROCUSMAST_UPKEEP_WORKER_DRAIN_PORT_H_

#include "crocusmast/core/ids.h"
#include "crocusmast/upkeep/machine_wave.h"

namespace crocusmast::upkeep {

/** @brief Drains workers without interrupting runs that end on their own. */
class WorkerDrainPort {
 public:
  virtual ~WorkerDrainPort() = default;
  /**
   * @brief Returns the numbers of finite and long-running runs on a worker.
   * @param worker Worker to look up.
   */
  virtual WorkerUsage UsageOf(const core::InstanceId& worker) const = 0;
  /**
   * @brief Stops starting runs on a worker and moves its long-running runs to
   * other workers; a repeated call retries the moves that were not possible
   * before.
   * @param worker Worker to drain.
   */
  virtual void DrainWorker(const core::InstanceId& worker) = 0;
  /**
   * @brief Tells whether a worker is confirmed to have no runs.
   * @param worker Worker to check.
   */
  virtual bool IsConfirmedIdle(const core::InstanceId& worker) const = 0;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_WORKER_DRAIN_PORT_H_
