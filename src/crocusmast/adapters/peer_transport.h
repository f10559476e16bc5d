#ifndef CROCUSMAST_ADAPTERS_PEER_TRANSPORT_H_
#define CROCUSMAST_ADAPTERS_PEER_TRANSPORT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/membership/membership_view.h"

namespace crocusmast::adapters {

/**
 * @brief Receives the events of peer links.
 *
 * Called on the I/O thread, and by PeerTransport::RefreshLinks for a link that
 * timed out.
 */
class TransportListener {
 public:
  virtual ~TransportListener() = default;
  /**
   * @brief Called when a link is opened, before the peer has identified itself.
   * @return The first message to send on the link.
   */
  virtual std::string OnOpen() = 0;
  /**
   * @brief Identifies the peer from its first message.
   * @param bytes The message.
   * @return Id of the peer, or an error that closes the link.
   */
  virtual core::Result<core::InstanceId> OnHello(std::string_view bytes) = 0;
  /**
   * @brief Called when the peer of a link has been identified.
   * @param peer The peer.
   */
  virtual void OnConnected(const core::InstanceId& peer) = 0;
  /**
   * @brief Called when the link of an identified peer is closed.
   * @param peer The peer.
   */
  virtual void OnDisconnected(const core::InstanceId& peer) = 0;
  /**
   * @brief Called when a message is received.
   * @param peer The peer.
   * @param bytes The message.
   * @return False if the message is invalid, which closes the link.
   */
  virtual bool OnMessage(const core::InstanceId& peer,
                         std::string_view bytes) = 0;
};

/** @brief Settings of a transport. */
struct TransportSettings {
  /** @brief Id of this instance. */
  core::InstanceId self;
  /** @brief Address to listen on. */
  fleet::Endpoint listen;
  /** @brief Bearer token that peers present to each other. */
  std::string token;
};

/**
 * @brief Keeps one link, a WebSocket connection, to each peer.
 *
 * When two instances list each other as peers, the one with the lesser id
 * connects. A link on which nothing is received within a time-out is closed.
 */
class PeerTransport {
 public:
  /**
   * @brief Starts listening and starts the I/O thread.
   * @param settings The settings.
   * @param listener Receives events; must outlive the transport.
   * @return The transport, or an error if the address is not available.
   */
  static core::Result<std::unique_ptr<PeerTransport>> Create(
      TransportSettings settings,
      TransportListener& listener);

  ~PeerTransport();

  /**
   * @brief Sets the peers to stay connected to.
   * @param peers The peers.
   */
  void SetPeers(std::vector<membership::PeerAddress> peers);

  /**
   * @brief Sends a message.
   * @param peer The peer.
   * @param bytes The message.
   * @return False if there is no link, or its send buffer is full.
   */
  bool Send(const core::InstanceId& peer, const std::string& bytes);

  /** @brief Returns the identified peers with an open link. */
  std::vector<core::InstanceId> ConnectedPeers() const;

  /**
   * @brief Connects to peers without a link and closes links that timed out.
   *
   * Must be called periodically.
   */
  void RefreshLinks();

  /** @brief Closes all links and joins the I/O thread. */
  void Stop();

 private:
  struct State;

  explicit PeerTransport(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PEER_TRANSPORT_H_
