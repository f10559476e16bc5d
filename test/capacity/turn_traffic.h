#ifndef TEST_CAPACITY_TURN_TRAFFIC_H_
#define TEST_CAPACITY_TURN_TRAFFIC_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace test {

/** @brief Cores of a machine of the model. */
constexpr double kMachineCores = 16;

/** @brief A pool and its jobs. */
struct PoolTraffic {
  std::size_t machines = 0;
  /** @brief Mean over the turns of all pools. */
  double jobs_per_second = 0;
  double mean_steps = 0;
  /** @brief Cores of one of the eight tasks that a step has on average. */
  double mean_cores = 0;
  double mean_run_seconds = 0;
  /** @brief Standard deviation of the logarithm of estimated to actual run
   * times. */
  double estimate_error = 0;
};

/** @brief The traffic of a fleet. */
struct TurnTrafficSettings {
  std::vector<PoolTraffic> pools;
  /** @brief Demand of a pool in its turn, in multiples of the mean. */
  double turn_factor = 4;
};

/** @brief A job of the model: steps of tasks that are alike. */
struct TurnJob {
  std::size_t pool = 0;
  double arrival = 0;
  std::size_t steps = 0;
  std::size_t width = 0;
  double cores = 0;
  double run_seconds = 0;
  double estimate_seconds = 0;
  std::size_t step = 0;
  std::size_t ready = 0;
  std::size_t running = 0;
  bool is_started = false;

  /** @brief Returns the time in which the job should end, in seconds.
   * @param step_seconds Run time of the tasks of a step. */
  double ObjectiveFor(double step_seconds) const {
    constexpr double kSlackSeconds = 0.6;
    constexpr double kSlackFactor = 1.6;
    return kSlackSeconds +
           kSlackFactor * static_cast<double>(steps) * step_seconds;
  }
};
/**
 * @brief Draws jobs of pools that have their turns one after the other.
 *
 * In its turn a pool is asked for a multiple of its mean demand, and for a
 * twentieth of it otherwise.
 */
class TurnTraffic {
 public:
  TurnTraffic(unsigned seed, TurnTrafficSettings settings)
      : m_random(seed), m_settings(std::move(settings)) {}

  /**
   * @brief Draws the jobs that arrive in an interval.
   * @param now Begin of the interval, in seconds.
   * @param interval Its length in seconds.
   */
  std::vector<TurnJob> Arrivals(double now, double interval) {
    std::vector<TurnJob> jobs;
    const auto turn = static_cast<std::size_t>(now / kTurnSeconds);
    for (std::size_t pool = 0; pool < m_settings.pools.size(); ++pool) {
      const bool has_turn = turn % m_settings.pools.size() == pool;
      const double rate = m_settings.pools[pool].jobs_per_second *
                          (has_turn ? m_settings.turn_factor : kRestFactor);
      std::size_t arrivals =
          now < kTrafficSeconds ? Poisson(rate * interval) : 0;
      for (; arrivals > 0; --arrivals) {
        jobs.push_back(DrawJob(pool, now));
      }
    }
    return jobs;
  }

  /** @brief Draws the run time of a task of a job, in seconds. */
  double DrawRunSeconds(const TurnJob& job) {
    return job.run_seconds * Uniform(0.85, 1.15);
  }

 private:
  static constexpr double kTurnSeconds = 5;
  static constexpr double kRestFactor = 0.05;
  static constexpr double kTrafficSeconds = 41;

  double Uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(m_random);
  }
  std::size_t Poisson(double mean) {
    return std::poisson_distribution<std::size_t>(mean)(m_random);
  }
  /** @brief Draws a positive figure with a given mean and relative spread. */
  double Draw(double mean, double spread) {
    return std::lognormal_distribution<double>(
        std::log(mean) - spread * spread / 2, spread)(m_random);
  }

  TurnJob DrawJob(std::size_t pool, double now) {
    constexpr double kMeanWidth = 8;
    const PoolTraffic& traffic = m_settings.pools[pool];
    TurnJob job;
    job.pool = pool;
    job.arrival = now;
    const double whole = std::floor(traffic.mean_steps);
    job.steps = static_cast<std::size_t>(whole) +
                (Uniform(0, 1) < traffic.mean_steps - whole ? 1 : 0);
    job.width = std::clamp<std::size_t>(
        static_cast<std::size_t>(Draw(kMeanWidth, 0.6)), 1, 32);
    job.cores = std::min(kMachineCores, Draw(traffic.mean_cores, 0.45));
    job.run_seconds = Draw(traffic.mean_run_seconds, 0.5);
    job.estimate_seconds =
        job.run_seconds *
        std::exp(traffic.estimate_error *
                 std::normal_distribution<double>(0, 1)(m_random));
    job.ready = job.width;
    return job;
  }

  std::mt19937 m_random;
  const TurnTrafficSettings m_settings;
};

}  // namespace test

#endif  // TEST_CAPACITY_TURN_TRAFFIC_H_
