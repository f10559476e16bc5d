#ifndef CROCUSMAST_ROUTING_CIRCUIT_BREAKER_H_
#define CROCUSMAST_ROUTING_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "crocusmast/core/clock.h"

namespace crocusmast::routing {

/** @brief Whether requests may be sent to a target. */
enum class CircuitState {
  /** @brief Requests are sent without restriction. */
  kClosed,
  /** @brief The target is excluded until the open time has passed. */
  kOpen,
  /** @brief One probe at a time is sent. */
  kHalfOpen
};

/**
 * @brief Circuit breaker that stops sending requests to a failing target for a
 * time.
 *
 * Opens after consecutive failures, or if at least half of the recent results
 * are failures.
 * After the open time it lets one probe at a time through, and it closes after
 * enough successful probes. Each failed probe doubles the open time, up to a
 * maximum.
 */
class CircuitBreaker {
 public:
  /** @brief Number of consecutive failures that opens the circuit. */
  static constexpr int kMaxConsecutiveFailures = 5;
  /** @brief Number of recent results kept, one bit each. */
  static constexpr int kResultWindow = 20;
  /**
   * @brief Number of recent results needed before the failure proportion is
   * considered.
   */
  static constexpr int kMinResults = 10;
  /** @brief Number of successful probes that closes the circuit. */
  static constexpr int kSuccessesToClose = 2;
  /** @brief Open time when the circuit first opens. */
  static constexpr std::chrono::milliseconds kInitialOpenTime{1000};
  /** @brief Upper bound of the open time. */
  static constexpr std::chrono::milliseconds kMaxOpenTime{30000};

  /** @brief Returns the current state. */
  CircuitState State() const { return m_state; }

  /**
   * @brief Returns the end of the open time; valid only while the circuit is
   * open.
   */
  core::TimePoint OpenUntil() const { return m_open_until; }

  /**
   * @brief Moves an open circuit to half-open once its open time has passed.
   * @param now The current time.
   */
  void Advance(core::TimePoint now);

  /** @brief Records a successful response. */
  void RecordSuccess();

  /**
   * @brief Records a failure.
   * @param now The current time.
   * @return True if this failure opened the circuit.
   */
  bool RecordFailure(core::TimePoint now);

  /**
   * @brief Opens the circuit because the target asked for less load; does not
   * count as a failure.
   * @param now The current time.
   * @param backoff How long to keep the circuit open; at most kMaxOpenTime.
   */
  void Throttle(core::TimePoint now, core::Duration backoff);

 private:
  void Open(core::TimePoint now);
  void AddResult(bool is_failure);
  bool HasTooManyFailures() const;

  CircuitState m_state = CircuitState::kClosed;
  core::TimePoint m_open_until;
  core::Duration m_open_time = kInitialOpenTime;
  std::uint32_t m_failure_bits = 0;
  int m_result_count = 0;
  int m_consecutive_failures = 0;
  int m_successful_probes = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_CIRCUIT_BREAKER_H_
