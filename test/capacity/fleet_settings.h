#ifndef TEST_CAPACITY_FLEET_SETTINGS_H_
#define TEST_CAPACITY_FLEET_SETTINGS_H_

#include <cstddef>
#include <vector>

#include "test/capacity/turn_traffic.h"

namespace test {

/** @brief A fleet and what happens to it. */
struct FleetSettings {
  TurnTrafficSettings traffic;
  /** @brief Machines that are off at the beginning. */
  std::size_t standby_machines = 0;
  /** @brief Whether machines change their pools. */
  bool has_balancer = true;
  /** @brief When another leader begins, in seconds; ascending. */
  std::vector<double> leader_changes;
  /** @brief Whether leaders resign; otherwise they are lost. */
  bool are_changes_planned = false;
};

}  // namespace test

#endif  // TEST_CAPACITY_FLEET_SETTINGS_H_
