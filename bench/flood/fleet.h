#ifndef BENCH_FLOOD_FLEET_H_
#define BENCH_FLOOD_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/flood/event_queue.h"
#include "bench/flood/workload.h"
#include "crocusmast/request/outcome.h"
#include "crocusmast/request/request_spec.h"

namespace bench::flood {

/** @brief A simulated request. */
struct Request {
  /** @brief The caller's parameters. */
  crocusmast::request::RequestSpec spec;
  /** @brief The pool that serves it. */
  std::string pool;
  /** @brief Called with the outcome. */
  std::function<void(crocusmast::request::Outcome)> on_completed;
  /** @brief Called when a target starts to run it. */
  std::function<void()> on_started;
};

/**
 * @brief Simulates targets, each with slots and its own queue.
 *
 * Crocusmast's policy never lets a queue form; the naive policy does.
 */
class Targets {
 public:
  /** @brief The maximum number of requests of a target, running or queued. */
  static constexpr std::size_t kConnections = 64;
  /** @brief The maximum number of requests that run on a target. */
  static constexpr std::size_t kSlots = 8;

  /**
   * @brief Creates idle targets.
   * @param workload The pools.
   * @param events The event queue; must outlive the targets.
   * @param seed The seed of the service times.
   */
  Targets(const Workload& workload, EventQueue& events, std::uint64_t seed);

  /**
   * @brief Sends a request to a target.
   * @param name The target's name.
   * @param request The request.
   * @param on_finished Called when it has run.
   * @return False if the target accepts no more connections.
   */
  bool Send(const std::string& name,
            const Request& request,
            std::function<void()> on_finished);

  /**
   * @brief Returns the number of requests running in a pool.
   * @param pool The pool.
   */
  std::size_t Running(const std::string& pool) const;

  /** @brief Returns the number of runs started so far. */
  std::uint64_t RunCount() const { return m_runs; }

 private:
  /** @brief A request at a target. */
  struct QueuedRequest {
    Request request;
    std::function<void()> on_finished;
  };

  /** @brief One target. */
  struct Target {
    std::size_t running = 0;
    std::vector<QueuedRequest> queue;
  };

  void StartRun(const std::string& name,
                Target& target,
                const QueuedRequest& queued);

  EventQueue& m_events;
  std::mt19937_64 m_random;
  std::map<std::string, double> m_service_ms;
  std::map<std::string, Target> m_targets;
  std::map<std::string, std::size_t> m_running;
  std::uint64_t m_runs = 0;
};

/** @brief Distributes requests to targets. */
class Policy {
 public:
  virtual ~Policy() = default;
  /**
   * @brief Handles a request from the load balancer.
   * @param request The request.
   */
  virtual void HandleRequest(Request request) = 0;
  /**
   * @brief Returns the number of requests that wait for a target of a pool.
   * @param pool The pool.
   */
  virtual std::size_t CountWaiting(const std::string& pool) const = 0;
};

/**
 * @brief Creates crocusmast's policy: its routers with fakes at their ports.
 * @param workload The deployment.
 * @param entry_count The number of entry instances.
 * @param events The event queue; must outlive the policy.
 * @param targets The targets; must outlive the policy.
 */
std::unique_ptr<Policy> MakeCrocusmast(const Workload& workload,
                                       std::size_t entry_count,
                                       EventQueue& events,
                                       Targets& targets);

/**
 * @brief Creates the naive policy: each instance immediately sends to the
 * target with the fewest of its own connections, and retries up to three times.
 * @param workload The deployment.
 * @param entry_count The number of entry instances.
 * @param events The event queue; must outlive the policy.
 * @param targets The targets; must outlive the policy.
 */
std::unique_ptr<Policy> MakeNaive(const Workload& workload,
                                  std::size_t entry_count,
                                  EventQueue& events,
                                  Targets& targets);

}  // namespace bench::flood

#endif  // BENCH_FLOOD_FLEET_H_
