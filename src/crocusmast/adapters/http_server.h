#ifndef CROCUSMAST_ADAPTERS_HTTP_SERVER_H_
#define CROCUSMAST_ADAPTERS_HTTP_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::adapters::internal {

/** @brief The bounds of a server. */
struct HttpServerLimits {
  /** @brief Connections served at the same time, each by a thread. */
  std::size_t threads = 0;
  /** @brief The longest body, in bytes. */
  std::size_t body_bytes = 0;
};

/**
 * @brief Tells whether this thread serves connections beyond the bound.
 *
 * Handlers on such a thread refuse at once.
 */
bool IsOverflowThread();

/**
 * @brief Tells whether most threads of this thread's server are taken.
 *
 * Answers then ask clients to close, so that idle connections free threads.
 */
bool IsCrowdedThread();

/** @brief Listens with a bounded number of threads. */
class HttpServer {
 public:
  /**
   * @brief Makes a server that does not listen yet.
   * @param limits The bounds.
   */
  explicit HttpServer(HttpServerLimits limits);

  ~HttpServer();

  /** @brief Returns the library's server, to add handlers to. */
  httplib::Server& Routes() { return m_server; }

  /**
   * @brief Listens and serves on threads of its own.
   * @param address The address.
   * @return An error if the address is not free.
   */
  core::Result<void> Start(const fleet::Endpoint& address);

  /** @brief Ends all connections and threads. */
  void Stop();

 private:
  httplib::Server m_server;
  std::thread m_thread;
};

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_HTTP_SERVER_H_
