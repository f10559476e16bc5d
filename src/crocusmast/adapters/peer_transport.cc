#include "crocusmast/adapters/peer_transport.h"

#include <pthread.h>

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "crocusmast/adapters/peer_codec.h"

namespace crocusmast::adapters {
namespace internal {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::chrono::milliseconds kReceiveTimeout{2500};
constexpr std::chrono::milliseconds kReconnectInterval{500};
constexpr std::size_t kMaxBufferedBytes = std::size_t{8} * 1024 * 1024;
constexpr long kHandshakeTimeoutMs = 1000;

/** @brief One WebSocket connection to a peer, opened by either side. */
struct Link {
  Handle handle;
  bool is_outgoing = false;
  /** @brief Empty until the peer has identified itself. */
  core::InstanceId peer;
  SteadyTime last_received_at;
};

using Links = std::map<Handle, Link, std::owner_less<Handle>>;

}  // namespace internal

using internal::Handle;
using internal::Link;

/** @brief The WebSocket endpoints and the links. */
struct PeerTransport::State {
  State(TransportSettings transport_settings,
        TransportListener& transport_listener)
      : settings(std::move(transport_settings)), listener(transport_listener) {}

  core::Result<void> Listen();
  void Start();
  void Connect(const membership::PeerAddress& peer);
  void OnLinkOpened(const Handle& handle, bool is_outgoing);
  void OnLinkClosed(const Handle& handle);
  void OnBytesReceived(const Handle& handle, const std::string& bytes);
  bool Identify(const Handle& handle, const std::string& bytes);
  void Close(const Handle& handle, bool is_outgoing);
  bool SendOnLink(const Link& link, const std::string& bytes);
  bool IsAuthorized(const Handle& handle);

  template <typename Endpoint>
  void SetHandlers(Endpoint& endpoint, bool is_outgoing);

  TransportSettings settings;
  TransportListener& listener;
  websocketpp::lib::asio::io_service io;
  internal::Server server;
  internal::Client client;
  std::thread thread;
  mutable std::mutex mutex;
  internal::Links links;
  std::map<core::InstanceId, Handle> handle_by_peer;
  std::vector<membership::PeerAddress> peers;
  std::map<core::InstanceId, internal::SteadyTime> last_connect_at;
};

template <typename Endpoint>
void PeerTransport::State::SetHandlers(Endpoint& endpoint, bool is_outgoing) {
  using Message = typename Endpoint::message_ptr;
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&io);
  endpoint.set_max_message_size(kMaxPeerMessageBytes);
  endpoint.set_open_handshake_timeout(internal::kHandshakeTimeoutMs);
  endpoint.set_close_handshake_timeout(internal::kHandshakeTimeoutMs);
  endpoint.set_open_handler(
      [this, is_outgoing, &endpoint](const Handle& handle) {
        websocketpp::lib::error_code ignored;
        const auto connection = endpoint.get_con_from_hdl(handle, ignored);
        boost::system::error_code option_error;
        connection->get_raw_socket().set_option(
            boost::asio::ip::tcp::no_delay(true), option_error);
        OnLinkOpened(handle, is_outgoing);
      });
  endpoint.set_close_handler(
      [this](const Handle& handle) { OnLinkClosed(handle); });
  endpoint.set_message_handler(
      [this](const Handle& handle, const Message& message) {
        OnBytesReceived(handle, message->get_payload());
      });
}

core::Result<void> PeerTransport::State::Listen() {
  SetHandlers(server, false);
  SetHandlers(client, true);
  server.set_reuse_addr(true);
  server.set_validate_handler(
      [this](const Handle& handle) { return IsAuthorized(handle); });
  websocketpp::lib::error_code failed;
  server.listen(settings.listen.host, std::to_string(settings.listen.port),
                failed);
  if (!failed) {
    server.start_accept(failed);
  }
  if (failed) {
    return core::Fail(
        core::Operation::kListen,
        settings.listen.host + ":" + std::to_string(settings.listen.port),
        "peer links: " + failed.message());
  }
  return {};
}

void PeerTransport::State::Start() {
  client.start_perpetual();
  thread = std::thread([this] { io.run(); });
  pthread_setname_np(thread.native_handle(), "peer-links");
}

bool PeerTransport::State::IsAuthorized(const Handle& handle) {
  websocketpp::lib::error_code failed;
  const auto connection = server.get_con_from_hdl(handle, failed);
  if (failed) {
    return false;
  }
  const std::string authorization =
      connection->get_request_header("Authorization");
  if (authorization == "Bearer " + settings.token) {
    return true;
  }
  connection->set_status(websocketpp::http::status_code::unauthorized);
  return false;
}

void PeerTransport::State::Connect(const membership::PeerAddress& peer) {
  websocketpp::lib::error_code failed;
  const std::string uri = "ws://" + peer.address.host + ":" +
                          std::to_string(peer.address.port) + "/peer";
  const auto connection = client.get_connection(uri, failed);
  if (failed) {
    return;
  }
  connection->append_header("Authorization", "Bearer " + settings.token);
  client.connect(connection);
}

void PeerTransport::State::OnLinkOpened(const Handle& handle,
                                        bool is_outgoing) {
  const Link link{handle, is_outgoing, {}, std::chrono::steady_clock::now()};
  {
    const std::lock_guard<std::mutex> lock(mutex);
    links.emplace(handle, link);
  }
  SendOnLink(link, listener.OnOpen());
}

