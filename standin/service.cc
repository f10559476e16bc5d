#include "standin/service.h"

#include <sys/socket.h>

#include <chrono>
#include <stdexcept>

namespace standin {

void ConfigureServer(httplib::Server& server, std::size_t threads) {
  constexpr std::size_t kRequestsPerConnection = 100000000;
  constexpr std::chrono::seconds kIdleTimeout{120};
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_keep_alive_max_count(kRequestsPerConnection);
  server.set_keep_alive_timeout(kIdleTimeout.count());
  server.set_tcp_nodelay(true);
  server.set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  });
}

void Serve(httplib::Server& server, const ListenSettings& listen) {
  ConfigureServer(server, listen.threads);
  if (!server.listen(listen.host, listen.port)) {
    throw std::runtime_error("cannot listen on " + listen.host + ":" +
                             std::to_string(listen.port));
  }
}

long IntegerParameter(const httplib::Request& request,
                      const char* name,
                      long fallback) {
  if (!request.has_param(name)) {
    return fallback;
  }
  try {
    return std::stol(request.get_param_value(name));
  } catch (const std::exception&) {
    return fallback;
  }
}

}  // namespace standin
