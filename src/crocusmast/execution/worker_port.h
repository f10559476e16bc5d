#ifndef CROCUSMAST_EXECUTION_WORKER_PORT_H_
#define CROCUSMAST_EXECUTION_WORKER_PORT_H_

#include "crocusmast/execution/orders.h"

namespace crocusmast::execution {

/** @brief Gives orders to workers; answers come back as messages. */
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  /** @brief Sends a start. */
  virtual void Start(StartOrder order) = 0;
  /** @brief Sends a stop. */
  virtual void Stop(StopOrder order) = 0;
  /** @brief Sends a change of pace. */
  virtual void Pace(PaceOrder order) = 0;
  /** @brief Sends a look. */
  virtual void Look(LookOrder order) = 0;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_PORT_H_
