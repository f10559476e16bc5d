#ifndef CROCUSMAST_ROUTING_PEER_PORT_H_
#define CROCUSMAST_ROUTING_PEER_PORT_H_

#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/request/claim_registry.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/attempt_report.h"
#include "crocusmast/routing/peer_free_slots.h"
#include "crocusmast/routing/quota_lender.h"
#include "crocusmast/routing/target_table.h"

namespace crocusmast::routing {

/** @brief Identifies a call over a peer link. */
using CallNumber = core::Quantity<struct CallNumberTag>;

/** @brief Calls to other entry instances that wait for the response. */
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  /**
   * @brief Forwards a request to a peer and waits for the answer.
   * @param peer The peer.
   * @param spec The request's properties.
   * @param body The request body.
   * @param wait The time-out.
   * @return The answer, or how the attempt failed.
   */
  virtual AttemptResult Forward(const core::InstanceId& peer,
                                const request::RequestSpec& spec,
                                const std::string& body,
                                core::Duration wait) = 0;

  /**
   * @brief Claims a request id at a peer and waits for the outcome.
   * @param peer The peer.
   * @param id The request id.
   * @param token The claimant.
   * @param wait The time-out.
   * @return The outcome, or nothing if the peer did not answer.
   */
  virtual std::optional<request::ClaimOutcome> Claim(
      const core::InstanceId& peer,
      const core::RequestId& id,
      const request::ClaimToken& token,
      core::Duration wait) = 0;
};

/** @brief One-way messages to other entry instances; never blocks. */
class PeerNotifier {
 public:
  virtual ~PeerNotifier() = default;

  /**
   * @brief Reports free slots to peers.
   * @param peers The peers.
   * @param free_slots The pools whose free slots changed.
   */
  virtual void SendFreeSlots(const std::vector<core::InstanceId>& peers,
                             const std::vector<PoolFreeSlots>& free_slots) = 0;

  /**
   * @brief Reports to a lender the slots that this instance occupies and wants.
   * @param lender The lender.
   * @param demand The demand.
   */
  virtual void SendQuotaDemand(const core::InstanceId& lender,
                               const QuotaDemand& demand) = 0;

  /**
   * @brief Sends a borrower its ceiling.
   * @param grant The grant and its borrower.
   */
  virtual void SendQuotaGrant(const OutgoingGrant& grant) = 0;

  /**
   * @brief Tells peers that this instance no longer uses a target that another
   * instance owns now.
   * @param peers The peers.
   * @param released The target and its incarnation.
   */
  virtual void SendTargetRelease(const std::vector<core::InstanceId>& peers,
                                 const ReleasedTarget& released) = 0;

  /**
   * @brief Answers a claim on a request id.
   * @param peer The claimant's instance.
   * @param call The call to answer.
   * @param outcome The outcome of the claim.
   */
  virtual void SendClaimReply(const core::InstanceId& peer,
                              CallNumber call,
                              request::ClaimOutcome outcome) = 0;

  /**
   * @brief Answers whether a target is idle on this instance.
   * @param peer The instance that asked; may be this one.
   * @param target The target.
   * @param is_idle True if no request is in flight to the target and none will
   * be sent.
   */
  virtual void SendIdleReply(const core::InstanceId& peer,
                             const core::InstanceId& target,
                             bool is_idle) = 0;

  /**
   * @brief Releases a claim on a request id.
   * @param replica The peer that stores the claim.
   * @param id The request id.
   * @param token The claimant.
   */
  virtual void SendClaimRelease(const core::InstanceId& replica,
                                const core::RequestId& id,
                                const request::ClaimToken& token) = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PEER_PORT_H_
