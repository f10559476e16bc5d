#ifndef CROCUSMAST_ROUTING_TARGET_LEAVING_LISTENER_H_
#define CROCUSMAST_ROUTING_TARGET_LEAVING_LISTENER_H_

#include "crocusmast/core/ids.h"

namespace crocusmast::routing {

/** @brief Observes which targets announce that they are leaving. */
class TargetLeavingListener {
 public:
  virtual ~TargetLeavingListener() = default;
  /**
   * @brief Called when a target has announced that it is leaving.
   * @param target The target.
   */
  virtual void OnTargetLeaving(const core::InstanceId& target) = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_TARGET_LEAVING_LISTENER_H_
