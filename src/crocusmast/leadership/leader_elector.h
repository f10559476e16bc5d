#ifndef CROCUSMAST_LEADERSHIP_LEADER_ELECTOR_H_
#define CROCUSMAST_LEADERSHIP_LEADER_ELECTOR_H_

#include <optional>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/leadership/leader_lease.h"
#include "crocusmast/leadership/lease_port.h"

namespace crocusmast::leadership {

/**
 * @brief How the scheduling duty's lease is kept.
 *
 * Two seconds bound the pause after a holder's death. A holder acts on for
 * five seconds while the store can't be reached: workers refuse a deposed
 * holder by its token, and a successor waits this time out before it takes a
 * worker that it can't reach as lapsed.
 */
inline constexpr LeaseTimings kSchedulingLease{std::chrono::milliseconds(2000),
                                               std::chrono::milliseconds(600),
                                               std::chrono::milliseconds(7000)};
/** @brief How long a claim waits for its answer before it is tried again. */
inline constexpr std::chrono::milliseconds kClaimRetryInterval{700};

/**
 * @brief Takes the scheduling duty when it is vacant, and keeps it.
 *
 * The revision of the claim is the holder's fencing token: it only rises.
 */
class LeaderElector {
 public:
  /**
   * @brief Makes an elector that does not hold the duty.
   * @param self This life of this instance.
   * @param patience How long a vacant duty is left to others first.
   * @param port Reaches the store; outlives the elector.
   * @param clock Tells the time, suspends included; outlives the elector.
   * @param logger Takes what changes; outlives the elector.
   */
  LeaderElector(Holder self,
                std::chrono::milliseconds patience,
                LeasePort& port,
                const core::Clock& clock,
                core::Logger& logger);

  /** @brief Takes in what the store says or answers. */
  void Handle(const DutyStored& stored);
  void Handle(const DutyVacant& vacant);
  void Handle(const LeaseGranted& granted);
  void Handle(const DutyClaimed& claimed);
  void Handle(const LeaseRenewed& renewed);

  /** @brief Claims or renews when it is time. */
  void Tick();

  /** @brief Takes in that someone was seen with a higher token. */
  void OnSuperseded(const std::string& evidence);

  /** @brief Gives the duty up for good. */
  void Resign();

  /** @brief Tells whether this instance may act as the holder now. */
  bool MayAct() const;

  /** @brief Tells whether the store surely still names this instance. */
  bool IsLeaseValid() const;

  /** @brief Returns when the store last was asked and named this instance. */
  core::TimePoint ConfirmedAt() const { return m_lease.ConfirmedAt(); }

  /** @brief Returns the token of the hold; 0 without one. */
  core::FencingToken Token() const { return m_token; }

 private:
  enum class Phase {
    kFollowing,
    kRequestingLease,
    kClaiming,
    kLeading,
    kResigned
  };

  void TryAcquire();
  void BecomeLeader(core::Revision revision);
  void LoseLeadership(const std::string& reason);
  void Log(core::Severity severity, std::string sentence) const;

  const Holder m_self;
  const std::chrono::milliseconds m_claim_delay;
  LeasePort& m_port;
  const core::Clock& m_clock;
  core::Logger& m_logger;
  Phase m_phase = Phase::kFollowing;
  /** @brief Since when the duty is known to be vacant; empty if it is not. */
  std::optional<core::TimePoint> m_vacant_since;
  LeaderLease m_lease{kSchedulingLease};
  LeaseId m_lease_id;
  core::TimePoint m_lease_requested_at;
  core::TimePoint m_next_attempt_at;
  core::FencingToken m_token;
};

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_LEADER_ELECTOR_H_
