#ifndef CROCUSMAST_LEADERSHIP_LEASE_PORT_H_
#define CROCUSMAST_LEADERSHIP_LEASE_PORT_H_

#include <cstdint>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"

namespace crocusmast::leadership {

/** @brief Identifies a lease in the store. */
using LeaseId = core::Quantity<struct LeaseTag>;

/** @brief Identity of a lease holder: one process of an entry instance. */
struct HolderIdentity {
  /** @brief Name of the entry instance. */
  std::string instance;
  /**
   * @brief Identifier of the process start, which distinguishes restarts of an
   * instance.
   */
  std::string incarnation;

  friend bool operator==(const HolderIdentity& left,
                         const HolderIdentity& right) {
    return left.instance == right.instance &&
           left.incarnation == right.incarnation;
  }
};

/** @brief Outcome of a lease call. */
enum class LeaseOutcome {
  /** @brief The call succeeded. */
  kDone,
  /** @brief Another instance is the leader, or the lease has expired. */
  kLost,
  /**
   * @brief The store rejected the call or is unreachable; the call had no
   * effect.
   */
  kRefused,
  /**
   * @brief No reply was received; the call may have been applied or may still
   * be.
   */
  kUnknown,
};

/** @brief Reply to a lease request. */
struct LeaseGrantReply {
  LeaseOutcome outcome = LeaseOutcome::kUnknown;
  /** @brief Granted lease. */
  LeaseId lease;
  /** @brief Start time of the call. */
  core::TimePoint requested_at;
};
/** @brief Reply to a leadership claim. */
struct LeadershipClaimReply {
  LeaseOutcome outcome = LeaseOutcome::kUnknown;
  /** @brief Store revision of the claim. */
  core::Revision revision;
};
/** @brief Reply to a renewal. */
struct LeaseRenewalReply {
  LeaseOutcome outcome = LeaseOutcome::kUnknown;
  /** @brief Lease that the call was to renew. */
  LeaseId lease;
  /** @brief Start time of the call. */
  core::TimePoint requested_at;
};
/** @brief The store contains a leader's claim. */
struct LeaderObserved {
  HolderIdentity holder;
  /** @brief Store revision of the claim. */
  core::Revision revision;
};
/** @brief The store contains no leader's claim. */
struct LeadershipVacant {
  /** @brief Store revision at which the leadership was found vacant. */
  core::Revision revision;
};

/** @brief Access to leader leases in the store; replies arrive as messages. */
class LeasePort {
 public:
  virtual ~LeasePort() = default;
  /**
   * @brief Requests a lease; the reply is LeaseGrantReply.
   * @param duration Time after which the store drops the lease if it is not
   * renewed.
   */
  virtual void RequestLease(std::chrono::milliseconds duration) = 0;
  /**
   * @brief Claims the leadership if it is vacant; the reply is
   * LeadershipClaimReply.
   * @param holder Identity of this process.
   * @param lease Lease that the claim is attached to.
   */
  virtual void ClaimLeadership(const HolderIdentity& holder, LeaseId lease) = 0;
  /**
   * @brief Renews a lease; the reply is LeaseRenewalReply.
   * @param lease Lease to renew.
   */
  virtual void Renew(LeaseId lease) = 0;
  /**
   * @brief Releases a lease together with the claim attached to it; there is no
   * reply.
   * @param lease Lease to release.
   */
  virtual void Release(LeaseId lease) = 0;
  /**
   * @brief Revokes the claim of another incarnation of this instance; there is
   * no reply.
   * @param claimed_at Store revision of the claim.
   */
  virtual void RevokeClaim(core::Revision claimed_at) = 0;
};

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_LEASE_PORT_H_
