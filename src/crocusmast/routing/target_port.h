#ifndef CROCUSMAST_ROUTING_TARGET_PORT_H_
#define CROCUSMAST_ROUTING_TARGET_PORT_H_

#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/send_report.h"

namespace crocusmast::routing {

/** @brief Sends requests to targets. */
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  /**
   * @brief Sends a request once and waits for the answer.
   *
   * It is reported as not run only if no byte of it can have reached the
   * target, or if the target said so.
   *
   * @param target The target.
   * @param address Where the target takes requests.
   * @param spec What the caller said.
   * @param body The body.
   * @param wait The longest wait.
   * @return The answer, or what is known of the attempt.
   */
  virtual SendResult Send(const core::InstanceId& target,
                          const fleet::Endpoint& address,
                          const request::RequestSpec& spec,
                          const std::string& body,
                          core::Duration wait) = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_TARGET_PORT_H_
