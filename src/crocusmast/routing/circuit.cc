#include "crocusmast/routing/circuit.h"

#include <algorithm>
#include <bitset>

namespace crocusmast::routing {

void Circuit::Advance(core::TimePoint now) {
  if (m_state == CircuitState::kOpen && m_pause_end <= now) {
    m_state = CircuitState::kHalfOpen;
    m_probes_succeeded = 0;
  }
}

void Circuit::Succeed() {
  Record(false);
  m_failures_in_row = 0;
  if (m_state == CircuitState::kHalfOpen &&
      ++m_probes_succeeded >= kProbesToClose) {
    m_state = CircuitState::kClosed;
    m_pause = kFirstPause;
    m_results = 0;
    m_result_count = 0;
  }
}

bool Circuit::Fail(core::TimePoint now) {
  Record(true);
  ++m_failures_in_row;
  if (m_state == CircuitState::kHalfOpen) {
    m_pause = std::min<core::Duration>(m_pause * 2, kLongestPause);
    Open(now);
    return true;
  }
  if (m_state == CircuitState::kClosed &&
      (m_failures_in_row >= kFailuresInRow || HasTooManyFailures())) {
    Open(now);
    return true;
  }
  return false;
}

void Circuit::Throttle(core::TimePoint now, core::Duration pause) {
  const core::Duration bounded =
      std::clamp<core::Duration>(pause, core::Duration::zero(), kLongestPause);
  m_state = CircuitState::kOpen;
  m_pause_end = now + bounded;
}

void Circuit::Open(core::TimePoint now) {
  m_state = CircuitState::kOpen;
  m_pause_end = now + m_pause;
}

void Circuit::Record(bool is_failure) {
  constexpr std::uint32_t kMask = (1U << kWindow) - 1;
  m_results = ((m_results << 1U) | (is_failure ? 1U : 0U)) & kMask;
  m_result_count = std::min(m_result_count + 1, kWindow);
}

bool Circuit::HasTooManyFailures() const {
  const auto failures =
      static_cast<int>(std::bitset<kWindow>(m_results).count());
  return m_result_count >= kMinResults && failures * 2 >= m_result_count;
}

}  // namespace crocusmast::routing
