#ifndef CROCUSMAST_UPKEEP_WORKER_DRAIN_PORT_H_
#define CROCUSMAST_UPKEEP_WORKER_DRAIN_PORT_H_

#include "crocusmast/core/ids.h"
#include "crocusmast/upkeep/machine_wave.h"

namespace crocusmast::upkeep {

/** @brief Drains workers without interrupting their work. */
class WorkerDrainPort {
 public:
  virtual ~WorkerDrainPort() = default;
  /** @brief Returns the work on a worker. */
  virtual WorkerUsage UsageOf(const core::InstanceId& worker) const = 0;
  /**
   * @brief Stops assigning work to a worker and moves its long-running runs.
   */
  virtual void DrainWorker(const core::InstanceId& worker) = 0;
  /** @brief Tells whether a worker is confirmed to run nothing. */
  virtual bool IsConfirmedIdle(const core::InstanceId& worker) const = 0;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_WORKER_DRAIN_PORT_H_
