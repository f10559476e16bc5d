#ifndef CROCUSMAST_INTAKE_STORE_CIRCUIT_H_
#define CROCUSMAST_INTAKE_STORE_CIRCUIT_H_

#include <chrono>

#include "crocusmast/core/clock.h"

namespace crocusmast::intake {

/**
 * @brief Tracks whether the job store replies to this instance.
 *
 * Opens after consecutive calls without a reply. While it is open, only one
 * probe at a time is sent; any reply of the store closes it. A slow store
 * replies, so it opens nothing unless its replies exceed the time limit of a
 * call.
 */
class StoreCircuit {
 public:
  /** @brief Number of consecutive calls without a reply that opens the
   * circuit. */
  static constexpr int kMaxConsecutiveFailures = 2;
  /** @brief Minimum time between a failed probe and the next one. */
  static constexpr std::chrono::milliseconds kProbeInterval{100};

  /**
   * @brief Creates a closed circuit.
   * @param clock Time source; outlives the circuit.
   */
  explicit StoreCircuit(const core::Clock& clock) : m_clock(clock) {}

  /** @brief Returns whether calls may be sent without restriction. */
  bool IsClosed() const { return m_failures < kMaxConsecutiveFailures; }

  /**
   * @brief Starts a probe if one is due.
   * @return True if the caller must send a call now and end the probe with
   * EndProbe().
   */
  bool TryStartProbe();

  /** @brief Ends the probe in progress; its reply is recorded separately. */
  void EndProbe();

  /**
   * @brief Records that the store replied.
   * @return True if this closed the circuit.
   */
  bool RecordReply();

  /**
   * @brief Records that a call got no reply.
   * @param sent_at When the call was sent; one that was sent before the store's
   * last reply is not counted.
   * @return True if this opened the circuit.
   */
  bool RecordFailure(core::TimePoint sent_at);

 private:
  const core::Clock& m_clock;
  int m_failures = 0;
  bool m_is_probing = false;
  core::TimePoint m_next_probe_at;
  core::TimePoint m_last_reply_at;
};

}  // namespace crocusmast::intake

#endif  // CROCUSMAST_INTAKE_STORE_CIRCUIT_H_
