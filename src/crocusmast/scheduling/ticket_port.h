#ifndef CROCUSMAST_SCHEDULING_TICKET_PORT_H_
#define CROCUSMAST_SCHEDULING_TICKET_PORT_H_

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::scheduling {

/** @brief Names a step of one occurrence: a task without its index. */
struct StepId {
  core::JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  /** @brief Returns the step of a task. */
  static StepId Of(const job::TaskId& task) {
    return {task.job, task.key.occurrence, task.key.step};
  }

  friend bool operator<(const StepId& left, const StepId& right) {
    return std::tie(left.job, left.occurrence, left.step) <
           std::tie(right.job, right.occurrence, right.step);
  }
};

/** @brief A permit to run a step on one worker. */
struct TicketGrant {
  core::InstanceId worker;
  std::string ticket;
};

/** @brief The answer to a request for tickets. */
struct TicketsAnswered {
  StepId step;
  /** @brief False if the service refused or did not answer. */
  bool is_answered = false;
  std::vector<TicketGrant> allowed;
  /** @brief How long the tickets are valid. */
  std::chrono::milliseconds validity{};
};

/** @brief Asks a queue's policy which workers may run a step. */
class TicketPort {
 public:
  virtual ~TicketPort() = default;
  /** @brief Asks for some workers; answered by TicketsAnswered. */
  virtual void Ask(const StepId& step,
                   const std::vector<core::InstanceId>& workers) = 0;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_TICKET_PORT_H_
