#ifndef CROCUSMAST_ADAPTERS_PEER_MESSENGER_H_
#define CROCUSMAST_ADAPTERS_PEER_MESSENGER_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "crocusmast/adapters/call_table.h"
#include "crocusmast/adapters/peer_message.h"
#include "crocusmast/adapters/peer_transport.h"
#include "crocusmast/configuration/messages.h"
#include "crocusmast/configuration/peer_port.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/message_thread.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/maintenance/messages.h"
#include "crocusmast/maintenance/peer_port.h"
#include "crocusmast/membership/messages.h"
#include "crocusmast/routing/messages.h"

namespace crocusmast::adapters {

/** @brief A message to send to peers. */
struct OutgoingMessage {
  /** @brief Receivers; empty for a broadcast to all connected peers. */
  std::vector<core::InstanceId> peers;
  /** @brief The message. */
  PeerMessage message;
};

/** @brief A request that a peer forwarded to this instance. */
struct ForwardedRequest {
  /** @brief Peer that waits for the reply. */
  core::InstanceId peer;
  /** @brief The request; its deadline is a time of this instance's clock. */
  ForwardMessage request;
};

/** @brief Dependencies of a peer messenger; all must outlive it. */
struct PeerMessengerPorts {
  /** @brief Input ring of the routing thread. */
  core::BoundedRing<routing::Message>& router;
  /** @brief Input ring of the configuration thread. */
  core::BoundedRing<configuration::Message>& configuration;
  /** @brief Input ring of the membership thread. */
  core::BoundedRing<membership::Message>& membership;
  /** @brief Input ring of the maintenance thread. */
  core::BoundedRing<maintenance::Message>& maintenance;
  /** @brief Input ring of the threads that serve forwarded requests. */
  core::BoundedRing<ForwardedRequest>& forwarded;
  /** @brief Input ring of the sender thread. */
  core::BoundedRing<OutgoingMessage>& outgoing;
  /** @brief Logger. */
  core::Logger& logger;
  /** @brief Metrics. */
  core::Meter& meter;
  /** @brief Clock. */
  const core::Clock& clock;
};

/**
 * @brief Exchanges messages with the other entry instances.
 *
 * As the handler of the sender thread, sends the queued messages. Incoming
 * messages are decoded on the I/O thread of the transport and pushed to the
 * rings of the other threads.
 */
class PeerMessenger final : public core::MessageHandler<OutgoingMessage>,
                            public TransportListener,
                            public routing::PeerClient,
                            public routing::PeerNotifier,
                            public configuration::PeerPort,
                            public maintenance::PeerPort {
 public:
  /**
   * @brief Creates a messenger that is not started.
   * @param self Id of this instance.
   * @param ports Dependencies of the messenger.
   */
  PeerMessenger(core::InstanceId self, PeerMessengerPorts ports);

  /**
   * @brief Starts listening for links from peers.
   * @param settings Settings of the transport.
   * @return An error if the address is not available.
   */
  core::Result<void> Start(TransportSettings settings);

  /** @brief Closes the links to all peers. */
  void Stop();

  /**
   * @brief Sets the peers to stay connected to.
   * @param peers The peers.
   */
  void SetPeers(std::vector<membership::PeerAddress> peers);

  /**
   * @brief Sets the revision that is reported to peers.
   * @param revision The active configuration revision.
   */
  void SetRevision(core::Revision revision);

  /**
   * @brief Replies to a request that a peer forwarded.
   *
   * Sends on the calling thread; a reply that cannot be sent is dropped.
   * @param peer The peer.
   * @param reply The reply.
   */
  void SendForwardReply(const core::InstanceId& peer,
                        ForwardReplyMessage reply);

  // core::MessageHandler
  void Handle(OutgoingMessage&& message) override;
  void Tick() override;

  // TransportListener
  std::string OnOpen() override;
  core::Result<core::InstanceId> OnHello(std::string_view bytes) override;
  void OnConnected(const core::InstanceId& peer) override;
  void OnDisconnected(const core::InstanceId& peer) override;
  bool OnMessage(const core::InstanceId& peer, std::string_view bytes) override;

  // routing::PeerClient
  routing::AttemptResult Forward(const core::InstanceId& peer,
                                 const request::RequestSpec& spec,
                                 const std::string& body,
                                 core::Duration wait) override;
  std::optional<request::ClaimOutcome> Claim(const core::InstanceId& peer,
                                             const core::RequestId& id,
                                             const request::ClaimToken& token,
                                             core::Duration wait) override;

  // routing::PeerNotifier
  void SendFreeSlots(
      const std::vector<core::InstanceId>& peers,
      const std::vector<routing::PoolFreeSlots>& free_slots) override;
  void SendQuotaDemand(const core::InstanceId& lender,
                       const routing::QuotaDemand& demand) override;
  void SendQuotaGrant(const routing::OutgoingGrant& grant) override;
  void SendTargetRelease(const std::vector<core::InstanceId>& peers,
                         const routing::ReleasedTarget& released) override;
  void SendClaimReply(const core::InstanceId& peer,
                      routing::CallNumber call,
                      request::ClaimOutcome outcome) override;
  void SendClaimRelease(const core::InstanceId& replica,
                        const core::RequestId& id,
                        const request::ClaimToken& token) override;
  void SendIdleReply(const core::InstanceId& peer,
                     const core::InstanceId& target,
                     bool is_idle) override;

  // maintenance::PeerPort
  void AnnounceLeaving(const core::InstanceId& target) override;
  void SendIdleQuery(const core::InstanceId& entry,
                     const core::InstanceId& target) override;

  // configuration::PeerPort
  void BroadcastChange(const configuration::Change& change) override;
  void RequestChanges(const core::InstanceId& peer,
                      core::Revision after) override;
  void SendChanges(const core::InstanceId& peer,
                   const std::vector<configuration::Change>& changes) override;
  void SendSnapshot(const core::InstanceId& peer,
                    const configuration::Snapshot& snapshot) override;

 private:
  void Enqueue(std::vector<core::InstanceId> peers, PeerMessage message);
  bool SendNow(const core::InstanceId& peer, const PeerMessage& message);
  bool SendBytes(const core::InstanceId& peer,
                 const std::string& bytes,
                 bool is_control);
  void Reject(const core::InstanceId& peer, const core::Error& error);

  void Receive(const core::InstanceId& peer, std::monostate& message) {}
  void Receive(const core::InstanceId& peer, HelloMessage& message) {}
  void Receive(const core::InstanceId& peer, HeartbeatMessage& message);
  void Receive(const core::InstanceId& peer, FreeSlotsMessage& message);
  void Receive(const core::InstanceId& peer, QuotaDemandMessage& message);
  void Receive(const core::InstanceId& peer, QuotaGrantMessage& message);
  void Receive(const core::InstanceId& peer, ClaimMessage& message);
  void Receive(const core::InstanceId& peer, ClaimReplyMessage& message);
  void Receive(const core::InstanceId& peer, ClaimReleaseMessage& message);
  void Receive(const core::InstanceId& peer, ForwardMessage& message);
  void Receive(const core::InstanceId& peer, ForwardReplyMessage& message);
  void Receive(const core::InstanceId& peer, ChangesMessage& message);
  void Receive(const core::InstanceId& peer, ChangesRequestMessage& message);
  void Receive(const core::InstanceId& peer, SnapshotMessage& message);
  void Receive(const core::InstanceId& peer, InstanceLeavingMessage& message);
  void Receive(const core::InstanceId& peer, IdleQueryMessage& message);
  void Receive(const core::InstanceId& peer, IdleReplyMessage& message);
  void Receive(const core::InstanceId& peer, TargetReleaseMessage& message);

  const core::InstanceId m_self;
  PeerMessengerPorts m_ports;
  std::unique_ptr<PeerTransport> m_transport;
  CallTable<ForwardReplyMessage> m_forward_calls;
  CallTable<ClaimReplyMessage> m_claim_calls;
  std::atomic<std::uint64_t> m_revision{0};
  core::TimePoint m_next_heartbeat_at;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PEER_MESSENGER_H_
