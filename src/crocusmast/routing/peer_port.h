#ifndef CROCUSMAST_ROUTING_PEER_PORT_H_
#define CROCUSMAST_ROUTING_PEER_PORT_H_

#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/request/id_register.h"
#include "crocusmast/request/request_spec.h"
#include "crocusmast/routing/peer_loads.h"
#include "crocusmast/routing/send_report.h"
#include "crocusmast/routing/share_lender.h"
#include "crocusmast/routing/table.h"

namespace crocusmast::routing {

/** @brief Numbers a call over a peer link. */
using CallNumber = core::Quantity<struct CallNumberTag>;

/** @brief Calls other entry instances and waits for the answers. */
class PeerCalls {
 public:
  virtual ~PeerCalls() = default;

  /**
   * @brief Hands a request to a peer and waits for the answer.
   * @param peer The peer.
   * @param spec What the caller said.
   * @param body The body.
   * @param wait The longest wait.
   * @return The answer, or what is known of the attempt.
   */
  virtual SendResult Forward(const core::InstanceId& peer,
                             const request::RequestSpec& spec,
                             const std::string& body,
                             core::Duration wait) = 0;

  /**
   * @brief Claims a request id at a peer and waits for the answer.
   * @param peer The peer.
   * @param id The id.
   * @param token The claimant.
   * @param wait The longest wait.
   * @return The outcome, or nothing if the peer did not answer.
   */
  virtual std::optional<request::ClaimOutcome> Claim(
      const core::InstanceId& peer,
      const core::RequestId& id,
      const request::ClaimToken& token,
      core::Duration wait) = 0;
};

/** @brief Tells other entry instances something; never waits. */
class PeerNews {
 public:
  virtual ~PeerNews() = default;

  /**
   * @brief Tells peers about free slots.
   * @param peers The peers.
   * @param loads The pools where they changed.
   */
  virtual void SendLoads(const std::vector<core::InstanceId>& peers,
                         const std::vector<PoolLoad>& loads) = 0;

  /**
   * @brief Tells a lender what this instance occupies and wants.
   * @param lender The lender.
   * @param demand The news.
   */
  virtual void SendWant(const core::InstanceId& lender,
                        const ShareWant& demand) = 0;

  /**
   * @brief Tells a borrower its ceiling.
   * @param grant The grant and its borrower.
   */
  virtual void SendGrant(const AddressedGrant& grant) = 0;

  /**
   * @brief Tells peers that this instance has done with a target that another
   * owns now.
   * @param peers The peers.
   * @param released The target.
   */
  virtual void SendReleased(const std::vector<core::InstanceId>& peers,
                            const Released& released) = 0;

  /**
   * @brief Answers a claim.
   * @param peer The claimant's instance.
   * @param call The call to answer.
   * @param outcome The outcome.
   */
  virtual void SendClaimReply(const core::InstanceId& peer,
                              CallNumber call,
                              request::ClaimOutcome outcome) = 0;

  /**
   * @brief Answers whether this instance has done with a target.
   * @param peer Who asked; may be this instance.
   * @param target The target.
   * @param is_idle True if nothing is in flight there and nothing will be sent.
   */
  virtual void SendIdle(const core::InstanceId& peer,
                        const core::InstanceId& target,
                        bool is_idle) = 0;

  /**
   * @brief Gives a claimed id back.
   * @param replica The peer that holds the claim.
   * @param id The id.
   * @param token The claimant.
   */
  virtual void SendRelease(const core::InstanceId& replica,
                           const core::RequestId& id,
                           const request::ClaimToken& token) = 0;
};

}  // namespace crocusmast::routing

#endif  // CROCUSMAST_ROUTING_PEER_PORT_H_
