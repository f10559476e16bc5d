#ifndef CROCUSMAST_CONFIGURATION_PEER_PORT_H_
#define CROCUSMAST_CONFIGURATION_PEER_PORT_H_

#include <vector>

#include "crocusmast/configuration/change.h"

namespace crocusmast::configuration {

/** @brief Port for exchanging revisions with other entry instances. */
class PeerPort {
 public:
  virtual ~PeerPort() = default;

  /**
   * @brief Sends a new change to all connected peers.
   * @param change Change to send.
   */
  virtual void BroadcastChange(const Change& change) = 0;

  /**
   * @brief Requests the changes after a revision from a peer.
   * @param peer Peer to ask.
   * @param after Current revision of this instance.
   */
  virtual void RequestChanges(const core::InstanceId& peer,
                              core::Revision after) = 0;

  /**
   * @brief Sends changes to one peer.
   * @param peer Peer to send to.
   * @param changes Changes in order.
   */
  virtual void SendChanges(const core::InstanceId& peer,
                           const std::vector<Change>& changes) = 0;

  /**
   * @brief Sends a snapshot to one peer.
   * @param peer Peer to send to.
   * @param snapshot Snapshot to send.
   */
  virtual void SendSnapshot(const core::InstanceId& peer,
                            const Snapshot& snapshot) = 0;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_PEER_PORT_H_
