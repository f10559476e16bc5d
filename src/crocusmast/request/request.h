#ifndef CROCUSMAST_REQUEST_REQUEST_H_
#define CROCUSMAST_REQUEST_REQUEST_H_

#include <optional>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/request/outcome.h"
#include "crocusmast/request/request_spec.h"

namespace crocusmast::request {

/** @brief Where a request is in its life. */
enum class RequestState {
  kWaiting,
  kSent,
  kAnswered,
  kRefused,
  kUnknown,
};

/**
 * @brief A request's life; the aggregate's root.
 *
 * It is sent to each destination at most once, ends exactly once, and is only
 * refused if no attempt can have run it.
 */
class Request {
 public:
  /**
   * @brief Takes a request in.
   * @param spec What the caller said.
   * @param now The time.
   * @return The request, waiting; an error if its deadline has passed.
   */
  static core::Result<Request> Create(RequestSpec spec, core::TimePoint now);

  /** @brief Returns what the caller said. */
  const RequestSpec& Spec() const { return m_spec; }

  /** @brief Returns where the request is in its life. */
  RequestState CurrentState() const { return m_state; }

  /** @brief Returns when the request arrived. */
  core::TimePoint ArrivedAt() const { return m_arrived_at; }

  /** @brief Returns where it was sent, in order. */
  const std::vector<core::InstanceId>& AttemptedDestinations() const {
    return m_attempted_destinations;
  }

  /** @brief Tells whether some attempt may have run it. */
  bool MayHaveRun() const { return m_may_have_run; }

  /** @brief Tells whether the request has ended. */
  bool HasEnded() const;

  /**
   * @brief Records that the request is sent.
   * @param destination The target or peer.
   * @return An error unless it waits and was not sent there before.
   */
  core::Result<void> Send(const core::InstanceId& destination);

  /**
   * @brief Records how the attempt under way ended.
   * @param source Who reports; the destination of the attempt.
   * @param delivery How it ended.
   * @return True if the request waits again and may be sent elsewhere; an
   * error for a report that is late, doubled or from somebody else.
   */
  core::Result<bool> FinishAttempt(const core::InstanceId& source,
                                   Delivery delivery);

  /**
   * @brief Puts an answered request back for another attempt.
   * @return An error unless it is repeatable and answered.
   */
  core::Result<void> PrepareRetry();

  /**
   * @brief Ends the request without an answer.
   * @return Refused if it surely did not run, else unknown; an error if it has
   * ended already.
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