void PeerTransport::State::OnLinkClosed(const Handle& handle) {
  core::InstanceId closed_peer;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto link = links.find(handle);
    if (link == links.end()) {
      return;
    }
    const auto current = handle_by_peer.find(link->second.peer);
    const bool is_current = current != handle_by_peer.end() &&
                            !current->second.owner_before(handle) &&
                            !handle.owner_before(current->second);
    if (is_current) {
      closed_peer = link->second.peer;
      handle_by_peer.erase(current);
    }
    links.erase(link);
  }
  if (!closed_peer.IsEmpty()) {
    listener.OnDisconnected(closed_peer);
  }
}

void PeerTransport::State::OnBytesReceived(const Handle& handle,
                                           const std::string& bytes) {
  core::InstanceId peer;
  bool is_outgoing = false;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto link = links.find(handle);
    if (link == links.end()) {
      return;
    }
    link->second.last_received_at = std::chrono::steady_clock::now();
    peer = link->second.peer;
    is_outgoing = link->second.is_outgoing;
  }
  const bool is_valid = peer.IsEmpty() ? Identify(handle, bytes)
                                       : listener.OnMessage(peer, bytes);
  if (!is_valid) {
    Close(handle, is_outgoing);
  }
}

bool PeerTransport::State::Identify(const Handle& handle,
                                    const std::string& bytes) {
  const core::InstanceId peer =
      core::Handle([&] { return listener.OnHello(bytes); },
                   [](const core::Error&) { return core::InstanceId(); });
  if (peer.IsEmpty() || peer == settings.self) {
    return false;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex);
    if (!handle_by_peer.emplace(peer, handle).second) {
      return false;
    }
    links[handle].peer = peer;
  }
  listener.OnConnected(peer);
  return true;
}

void PeerTransport::State::Close(const Handle& handle, bool is_outgoing) {
  websocketpp::lib::error_code ignored;
  const auto status = websocketpp::close::status::policy_violation;
  if (is_outgoing) {
    client.close(handle, status, "", ignored);
  } else {
    server.close(handle, status, "", ignored);
  }
}

bool PeerTransport::State::SendOnLink(const Link& link,
                                      const std::string& bytes) {
  websocketpp::lib::error_code failed;
  const auto binary = websocketpp::frame::opcode::binary;
  if (link.is_outgoing) {
    const auto connection = client.get_con_from_hdl(link.handle, failed);
    if (failed ||
        connection->get_buffered_amount() > internal::kMaxBufferedBytes) {
      return false;
    }
    failed = connection->send(bytes, binary);
  } else {
    const auto connection = server.get_con_from_hdl(link.handle, failed);
    if (failed ||
        connection->get_buffered_amount() > internal::kMaxBufferedBytes) {
      return false;
    }
    failed = connection->send(bytes, binary);
  }
  return !failed;
}

core::Result<std::unique_ptr<PeerTransport>> PeerTransport::Create(
    TransportSettings settings,
    TransportListener& listener) {
  auto state = std::make_unique<State>(std::move(settings), listener);
  BOOST_LEAF_CHECK(state->Listen());
  state->Start();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(state)));
}

PeerTransport::PeerTransport(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

PeerTransport::~PeerTransport() {
  Stop();
}

void PeerTransport::Stop() {
  if (!m_state->thread.joinable()) {
    return;
  }
  m_state->io.stop();
  m_state->thread.join();
}

void PeerTransport::SetPeers(std::vector<membership::PeerAddress> peers) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  m_state->peers = std::move(peers);
}

bool PeerTransport::Send(const core::InstanceId& peer,
                         const std::string& bytes) {
  Link link;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    const auto found = m_state->handle_by_peer.find(peer);
    if (found == m_state->handle_by_peer.end()) {
      return false;
    }
    link = m_state->links[found->second];
  }
  return m_state->SendOnLink(link, bytes);
}

std::vector<core::InstanceId> PeerTransport::ConnectedPeers() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  std::vector<core::InstanceId> connected;
  connected.reserve(m_state->handle_by_peer.size());
  for (const auto& [peer, handle] : m_state->handle_by_peer) {
    connected.push_back(peer);
  }
  return connected;
}

void PeerTransport::RefreshLinks() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<membership::PeerAddress> to_connect;
  std::vector<Link> timed_out;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    for (const membership::PeerAddress& peer : m_state->peers) {
      internal::SteadyTime& last_connect_at = m_state->last_connect_at[peer.id];
      const bool is_initiator =
          m_state->settings.self < peer.id || peer.always_connects;
      if (is_initiator && m_state->handle_by_peer.count(peer.id) == 0 &&
          last_connect_at + internal::kReconnectInterval <= now) {
        last_connect_at = now;
        to_connect.push_back(peer);
      }
    }
    for (const auto& [handle, link] : m_state->links) {
      if (link.last_received_at + internal::kReceiveTimeout <= now) {
        timed_out.push_back(link);
      }
    }
  }
  for (const membership::PeerAddress& peer : to_connect) {
    boost::asio::post(m_state->io,
                      [state = m_state.get(), peer] { state->Connect(peer); });
  }
  for (const Link& link : timed_out) {
    m_state->OnLinkClosed(link.handle);
    m_state->Close(link.handle, link.is_outgoing);
  }
}

}  // namespace crocusmast::adapters
