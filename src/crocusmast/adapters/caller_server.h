#ifndef CROCUSMAST_ADAPTERS_CALLER_SERVER_H_
#define CROCUSMAST_ADAPTERS_CALLER_SERVER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/routing/request_executor.h"

namespace crocusmast::adapters {

/** @brief Size limit of a caller's request body, in bytes. */
inline constexpr std::size_t kMaxCallerBodyBytes = std::size_t{1024} * 1024;

/** @brief Dependencies of a caller server; all must outlive it. */
struct CallerServerPorts {
  /** @brief Executes the requests. */
  const routing::RequestExecutor& executor;
  /** @brief Clock. */
  const core::Clock& clock;
  /** @brief Returns whether this instance is ready to serve requests. */
  std::function<bool()> is_ready;
};

/**
 * @brief HTTP server for callers' requests and the load balancer's health
 * checks.
 */
class CallerServer {
 public:
  /**
   * @brief Creates a server and starts listening.
   * @param address Address to listen on.
   * @param threads Maximum number of connections served concurrently, each by
   * one thread.
   * @param ports Dependencies of the server.
   * @return The server, or an error if the address is not available.
   */
  static core::Result<std::unique_ptr<CallerServer>> Create(
      const fleet::Endpoint& address,
      std::size_t threads,
      CallerServerPorts ports);

  ~CallerServer();

  /** @brief Refuses new requests and reports this instance as not ready. */
  void Drain();

  /** @brief Returns the number of requests in progress. */
  std::size_t InFlight() const;

  /** @brief Stops listening, closes all connections and joins all threads. */
  void Stop();

 private:
  struct State;

  explicit CallerServer(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CALLER_SERVER_H_
