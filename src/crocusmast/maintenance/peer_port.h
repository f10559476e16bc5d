#ifndef CROCUSMAST_MAINTENANCE_PEER_PORT_H_
#define CROCUSMAST_MAINTENANCE_PEER_PORT_H_

#include "crocusmast/core/ids.h"

namespace crocusmast::maintenance {

/** @brief Speaks with all entry instances about a target that leaves. */
class PeerPort {
 public:
  virtual ~PeerPort() = default;

  /**
   * @brief Tells every entry instance, this one too, that a target leaves.
   * @param target The target.
   */
  virtual void TellLeaving(const core::InstanceId& target) = 0;

  /**
   * @brief Asks an entry instance what it has in flight on a target.
   * @param entry The entry instance; may be this one.
   * @param target The target.
   */
  virtual void AskIdle(const core::InstanceId& entry,
                       const core::InstanceId& target) = 0;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_PEER_PORT_H_
