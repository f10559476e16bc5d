#ifndef STANDIN_SERVICE_H_
#define STANDIN_SERVICE_H_

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace standin {

/** @brief The listen settings of a simulated service. */
struct ListenSettings {
  /** @brief The IP address. */
  std::string host = "127.0.0.1";
  /** @brief The port. */
  std::uint16_t port = 0;
  /** @brief The maximum number of concurrent connections. */
  std::size_t threads = 32;
};

/**
 * @brief Configures a server for many persistent connections.
 * @param server The server.
 * @param threads The maximum number of concurrent connections.
 */
void ConfigureServer(httplib::Server& server, std::size_t threads);

/**
 * @brief Serves until the process ends; throws if the port is in use.
 * @param server The server.
 * @param listen The listen settings.
 */
void Serve(httplib::Server& server, const ListenSettings& listen);

/**
 * @brief Returns an integer parameter of a request's query.
 * @param request The request.
 * @param name The parameter's name.
 * @param fallback The value if the parameter is missing or not an integer.
 */
long IntegerParameter(const httplib::Request& request,
                      const char* name,
                      long fallback);

}  // namespace standin

#endif  // STANDIN_SERVICE_H_
