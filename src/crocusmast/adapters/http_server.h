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

/** @brief Resource limits of a server. */
struct HttpServerLimits {
  /** @brief Connections served concurrently, each by one thread. */
  std::size_t threads = 0;
  /** @brief Size limit of a request body, in bytes. */
  std::size_t body_bytes = 0;
};

/**
 * @brief Returns whether the calling thread serves connections beyond the limit
 * of the server.
 *
 * Handlers on such a thread refuse requests immediately.
 */
bool IsOverflowThread();

/**
 * @brief Returns whether most threads of the calling thread's server are busy.
 *
 * Responses then ask clients to close the connection, so that idle connections
 * do not occupy threads.
 */
bool IsNearThreadLimit();

/** @brief HTTP server with a bounded number of threads. */
class HttpServer {
 public:
  /**
   * @brief Creates a server that does not listen yet.
   * @param limits Resource limits.
   */
  explicit HttpServer(HttpServerLimits limits);

  ~HttpServer();

  /** @brief Returns the underlying server, to register handlers on. */
  httplib::Server& Routes() { return m_server; }

  /**
   * @brief Starts listening and serves requests on internal threads.
   * @param address Address to listen on.
   * @return An error if the address is not available.
   */
  core::Result<void> Start(const fleet::Endpoint& address);

  /** @brief Stops listening, closes all connections and joins all threads. */
  void Stop();

 private:
  httplib::Server m_server;
  std::thread m_thread;
};

}  // namespace crocusmast::adapters::internal

#endif  // CROCUSMAST_ADAPTERS_HTTP_SERVER_H_
