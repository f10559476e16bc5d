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
 * @brief Timings of the scheduling leader's lease.
 *
 * The duration of two seconds bounds the time without a leader after a leader
 * crash. While the store is unreachable, a leader keeps acting for another five
 * seconds. This is safe because workers reject the commands of a superseded
 * leader by its token, and a successor waits for these five seconds before it
 * treats the leases on an unreachable worker as expired.
 */
inline constexpr LeaseTimings kSchedulingLease{std::chrono::milliseconds(2000),
                                               std::chrono::milliseconds(600),
                                               std::chrono::milliseconds(7000)};
/**
 * @brief Minimum interval between two attempts to acquire the leadership.
 *
 * An attempt without a reply is abandoned after this interval plus the duration
 * of the lease.
 */
inline constexpr std::chrono::milliseconds kAcquireRetryInterval{700};

/**
 * @brief Acquires the scheduling leadership when it is vacant, and keeps its
 * lease.
 *
 * The store revision of the claim serves as the fencing token, so it increases
 * with each term.
 */
class LeaderElector {
 public:
  /**
   * @brief Creates an elector that is not the leader.
   * @param self Identity of this process.
   * @param claim_delay Time for which the leadership must be vacant before this
   * instance claims it; instances with a shorter delay claim it first.
   * @param port Access to the store; outlives the elector.
   * @param clock Monotonic clock that keeps running while the machine is
   * suspended; outlives the elector.
   * @param logger Logger for changes of leadership; outlives the elector.
   */
  LeaderElector(HolderIdentity self,
                std::chrono::milliseconds claim_delay,
                LeasePort& port,
                const core::Clock& clock,
                core::Logger& logger);

  /** @brief Processes events and replies of the store. */
  void Handle(const LeaderObserved& leader);
  void Handle(const LeadershipVacant& vacant);
  void Handle(const LeaseGrantReply& reply);
  void Handle(const LeadershipClaimReply& reply);
  void Handle(const LeaseRenewalReply& reply);

  /** @brief Claims the leadership or renews the lease when it is due. */
  void Tick();

  /**
   * @brief Ends the term because a leader with a higher token was observed.
   * @param evidence How the leader was observed, for the log.
   */
  void OnSuperseded(const std::string& evidence);

  /**
   * @brief Ends the term and releases the lease; the leadership may be acquired
   * again.
   * @param reason Why the term ends, for the log.
   */
  void StepDown(const std::string& reason);

  /**
   * @brief Ends the term but keeps the lease, so that the claim stays in the
   * store until the term is handed over; ReleaseLease() follows.
   */
  void StopActing();

  /** @brief Releases the lease of a term that was handed over; the leadership
   * may be acquired again. */
  void ReleaseLease();

  /** @brief Releases the leadership permanently, for shutdown. */
  void Resign();

  /** @brief Tells whether this instance may act as the leader now. */
  bool MayAct() const;

  /** @brief Tells whether the lease in the store is known to be valid. */
  bool IsLeaseValid() const;

  /**
   * @brief Returns the start time of the last call that confirmed the
   * leadership.
   */
  core::TimePoint ConfirmedAt() const { return m_lease.ConfirmedAt(); }

  /**
   * @brief Returns when the claim of the previous leader was known to be
   * removed.
   * @param revision Store revision that the removal is not older than.
   * @return The time; empty outside a term, and if the claim may have been
   * removed before that revision.
   */
  std::optional<core::TimePoint> VacantSince(core::Revision revision) const;

  /** @brief Returns the fencing token of the term; 0 if not the leader. */
  core::FencingToken Token() const { return m_token; }

 private:
  enum class Phase {
    kFollowing,
    kRequestingLease,
    kClaiming,
    kLeading,
    kHandingOver,
    kResigned
  };

  /** @brief Proof that the store contained no leader's claim. */
  struct Vacancy {
    core::TimePoint since;
    core::Revision revision;
  };

  void TryAcquire();
  void BecomeLeader(core::Revision revision);
  void LoseLeadership(const std::string& reason);
  void Log(core::Severity severity, std::string sentence) const;

  const HolderIdentity m_self;
  const std::chrono::milliseconds m_claim_delay;
  LeasePort& m_port;
  const core::Clock& m_clock;
  core::Logger& m_logger;
  Phase m_phase = Phase::kFollowing;
  /** @brief Since when the leadership is known to be vacant; empty if it is
   * held. */
  std::optional<Vacancy> m_vacancy;
  /** @brief The vacancy that this term ended. */
  std::optional<Vacancy> m_ended_vacancy;
  LeaderLease m_lease{kSchedulingLease};
  LeaseId m_lease_id;
  core::TimePoint m_lease_requested_at;
  core::TimePoint m_next_attempt_at;
  core::FencingToken m_token;
};

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_LEADER_ELECTOR_H_
