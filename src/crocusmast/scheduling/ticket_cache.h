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

/** @brief The most workers in one ticket request; each one adds to the latency
 * of the reply. */
inline constexpr std::size_t kMaxWorkersPerRequest = 30;
/** @brief The most requests in flight. The service refuses the 33rd concurrent
 * request of an instance. */
inline constexpr std::size_t kMaxPendingRequests = 24;
/** @brief Delay before a failed request is retried. */
inline constexpr std::chrono::milliseconds kTicketRetryDelay{200};
/** @brief A ticket is not used this close to its expiry, because the start
 * command must arrive while the ticket is valid. */
inline constexpr std::chrono::milliseconds kTicketExpiryMargin{400};

/** @brief A worker for which a ticket may be requested. */
struct TicketCandidate {
  core::InstanceId worker;
  core::Incarnation incarnation;
};

/**
 * @brief Caches for each step the workers that its queue's policy allows.
 *
 * Invariants: a ticket is valid for one incarnation of a worker; the policy of
 * a step does not change, so that a denied incarnation is not requested again.
 */
class TicketCache {
 public:
  /**
   * @brief Returns the ticket for starting a step's tasks on a worker.
   * @param step The step.
   * @param worker The worker.
   * @param incarnation The worker's incarnation.
   * @param now The current time.
   * @return The ticket, or null if no valid one is cached.
   */
  const std::string* Find(const StepId& step,
                          const core::InstanceId& worker,
                          core::Incarnation incarnation,
                          core::TimePoint now) const;

  /**
   * @brief Selects the workers to request tickets for, and marks them pending.
   * @param step The step.
   * @param candidates The workers that could run the step, best first.
   * @param now The current time.
   * @return The workers; empty if a request is pending, limits are reached or
   * the policy has decided on every candidate.
   */
  std::vector<core::InstanceId> BeginRequest(
      const StepId& step,
      const std::vector<TicketCandidate>& candidates,
      core::TimePoint now);

  /**
   * @brief Handles the reply to a ticket request.
   * @param reply The reply.
   * @param now The current time.
   */
  void HandleReply(const TicketReply& reply, core::TimePoint now);

  /**
   * @brief Removes a ticket that a worker rejected, so that it is requested
   * again.
   * @param step The step.
   * @param worker The worker.
   */
  void RemoveTicket(const StepId& step, const core::InstanceId& worker);

  /**
   * @brief Removes all steps of a job.
   * @param job The job.
   */
  void RemoveJob(const core::JobId& job);
  /** @brief Removes all entries. */
  void Clear() { m_steps.clear(); }

 private:
  /** @brief The policy's verdict on one worker for a step. */
  struct Verdict {
    core::Incarnation incarnation;
    bool is_allowed = false;
    std::string ticket;
    core::TimePoint valid_until;
  };
  /** @brief Verdicts and the pending request of one step. */
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
