#ifndef CROCUSMAST_REQUEST_REQUEST_H_
#define CROCUSMAST_REQUEST_REQUEST_H_

#include <optional>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/request/outcome.h"
#include "crocusmast/request/request_spec.h"

namespace crocusmast::request {

/** @brief The state of a request. */
enum class RequestState {
  /** @brief Waits to be sent for the first or the next time. */
  kWaiting,
  /** @brief An attempt is in progress. */
  kSent,
  /** @brief Answered; a repeatable request may be retried. */
  kAnswered,
  /** @brief Ended without having run. */
  kRefused,
  /** @brief Ended without a final answer; may have run. */
  kUnknown,
};

/**
 * @brief A request from its arrival to its end; the root of the aggregate.
 *
 * A request is sent to each destination at most once, ends exactly once, and is
 * refused only if no attempt can have run it.
 */
class Request {
 public:
  /**
   * @brief Creates a waiting request.
   * @param spec The request's properties.
   * @param now The current time.
   * @return The request; an error if its deadline has passed.
   */
  static core::Result<Request> Create(RequestSpec spec, core::TimePoint now);

  /** @brief Returns the request's properties. */
  const RequestSpec& Spec() const { return m_spec; }

  /** @brief Returns the current state. */
  RequestState CurrentState() const { return m_state; }

  /** @brief Returns the time when the request arrived. */
  core::TimePoint ArrivedAt() const { return m_arrived_at; }

  /** @brief Returns the destinations of all attempts, in order. */
  const std::vector<core::InstanceId>& AttemptedDestinations() const {
    return m_attempted_destinations;
  }

  /** @brief Tells whether any attempt may have run the request. */
  bool MayHaveRun() const { return m_may_have_run; }

  /** @brief Tells whether the request has ended. */
  bool HasEnded() const;

  /**
   * @brief Records that the request is sent to a destination.
   * @param destination The target or peer.
   * @return An error unless the request is waiting and was never sent there.
   */
  core::Result<void> Send(const core::InstanceId& destination);

  /**
   * @brief Records the result of the current attempt.
   * @param source The instance that reports; must be the destination of the
   * current attempt.
   * @param delivery How the attempt ended.
   * @return True if the request waits again and may be sent elsewhere; an error
   * for a report that is late, duplicate or from another instance.
   */
  core::Result<bool> FinishAttempt(const core::InstanceId& source,
                                   DeliveryStatus delivery);

  /**
   * @brief Moves an answered request back to waiting, for another attempt.
   * @return An error unless the request is repeatable and answered.
   */
  core::Result<void> PrepareRetry();

  /**
   * @brief Ends the request without an answer.
   * @return Refused if the request certainly did not run, else unknown; an
   * error if it has already ended.
   */
  core::Result<Outcome> Abort();

 private:
  Request(RequestSpec spec, core::TimePoint now);

  boost::leaf::error_id InvalidState(const char* action) const;

  RequestSpec m_spec;
  core::TimePoint m_arrived_at;
  RequestState m_state = RequestState::kWaiting;
  bool m_may_have_run = false;
  std::vector<core::InstanceId> m_attempted_destinations;
};

}  // namespace crocusmast::request

#endif  // CROCUSMAST_REQUEST_REQUEST_H_
