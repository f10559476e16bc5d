#ifndef CROCUSMAST_ADAPTERS_ADMIN_SERVER_H_
#define CROCUSMAST_ADAPTERS_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "crocusmast/configuration/messages.h"
#include "crocusmast/core/error.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/maintenance/messages.h"
#include "crocusmast/routing/messages.h"

namespace crocusmast::adapters {

/** @brief Dependencies of an administration server; all must outlive it. */
struct AdminServerPorts {
  /** @brief Id of this instance. */
  core::InstanceId self;
  /** @brief Availability zone of this instance. */
  core::ZoneId zone;
  /** @brief Bearer token that operators must present. */
  std::string token;
  /** @brief Input ring of the configuration thread. */
  core::BoundedRing<configuration::Message>& configuration;
  /** @brief Input ring of the routing thread. */
  core::BoundedRing<routing::Message>& router;
  /** @brief Input ring of the maintenance thread. */
  core::BoundedRing<maintenance::Message>& maintenance;
  /** @brief Returns the metrics in text format. */
  std::function<std::string()> format_metrics;
  /** @brief Logger. */
  core::Logger& logger;
};

/** @brief Serves the administration API and the metrics over HTTP. */
class AdminServer {
 public:
  /**
   * @brief Creates a server and starts listening.
   * @param address Address to listen on.
   * @param ports Dependencies of the server.
   * @return The server, or an error if the address is not available.
   */
  static core::Result<std::unique_ptr<AdminServer>> Create(
      const fleet::Endpoint& address,
      AdminServerPorts ports);

  ~AdminServer();

  /** @brief Stops listening, closes all connections and joins all threads. */
  void Stop();

 private:
  struct State;

  explicit AdminServer(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_ADMIN_SERVER_H_
