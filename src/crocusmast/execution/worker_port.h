#ifndef CROCUSMAST_EXECUTION_WORKER_PORT_H_
#define CROCUSMAST_EXECUTION_WORKER_PORT_H_

#include "crocusmast/execution/commands.h"

namespace crocusmast::execution {

/** @brief Sends commands to workers; replies arrive as messages. */
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  /** @brief Sends a start command. */
  virtual void Start(StartCommand command) = 0;
  /** @brief Sends a stop command. */
  virtual void Stop(StopCommand command) = 0;
  /** @brief Sends a CPU share command. */
  virtual void SetCpuShare(CpuShareCommand command) = 0;
  /** @brief Sends a poll. */
  virtual void PollStatus(PollCommand command) = 0;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_PORT_H_
