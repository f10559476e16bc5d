#ifndef CROCUSMAST_ROUTING_TARGET_PORT_H_
#define CROCUSMAST_ROUTING_TARGET_PORT_H_

#include <string>

#include "crocusmast/core/clock.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/attempt_report.h"

namespace crocusmast::routing {

/** @brief Sends requests to targets. */
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  /**
   * @brief Sends a request once and waits for the response.
   *
   * The delivery status is kNotRun only if no byte of the request can have
   * reached the target, or if the target said that it did not run it.
   *
   * @param target The target.
   * @param address Address for requests to the target.
   * @param spec The request's properties.
   * @param body The request body.
   * @param wait The time-out.
   * @return The answer, or how the attempt failed.
   */
  virtual AttemptResult Send(const core::InstanceId& target,
                             const fleet::Endpoint& address,
                             const request::RequestSpec& spec,
                             const std::string& body,
                             core::Duration wait) = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_TARGET_PORT_H_
