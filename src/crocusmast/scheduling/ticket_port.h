#ifndef CROCUSMAST_SCHEDULING_TICKET_PORT_H_
#define CROCUSMAST_SCHEDULING_TICKET_PORT_H_

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::scheduling {

/** @brief Identifies a step of one occurrence of a job. */
struct StepId {
  core::JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  /**
   * @brief Returns the id of the step that a task belongs to.
   * @param task The task.
   */
  static StepId Of(const job::TaskId& task) {
    return {task.job, task.key.occurrence, task.key.step};
  }

  friend bool operator<(const StepId& left, const StepId& right) {
    return std::tie(left.job, left.occurrence, left.step) <
           std::tie(right.job, right.occurrence, right.step);
  }
};

/** @brief A ticket that permits a step's tasks to run on one worker. */
struct TicketGrant {
  core::InstanceId worker;
  std::string ticket;
};

/** @brief Reply to a ticket request. */
struct TicketReply {
  StepId step;
  /** @brief False if the policy's service rejected the request or did not
   * reply. */
  bool is_successful = false;
  /** @brief The workers that the policy allows, with their tickets. */
  std::vector<TicketGrant> allowed;
  /** @brief How long the tickets are valid after the reply is received. */
  std::chrono::milliseconds validity{};
};

/** @brief Requests tickets from a queue's placement policy. */
class TicketPort {
 public:
  virtual ~TicketPort() = default;
  /**
   * @brief Requests tickets; the reply arrives as a TicketReply message.
   * @param step The step.
   * @param workers The workers on which the step could run.
   */
  virtual void RequestTickets(const StepId& step,
                              const std::vector<core::InstanceId>& workers) = 0;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_TICKET_PORT_H_
