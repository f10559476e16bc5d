#ifndef CROCUSMAST_FLEET_INSTANCE_RECORD_H_
#define CROCUSMAST_FLEET_INSTANCE_RECORD_H_

#include <cstdint>
#include <string>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::fleet {

/** @brief TCP address and port. */
struct Endpoint {
  /** @brief IP address as text. */
  std::string host;
  /** @brief Port; zero if there is none. */
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& left, const Endpoint& right) {
    return left.host == right.host && left.port == right.port;
  }
};

/** @brief Role of an instance. */
enum class Role { kEntry, kTarget };

/** @brief State of an instance in the membership list. */
enum class InstanceState { kLive, kLeaving };

/** @brief Entry of the membership list. */
struct InstanceRecord {
  /** @brief Id of the instance. */
  core::InstanceId id;
  /** @brief Role of the instance. */
  Role role = Role::kTarget;
  /** @brief State of the instance. */
  InstanceState state = InstanceState::kLive;
  /**
   * @brief Number that increases when the instance is replaced at the same
   * address.
   */
  core::Incarnation incarnation;
  core::RegionId region;
  /** @brief Availability zone (failure domain). */
  core::ZoneId zone;
  core::RackId rack;
  /** @brief Pool; empty for an entry instance. */
  core::PoolId pool;
  /**
   * @brief Address at which a target accepts requests, or an entry instance
   * accepts peer connections.
   */
  Endpoint address;
  /** @brief Maximum number of concurrent requests. */
  core::Slots slots;
  /** @brief Maximum number of open connections. */
  core::Connections connections;
};

}  // namespace crocusmast::fleet

#endif  // CROCUSMAST_FLEET_INSTANCE_RECORD_H_
