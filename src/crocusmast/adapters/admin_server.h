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

/** @brief What an administration server works with; all outlive it. */
struct AdminServerPorts {
  /** @brief This instance. */
  core::InstanceId self;
  /** @brief Its availability zone. */
  core::ZoneId zone;
  /** @brief The token that operators show. */
  std::string token;
  /** @brief Feeds the configuration duty. */
  core::BoundedRing<configuration::Message>& configuration;
  /** @brief Feeds the routing duty. */
  core::BoundedRing<routing::Message>& router;
  /** @brief Feeds the maintenance duty. */
  core::BoundedRing<maintenance::Message>& maintenance;
  /** @brief Writes the metrics. */
  std::function<std::string()> format_metrics;
  /** @brief The log. */
  core::Logger& logger;
};

/** @brief Serves the administration API and the metrics over HTTP. */
class AdminServer {
 public:
  /**
   * @brief Listens.
   * @param address The address.
   * @param ports The ports.
   * @return The server, or an error if the address is not free.
   */
  static core::Result<std::unique_ptr<AdminServer>> Create(
      const fleet::Endpoint& address,
      AdminServerPorts ports);

  ~AdminServer();

  /** @brief Ends all connections. */
  void Stop();

 private:
  struct State;

  explicit AdminServer(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_ADMIN_SERVER_H_
