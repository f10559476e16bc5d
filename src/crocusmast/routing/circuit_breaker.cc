#include "crocusmast/routing/circuit_breaker.h"

#include <algorithm>
#include <bitset>

namespace crocusmast::routing {

void CircuitBreaker::Advance(core::TimePoint now) {
  if (m_state == CircuitState::kOpen && m_open_until <= now) {
    m_state = CircuitState::kHalfOpen;
    m_successful_probes = 0;
  }
}

void CircuitBreaker::RecordSuccess() {
  AddResult(false);
  m_consecutive_failures = 0;
  if (m_state == CircuitState::kHalfOpen &&
      ++m_successful_probes >= kSuccessesToClose) {
    m_state = CircuitState::kClosed;
    m_open_time = kInitialOpenTime;
    m_failure_bits = 0;
    m_result_count = 0;
  }
}

bool CircuitBreaker::RecordFailure(core::TimePoint now) {
  AddResult(true);
  ++m_consecutive_failures;
  if (m_state == CircuitState::kHalfOpen) {
    m_open_time = std::min<core::Duration>(m_open_time * 2, kMaxOpenTime);
    Open(now);
    return true;
  }
  if (m_state == CircuitState::kClosed &&
      (m_consecutive_failures >= kMaxConsecutiveFailures ||
       HasTooManyFailures())) {
    Open(now);
    return true;
  }
  return false;
}

void CircuitBreaker::Throttle(core::TimePoint now, core::Duration backoff) {
  const core::Duration bounded =
      std::clamp<core::Duration>(backoff, core::Duration::zero(), kMaxOpenTime);
  m_state = CircuitState::kOpen;
  m_open_until = now + bounded;
}

void CircuitBreaker::Open(core::TimePoint now) {
  m_state = CircuitState::kOpen;
  m_open_until = now + m_open_time;
}

void CircuitBreaker::AddResult(bool is_failure) {
  constexpr std::uint32_t kMask = (1U << kResultWindow) - 1;
  m_failure_bits = ((m_failure_bits << 1U) | (is_failure ? 1U : 0U)) & kMask;
  m_result_count = std::min(m_result_count + 1, kResultWindow);
}

bool CircuitBreaker::HasTooManyFailures() const {
  const auto failures =
      static_cast<int>(std::bitset<kResultWindow>(m_failure_bits).count());
  return m_result_count >= kMinResults && failures * 2 >= m_result_count;
}

}  // namespace crocusmast::routing
