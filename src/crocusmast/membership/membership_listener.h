#ifndef CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LISTENER_H_
#define CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LISTENER_H_

#include <memory>
#include <vector>

#include "crocusmast/membership/membership_view.h"

namespace crocusmast::membership {

/** @brief Observes changes of the membership. */
class MembershipListener {
 public:
  virtual ~MembershipListener() = default;
  /**
   * @brief Called when there is a new membership view.
   * @param view The new view.
   */
  virtual void OnMembershipChanged(
      std::shared_ptr<const MembershipView> view) = 0;
  /**
   * @brief Called when the peers to keep links to may have changed.
   * @param peers All peers to keep links to.
   */
  virtual void OnPeersChanged(std::vector<PeerAddress> peers) = 0;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LISTENER_H_
