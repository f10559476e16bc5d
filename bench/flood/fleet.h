#ifndef BENCH_FLOOD_FLEET_H_
#define BENCH_FLOOD_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/flood/events.h"
#include "bench/flood/workload.h"
#include "crocusmast/request/outcome.h"
#include "crocusmast/request/request_spec.h"

namespace bench::flood {

/** @brief A request as its caller made it. */
struct Request {
  /** @brief What the caller said. */
  crocusmast::request::RequestSpec spec;
  /** @brief The pool. */
  std::string pool;
  /** @brief Takes the outcome. */
  std::function<void(crocusmast::request::Outcome)> done;
  /** @brief Called when a target begins to run it. */
  std::function<void()> started;
};

/**
 * @brief The targets: each with slots, and a queue of its own behind them.
 *
 * Crocusmast never fills the queue; the naive policy does.
 */
class Targets {
 public:
  /** @brief The most requests of a target, running or in its queue. */
  static constexpr std::size_t kConnections = 64;
  /** @brief The most requests that run on a target. */
  static constexpr std::size_t kSlots = 8;

  /**
   * @brief Makes idle targets.
   * @param workload The pools.
   * @param events The clock.
   * @param seed The seed of the service times.
   */
  Targets(const Workload& workload, Events& events, std::uint64_t seed);

  /**
   * @brief Sends a request to a target.
   * @param target The target's name.
   * @param request The request.
   * @param finished Called when it has run.
   * @return False if the target takes no more connections.
   */
  bool Send(const std::string& target,
            const Request& request,
            std::function<void()> finished);

  /**
   * @brief Returns the requests running in a pool.
   * @param pool The pool.
   */
  std::size_t Running(const std::string& pool) const;

  /** @brief Returns how many requests ran in all. */
  std::uint64_t Runs() const { return m_runs; }

 private:
  /** @brief A request at a target. */
  struct Job {
    Request request;
    std::function<void()> finished;
  };

  /** @brief One target. */
  struct Target {
    std::size_t running = 0;
    std::vector<Job> queue;
  };

  void Start(const std::string& name, Target& target, const Job& job);

  Events& m_events;
  std::mt19937_64 m_random;
  std::map<std::string, double> m_service_ms;
  std::map<std::string, Target> m_targets;
  std::map<std::string, std::size_t> m_running;
  std::uint64_t m_runs = 0;
};

/** @brief A policy that serves requests with the targets. */
class Policy {
 public:
  virtual ~Policy() = default;
  /**
   * @brief Takes a request from the balancer.
   * @param request The request.
   */
  virtual void Arrive(Request request) = 0;
  /**
   * @brief Returns the requests that wait for a pool before any target.
   * @param pool The pool.
   */
  virtual std::size_t Waiting(const std::string& pool) const = 0;
};

/**
 * @brief Makes crocusmast's policy: its routers with fakes at their ports.
 * @param workload The deployment.
 * @param entries How many entry instances.
 * @param events The clock.
 * @param targets The targets.
 */
std::unique_ptr<Policy> MakeCrocusmast(const Workload& workload,
                                       std::size_t entries,
                                       Events& events,
                                       Targets& targets);

/**
 * @brief Makes the naive policy: each instance sends at once to the target
 * with the fewest of its own connections, and tries three others blindly.
 * @param workload The deployment.
 * @param entries How many entry instances.
 * @param events The clock.
 * @param targets The targets.
 */
std::unique_ptr<Policy> MakeNaive(const Workload& workload,
                                  std::size_t entries,
                                  Events& events,
                                  Targets& targets);

}  // namespace bench::flood

#endif  // BENCH_FLOOD_FLEET_H_
