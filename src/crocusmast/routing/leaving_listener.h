#ifndef CROCUSMAST_ROUTING_LEAVING_LISTENER_H_
#define CROCUSMAST_ROUTING_LEAVING_LISTENER_H_

#include "crocusmast/core/ids.h"

namespace crocusmast::routing {

/** @brief Learns which targets said that they leave. */
class LeavingListener {
 public:
  virtual ~LeavingListener() = default;
  /**
   * @brief Takes in that a target said it leaves.
   * @param target The target.
   */
  virtual void TargetLeaves(const core::InstanceId& target) = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_LEAVING_LISTENER_H_
