#ifndef STANDIN_SERVICE_H_
#define STANDIN_SERVICE_H_

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace standin {

/** @brief Where a stand-in listens. */
struct Listen {
  /** @brief The IP address. */
  std::string host = "127.0.0.1";
  /** @brief The port. */
  std::uint16_t port = 0;
  /** @brief Connections served at the same time. */
  std::size_t threads = 32;
};

/**
 * @brief Sets a server up for many kept connections.
 * @param server The server.
 * @param threads Connections served at the same time.
 */
void Prepare(httplib::Server& server, std::size_t threads);

/**
 * @brief Listens until the process ends; throws if the port is in use.
 * @param server The server.
 * @param listen Where.
 */
void Serve(httplib::Server& server, const Listen& listen);

/**
 * @brief Reads a whole number from a request's query.
 * @param request The request.
 * @param name The parameter.
 * @param fallback The value if it is missing or no number.
 */
long NumberOf(const httplib::Request& request, const char* name, long fallback);

}  // namespace standin

#endif  // STANDIN_SERVICE_H_
