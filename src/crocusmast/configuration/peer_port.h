#ifndef CROCUSMAST_CONFIGURATION_PEER_PORT_H_
#define CROCUSMAST_CONFIGURATION_PEER_PORT_H_

#include <vector>

#include "crocusmast/configuration/change.h"

namespace crocusmast::configuration {

/** @brief Exchanges revisions with other entry instances. */
class PeerPort {
 public:
  virtual ~PeerPort() = default;

  /**
   * @brief Sends a new change to every linked peer.
   * @param change The change.
   */
  virtual void Announce(const Change& change) = 0;

  /**
   * @brief Asks a peer for what is newer than a revision.
   * @param peer The peer.
   * @param after The revision known here.
   */
  virtual void Pull(const core::InstanceId& peer, core::Revision after) = 0;

  /**
   * @brief Sends changes to one peer.
   * @param peer The peer.
   * @param changes The changes in order.
   */
  virtual void SendChanges(const core::InstanceId& peer,
                           const std::vector<Change>& changes) = 0;

  /**
   * @brief Sends the whole lists to one peer.
   * @param peer The peer.
   * @param snapshot The lists and their revision.
   */
  virtual void SendSnapshot(const core::InstanceId& peer,
                            const Snapshot& snapshot) = 0;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_PEER_PORT_H_
