#include "crocusmast/adapters/platform_client.h"

#include <utility>

namespace crocusmast::adapters {

PlatformClient::PlatformClient(std::unique_ptr<HttpClient> http)
    : m_http(std::move(http)) {}

std::unique_ptr<PlatformClient> PlatformClient::Create(
    const fleet::Endpoint& address) {
  return std::unique_ptr<PlatformClient>(
      new PlatformClient(HttpClient::Create(address, "")));
}

core::Result<void> PlatformClient::Drain(const core::InstanceId& instance,
                                         core::Incarnation incarnation) {
  return SendAction("drain", instance, incarnation);
}

core::Result<void> PlatformClient::Reboot(const core::InstanceId& instance,
                                          core::Incarnation incarnation) {
  return SendAction("reboot", instance, incarnation);
}

core::Result<void> PlatformClient::SendAction(const std::string& action,
                                              const core::InstanceId& instance,
                                              core::Incarnation incarnation) {
  constexpr std::chrono::seconds kActionTimeout{2};
  constexpr int kOk = 200;
  const std::string path =
      "/" + action + "/" + instance.Text() +
      "?incarnation=" + std::to_string(incarnation.Count());
  BOOST_LEAF_AUTO(response, m_http->Put(path, "", kActionTimeout));
  if (response.status != kOk) {
    return core::Fail(
        core::Operation::kConnect, "platform",
        path + " responded with status " + std::to_string(response.status));
  }
  return {};
}

}  // namespace crocusmast::adapters
