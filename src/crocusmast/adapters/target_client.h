#ifndef CROCUSMAST_ADAPTERS_TARGET_CLIENT_H_
#define CROCUSMAST_ADAPTERS_TARGET_CLIENT_H_

#include <memory>

#include "crocusmast/routing/target_port.h"

namespace crocusmast::adapters {

/**
 * @brief Sends requests to targets over HTTP with persistent connections.
 *
 * Never resends a request. A request counts as not run only if no connection
 * could be established, or if the target reports it.
 */
class TargetClient final : public routing::TargetPort {
 public:
  /** @brief Creates a client without connections. */
  static std::unique_ptr<TargetClient> Create();

  ~TargetClient() override;

  routing::AttemptResult Send(const core::InstanceId& target,
                              const fleet::Endpoint& address,
                              const request::RequestSpec& spec,
                              const std::string& body,
                              core::Duration wait) override;

 private:
  struct State;

  TargetClient();

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_TARGET_CLIENT_H_
