#include "crocusmast/request/request.h"

#include <algorithm>
#include <string>
#include <utility>

namespace crocusmast::request {

using core::Fail;
using core::Step;

Request::Request(RequestSpec spec, core::TimePoint now)
    : m_spec(std::move(spec)), m_arrived_at(now) {}

core::Result<Request> Request::Create(RequestSpec spec, core::TimePoint now) {
  if (spec.deadline <= now) {
    return Fail(Step::kChangeState, spec.id.Text(), "the deadline has passed");
  }
  return Request(std::move(spec), now);
}

bool Request::HasEnded() const {
  return m_state == State::kAnswered || m_state == State::kRefused ||
         m_state == State::kUnknown;
}

core::Result<void> Request::Send(const core::InstanceId& destination) {
  if (m_state != State::kWaiting) {
    return WrongState("send");
  }
  if (std::find(m_tried.begin(), m_tried.end(), destination) != m_tried.end()) {
    return Fail(Step::kChangeState, destination.Text(),
                "the request was sent there before");
  }
  m_tried.push_back(destination);
  m_state = State::kSent;
  return {};
}

core::Result<bool> Request::Settle(const core::InstanceId& source,
                                   Delivery delivery) {
  if (m_state != State::kSent) {
    return WrongState("settle");
  }
  if (m_tried.back() != source) {
    return Fail(Step::kChangeState, source.Text(),
                "the report is not from the attempt under way");
  }
  if (delivery == Delivery::kAnswered) {
    m_may_have_run = true;
    m_state = State::kAnswered;
    return false;
  }
  if (delivery == Delivery::kUnknown) {
    m_may_have_run = true;
    if (m_spec.repeat == Repeat::kAtMostOnce) {
      m_state = State::kUnknown;
      return false;
    }
  }
  m_state = State::kWaiting;
  return true;
}

core::Result<void> Request::Reopen() {
  if (m_state != State::kAnswered || m_spec.repeat != Repeat::kRepeatable) {
    return WrongState("reopen");
  }
  m_state = State::kWaiting;
  return {};
}

core::Result<Outcome> Request::GiveUp() {
  if (HasEnded()) {
    return WrongState("give up");
  }
  const bool is_under_way = m_state == State::kSent;
  m_may_have_run = m_may_have_run || is_under_way;
  m_state = m_may_have_run ? State::kUnknown : State::kRefused;
  return m_may_have_run ? Outcome::kUnknown : Outcome::kRefused;
}

boost::leaf::error_id Request::WrongState(const char* action) const {
  return Fail(Step::kChangeState, m_spec.id.Text(),
              std::string("cannot ") + action + " in state " +
                  std::to_string(static_cast<int>(m_state)));
}

}  // namespace crocusmast::request
