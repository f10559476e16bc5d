#ifndef CROCUSMAST_MAINTENANCE_PEER_PORT_H_
#define CROCUSMAST_MAINTENANCE_PEER_PORT_H_

#include "crocusmast/core/ids.h"

namespace crocusmast::maintenance {

/** @brief Coordinates the drain of a target with all entry instances. */
class PeerPort {
 public:
  virtual ~PeerPort() = default;

  /**
   * @brief Notifies every entry instance, including this one, that a target is
   * leaving.
   * @param target Target that is leaving.
   */
  virtual void AnnounceLeaving(const core::InstanceId& target) = 0;

  /**
   * @brief Asks an entry instance whether it has requests in flight on a
   * target; the reply is IdleReplyReceived.
   * @param entry Entry instance to ask; may be this one.
   * @param target Target to ask about.
   */
  virtual void SendIdleQuery(const core::InstanceId& entry,
                             const core::InstanceId& target) = 0;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_PEER_PORT_H_
