#ifndef CROCUSMAST_ADAPTERS_CALLER_SERVER_H_
#define CROCUSMAST_ADAPTERS_CALLER_SERVER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/routing/driver.h"

namespace crocusmast::adapters {

/** @brief The longest body of a caller's request, in bytes. */
inline constexpr std::size_t kMaxCallerBodyBytes = std::size_t{1024} * 1024;

/** @brief What a caller server works with; all outlive it. */
struct CallerServerPorts {
  /** @brief Serves the requests. */
  const routing::Driver& driver;
  /** @brief The time. */
  const core::Clock& clock;
  /** @brief Tells whether this instance can serve. */
  std::function<bool()> is_ready;
};

/** @brief Takes callers' requests and the balancer's checks over HTTP. */
class CallerServer {
 public:
  /**
   * @brief Listens.
   * @param address The address.
   * @param threads How many connections are served at the same time.
   * @param ports The ports.
   * @return The server, or an error if the address is not free.
   */
  static core::Result<std::unique_ptr<CallerServer>> Create(
      const fleet::Endpoint& address,
      std::size_t threads,
      CallerServerPorts ports);

  ~CallerServer();

  /** @brief Refuses new requests from now on. */
  void Drain();

  /** @brief Returns how many requests are being served. */
  std::size_t InFlight() const;

  /** @brief Ends all connections. */
  void Stop();

 private:
  struct State;

  explicit CallerServer(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CALLER_SERVER_H_
