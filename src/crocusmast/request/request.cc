#include "crocusmast/request/request.h"

#include <algorithm>
#include <string>
#include <utility>

namespace crocusmast::request {

using core::Fail;
using core::Operation;

Request::Request(RequestSpec spec, core::TimePoint now)
    : m_spec(std::move(spec)), m_arrived_at(now) {}

core::Result<Request> Request::Create(RequestSpec spec, core::TimePoint now) {
  if (spec.deadline <= now) {
    return Fail(Operation::kChangeState, spec.id.Text(),
                "the deadline has passed");
  }
  return Request(std::move(spec), now);
}

bool Request::HasEnded() const {
  return m_state == RequestState::kAnswered ||
         m_state == RequestState::kRefused || m_state == RequestState::kUnknown;
}

core::Result<void> Request::Send(const core::InstanceId& destination) {
  if (m_state != RequestState::kWaiting) {
    return InvalidState("send the request");
  }
  if (std::find(m_attempted_destinations.begin(),
                m_attempted_destinations.end(),
                destination) != m_attempted_destinations.end()) {
    return Fail(Operation::kChangeState, destination.Text(),
                "the request was already sent to this destination");
  }
  m_attempted_destinations.push_back(destination);
  m_state = RequestState::kSent;
  return {};
}

core::Result<bool> Request::FinishAttempt(const core::InstanceId& source,
                                          DeliveryStatus delivery) {
  if (m_state != RequestState::kSent) {
    return InvalidState("finish the attempt");
  }
  if (m_attempted_destinations.back() != source) {
    return Fail(Operation::kChangeState, source.Text(),
                "the report does not match the current attempt");
  }
  if (delivery == DeliveryStatus::kAnswered) {
    m_may_have_run = true;
    m_state = RequestState::kAnswered;
    return false;
  }
  if (delivery == DeliveryStatus::kUnknown) {
    m_may_have_run = true;
    if (m_spec.retry_safety == RetrySafety::kAtMostOnce) {
      m_state = RequestState::kUnknown;
      return false;
    }
  }
  m_state = RequestState::kWaiting;
  return true;
}

core::Result<void> Request::PrepareRetry() {
  if (m_state != RequestState::kAnswered ||
      m_spec.retry_safety != RetrySafety::kRepeatable) {
    return InvalidState("prepare a retry");
  }
  m_state = RequestState::kWaiting;
  return {};
}

core::Result<Outcome> Request::Abort() {
  if (HasEnded()) {
    return InvalidState("abort the request");
  }
  const bool is_in_flight = m_state == RequestState::kSent;
  m_may_have_run = m_may_have_run || is_in_flight;
  m_state = m_may_have_run ? RequestState::kUnknown : RequestState::kRefused;
  return m_may_have_run ? Outcome::kUnknown : Outcome::kRefused;
}

boost::leaf::error_id Request::InvalidState(const char* action) const {
  return Fail(Operation::kChangeState, m_spec.id.Text(),
              std::string("cannot ") + action + " in state " +
                  std::to_string(static_cast<int>(m_state)));
}

}  // namespace crocusmast::request
