#ifndef CROCUSMAST_ADAPTERS_PEER_TRANSPORT_H_
#define CROCUSMAST_ADAPTERS_PEER_TRANSPORT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/membership/roster_view.h"

namespace crocusmast::adapters {

/** @brief Takes what happens on peer links; called on the transport's thread.
 */
class TransportListener {
 public:
  virtual ~TransportListener() = default;
  /**
   * @brief A link was opened; the peer has not said who it is.
   * @return The first message to send on it.
   */
  virtual std::string OnOpen() = 0;
  /**
   * @brief Reads who the peer is from its first message.
   * @param bytes The message.
   * @return The peer, or an error that closes the link.
   */
  virtual core::Result<core::InstanceId> OnHello(std::string_view bytes) = 0;
  /**
   * @brief A link is up.
   * @param peer The peer.
   */
  virtual void OnUp(const core::InstanceId& peer) = 0;
  /**
   * @brief A link is down.
   * @param peer The peer.
   */
  virtual void OnDown(const core::InstanceId& peer) = 0;
  /**
   * @brief A message came.
   * @param peer The peer.
   * @param bytes The message.
   * @return False to close the link.
   */
  virtual bool OnMessage(const core::InstanceId& peer,
                         std::string_view bytes) = 0;
};

/** @brief What a transport needs to start. */
struct TransportSettings {
  /** @brief This instance. */
  core::InstanceId self;
  /** @brief Where it takes links. */
  fleet::Endpoint listen;
  /** @brief The token that every peer shows. */
  std::string token;
};

/**
 * @brief Keeps one websocket to each peer.
 *
 * Of two instances that name each other the one with the lesser id connects.
 * A link that stays silent is closed.
 */
class PeerTransport {
 public:
  /**
   * @brief Listens and starts the thread of the links.
   * @param settings The settings.
   * @param listener Takes what happens; outlives the transport.
   * @return The transport, or an error if the address is not free.
   */
  static core::Result<std::unique_ptr<PeerTransport>> Create(
      TransportSettings settings,
      TransportListener& listener);

  ~PeerTransport();

  /**
   * @brief Sets the peers to keep links to.
   * @param peers The peers.
   */
  void SetPeers(std::vector<membership::PeerAddress> peers);

  /**
   * @brief Sends a message.
   * @param peer The peer.
   * @param bytes The message.
   * @return False if there is no link, or too much waits to be sent on it.
   */
  bool Send(const core::InstanceId& peer, const std::string& bytes);

  /** @brief Lists the peers with a link that is up. */
  std::vector<core::InstanceId> Linked() const;

  /** @brief Connects to peers without a link and closes silent links. */
  void Maintain();

  /** @brief Closes all links and ends the thread. */
  void Stop();

 private:
  struct State;

  explicit PeerTransport(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_PEER_TRANSPORT_H_
