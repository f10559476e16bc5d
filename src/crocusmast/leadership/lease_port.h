#ifndef CROCUSMAST_LEADERSHIP_LEASE_PORT_H_
#define CROCUSMAST_LEADERSHIP_LEASE_PORT_H_

#include <cstdint>
#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"

namespace crocusmast::leadership {

/** @brief Names a lease of the store. */
using LeaseId = core::Quantity<struct LeaseTag>;

/** @brief Who has a duty. */
struct Holder {
  /** @brief The entry instance's name. */
  std::string instance;
  /** @brief The life of its process, so that a restart is told apart. */
  std::string life;

  friend bool operator==(const Holder& left, const Holder& right) {
    return left.instance == right.instance && left.life == right.life;
  }
};

/** @brief How a call about a lease went. */
enum class LeaseOutcome {
  kDone,
  /** @brief Someone else has the duty, or the lease has ended. */
  kLost,
  /** @brief The store refused or can't be reached; nothing was done. */
  kRefused,
  /** @brief No answer; it may have been done, or may be done later. */
  kUnknown,
};

/** @brief The answer to a request for a lease. */
struct LeaseGranted {
  LeaseOutcome outcome = LeaseOutcome::kUnknown;
  LeaseId lease;
  core::TimePoint asked_at;
};
/** @brief The answer to a claim. */
struct DutyClaimed {
  LeaseOutcome outcome = LeaseOutcome::kUnknown;
  /** @brief The store's revision of the claim. */
  core::Revision revision;
};
/** @brief The answer to a renewal. */
struct LeaseRenewed {
  LeaseOutcome outcome = LeaseOutcome::kUnknown;
  LeaseId lease;
  core::TimePoint asked_at;
};
/** @brief The store says who has the duty. */
struct DutyStored {
  Holder holder;
  core::Revision revision;
};
/** @brief The store says that nobody has the duty. */
struct DutyVacant {
  core::Revision revision;
};

/** @brief Keeps duties in the store; answers come back as messages. */
class LeasePort {
 public:
  virtual ~LeasePort() = default;
  /** @brief Asks for a lease; answered by LeaseGranted. */
  virtual void Grant(std::chrono::milliseconds duration) = 0;
  /** @brief Claims the duty if nobody has it; answered by DutyClaimed. */
  virtual void Claim(const Holder& holder, LeaseId lease) = 0;
  /** @brief Renews a lease; answered by LeaseRenewed. */
  virtual void Renew(LeaseId lease) = 0;
  /** @brief Gives a lease and what hangs on it back; not answered. */
  virtual void Release(LeaseId lease) = 0;
  /** @brief Ends another life's hold on the duty; not answered. */
  virtual void Depose(core::Revision claimed_at) = 0;
};

}  // namespace crocusmast::leadership

#endif  // CROCUSMAST_LEADERSHIP_LEASE_PORT_H_
