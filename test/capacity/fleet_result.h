#ifndef TEST_CAPACITY_FLEET_RESULT_H_
#define TEST_CAPACITY_FLEET_RESULT_H_

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <vector>

namespace test {

/** @brief How a fleet served its jobs. */
struct FleetResult {
  /** @brief Share of the jobs of each pool that ended in time. */
  std::vector<double> served;
  /** @brief Seconds of machines in pools that are not standby. */
  double machine_seconds = 0;
  double moves = 0;
  /** @brief Moves of machines that have run nothing since their last move. */
  double unused_moves = 0;

  /** @brief Adds a play that counts for a part of the mean. */
  void Add(const FleetResult& play, double weight) {
    served.resize(play.served.size());
    for (std::size_t pool = 0; pool < served.size(); ++pool) {
      served[pool] += play.served[pool] * weight;
    }
    machine_seconds += play.machine_seconds * weight;
    moves += play.moves * weight;
    unused_moves += play.unused_moves * weight;
  }

  double LeastServed() const {
    return *std::min_element(served.begin(), served.end());
  }

  friend std::ostream& operator<<(std::ostream& out,
                                  const FleetResult& result) {
    out << "served";
    for (const double share : result.served) {
      out << ' ' << share;
    }
    return out << ", machine seconds " << result.machine_seconds << ", moves "
               << result.moves << ", unused moves " << result.unused_moves;
  }
};

}  // namespace test

#endif  // TEST_CAPACITY_FLEET_RESULT_H_
