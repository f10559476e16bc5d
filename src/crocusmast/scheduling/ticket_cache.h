#ifndef CROCUSMAST_SCHEDULING_TICKET_CACHE_H_
#define CROCUSMAST_SCHEDULING_TICKET_CACHE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"
#include "crocusmast/scheduling/ticket_port.h"

namespace crocusmast::scheduling {

/** @brief The most workers asked about at once: the answer takes longer for
 * each. */
inline constexpr std::size_t kMaxWorkersPerRequest = 30;
/** @brief The most requests under way: the service refuses the 33rd of an
 * instance. */
inline constexpr std::size_t kMaxPendingRequests = 24;
/** @brief A request that failed is not repeated before. */
inline constexpr std::chrono::milliseconds kTicketRetryDelay{200};
/** @brief A ticket is not used in the last part of its time: the order has to
 * arrive within it. */
inline constexpr std::chrono::milliseconds kTicketExpiryMargin{400};

/** @brief A worker that may be asked about. */
struct TicketCandidate {
  core::InstanceId worker;
  core::Incarnation incarnation;
};

/**
 * @brief Knows for each step which workers its queue's policy allows.
 *
 * Its rules: a ticket is for one life of a worker; the policy of a step does
 * not change, so a worker that was not allowed is not asked about again.
 */
class TicketCache {
 public:
  /**
   * @brief Returns the ticket to start a step's task on a worker.
   * @param step The step.
   * @param worker The worker.
   * @param incarnation Its life.
   * @param now The time.
   * @return The ticket, or null if there is none that is valid.
   */
  const std::string* Find(const StepId& step,
                          const core::InstanceId& worker,
                          core::Incarnation incarnation,
                          core::TimePoint now) const;

  /**
   * @brief Names the workers to ask about for a step, and notes them as asked.
   * @param step The step.
   * @param candidates The workers that could run it, the best first.
   * @param now The time.
   * @return The workers; empty if an answer is awaited or nobody is left.
   */
  std::vector<core::InstanceId> BeginRequest(
      const StepId& step,
      const std::vector<TicketCandidate>& candidates,
      core::TimePoint now);

  /**
   * @brief Takes an answer.
   * @param answer The answer.
   * @param now The time.
   */
  void HandleReply(const TicketsAnswered& answer, core::TimePoint now);

  /** @brief Drops a ticket that a worker rejected. */
  void RemoveTicket(const StepId& step, const core::InstanceId& worker);

  /** @brief Forgets the steps of a job. */
  void RemoveJob(const core::JobId& job);
  /** @brief Forgets everything. */
  void Clear() { m_steps.clear(); }

 private:
  /** @brief What is known of one worker for a step. */
  struct Verdict {
    core::Incarnation incarnation;
    bool is_allowed = false;
    std::string ticket;
    core::TimePoint valid_until;
  };
  /** @brief What is known of a step. */
  struct Step {
    std::map<core::InstanceId, Verdict> verdicts;
    std::map<core::InstanceId, core::Incarnation> requested;
    core::TimePoint next_request_at;
  };

  std::size_t CountPendingRequests() const;

  std::map<StepId, Step> m_steps;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_TICKET_CACHE_H_
