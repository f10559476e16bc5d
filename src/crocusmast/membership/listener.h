#ifndef CROCUSMAST_MEMBERSHIP_LISTENER_H_
#define CROCUSMAST_MEMBERSHIP_LISTENER_H_

#include <memory>
#include <vector>

#include "crocusmast/membership/roster_view.h"

namespace crocusmast::membership {

/** @brief Tells the rest of the process what the roster says now. */
class Listener {
 public:
  virtual ~Listener() = default;
  /**
   * @brief Hands on a new view.
   * @param view The view.
   */
  virtual void RosterChanged(std::shared_ptr<const RosterView> view) = 0;
  /**
   * @brief Hands on the peers to keep links to.
   * @param peers The peers.
   */
  virtual void PeersChanged(std::vector<PeerAddress> peers) = 0;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_LISTENER_H_
