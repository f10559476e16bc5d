#ifndef CROCUSMAST_ADAPTERS_PLATFORM_CLIENT_H_
#define CROCUSMAST_ADAPTERS_PLATFORM_CLIENT_H_

#include <memory>
#include <string>

#include "crocusmast/adapters/http_client.h"
#include "crocusmast/maintenance/platform_port.h"

namespace crocusmast::adapters {

/** @brief Drains and reboots instances through the HTTP API of the platform. */
class PlatformClient final : public maintenance::PlatformPort {
 public:
  /**
   * @brief Creates a client.
   * @param address Address of the platform API.
   */
  static std::unique_ptr<PlatformClient> Create(const fleet::Endpoint& address);

  core::Result<void> Drain(const core::InstanceId& instance,
                           core::Incarnation incarnation) override;
  core::Result<void> Reboot(const core::InstanceId& instance,
                            core::Incarnation incarnation) override;

 private:
  explicit PlatformClient(std::unique_ptr<HttpClient> http);

  core::Result<void> SendAction(const std::string& action,
                                const core::InstanceId& instance,
                                core::Incarnation incarnation);

  std::unique_ptr<HttpClient> m_http;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PLATFORM_CLIENT_H_
