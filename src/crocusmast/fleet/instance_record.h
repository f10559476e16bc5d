#ifndef CROCUSMAST_FLEET_INSTANCE_RECORD_H_
#define CROCUSMAST_FLEET_INSTANCE_RECORD_H_

#include <cstdint>
#include <string>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::fleet {

/** @brief An address and port of TCP. */
struct Endpoint {
  /** @brief The IP address as text. */
  std::string host;
  /** @brief The port; zero for none. */
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& left, const Endpoint& right) {
    return left.host == right.host && left.port == right.port;
  }
};

/** @brief What an instance is for. */
enum class Role { kEntry, kTarget };

/** @brief What the membership list says of an instance. */
enum class InstanceState { kLive, kLeaving };

/** @brief An instance as the membership list describes it. */
struct InstanceRecord {
  /** @brief The instance. */
  core::InstanceId id;
  /** @brief Entry instance or target. */
  Role role = Role::kTarget;
  /** @brief Live or leaving. */
  InstanceState state = InstanceState::kLive;
  /** @brief Rises when the instance is replaced under its address. */
  core::Incarnation incarnation;
  /** @brief The region. */
  core::RegionId region;
  /** @brief The availability zone. */
  core::ZoneId zone;
  /** @brief The rack. */
  core::RackId rack;
  /** @brief The pool; empty for an entry instance. */
  core::PoolId pool;
  /** @brief Where a target takes requests, or an entry instance peer links. */
  Endpoint address;
  /** @brief The most requests at the same time. */
  core::Slots slots;
  /** @brief The most open connections. */
  core::Connections connections;
};

}  // namespace crocusmast::fleet

#endif  // CROCUSMAST_FLEET_INSTANCE_RECORD_H_
