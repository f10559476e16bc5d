#ifndef CROCUSMAST_ROUTING_CIRCUIT_H_
#define CROCUSMAST_ROUTING_CIRCUIT_H_

#include <cstdint>

#include "crocusmast/core/clock.h"

namespace crocusmast::routing {

/** @brief Whether a target is tried. */
enum class CircuitState { kClosed, kOpen, kHalfOpen };

/**
 * @brief Takes a target that keeps failing out of the choice for a while.
 *
 * It opens after failures in a row or a high share of recent failures, admits
 * one probe after the pause, and closes after probes that succeed. Each time
 * a probe fails the pause doubles up to a bound.
 */
class CircuitBreaker {
 public:
  /** @brief Failures in a row that open it. */
  static constexpr int kMaxConsecutiveFailures = 5;
  /** @brief Recent results kept, one bit each. */
  static constexpr int kResultWindow = 20;
  /** @brief Recent results needed before their share counts. */
  static constexpr int kMinSamples = 10;
  /** @brief Probes in a row that close it. */
  static constexpr int kSuccessesToClose = 2;
  /** @brief The first pause. */
  static constexpr std::chrono::milliseconds kInitialOpenTime{1000};
  /** @brief The longest pause. */
  static constexpr std::chrono::milliseconds kMaxOpenTime{30000};

  /** @brief Returns the state. */
  CircuitState State() const { return m_state; }

  /** @brief Returns the end of the pause; it counts only while open. */
  core::TimePoint OpenUntil() const { return m_open_until; }

  /**
   * @brief Lets a probe through once the pause is over.
   * @param now The time.
   */
  void Advance(core::TimePoint now);

  /** @brief Takes in that the target answered. */
  void RecordSuccess();

  /**
   * @brief Takes in that the target failed.
   * @param now The time.
   * @return True if this opened the circuit.
   */
  bool RecordFailure(core::TimePoint now);

  /**
   * @brief Pauses a target that asked for less work; not a failure.
   * @param now The time.
   * @param pause How long.
   */
  void Throttle(core::TimePoint now, core::Duration pause);

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
  int m_probes_succeeded = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_CIRCUIT_H_
