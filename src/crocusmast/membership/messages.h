#ifndef CROCUSMAST_MEMBERSHIP_MESSAGES_H_
#define CROCUSMAST_MEMBERSHIP_MESSAGES_H_

#include <variant>

#include "crocusmast/membership/membership_source.h"

namespace crocusmast::membership {

/** @brief An update of the membership list was read. */
struct MembershipUpdateReceived {
  /** @brief The update. */
  MembershipUpdate update;
};

/** @brief A link to a peer is up. */
struct LinkUp {
  /** @brief The peer. */
  core::InstanceId peer;
};

/** @brief A link to a peer is down. */
struct LinkDown {
  /** @brief The peer. */
  core::InstanceId peer;
};

/** @brief An instance is leaving, as announced by itself or by a peer. */
struct InstanceLeaving {
  /** @brief The instance. */
  core::InstanceId instance;
};

/** @brief The messages that the membership service handles. */
using Message = std::variant<std::monostate,
                             MembershipUpdateReceived,
                             LinkUp,
                             LinkDown,
                             InstanceLeaving>;

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MESSAGES_H_
