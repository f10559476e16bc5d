#include "crocusmast/adapters/peer_messenger.h"

#include <utility>

#include "crocusmast/adapters/peer_codec.h"

namespace crocusmast::adapters {
namespace internal {

constexpr std::chrono::milliseconds kHeartbeatInterval{1000};
constexpr int kMinServerErrorStatus = 500;

// Control traffic is all traffic but forwarded requests and the replies to
// them.
bool IsControl(const PeerMessage& message) {
  return !std::holds_alternative<ForwardMessage>(message) &&
         !std::holds_alternative<ForwardReplyMessage>(message);
}

routing::AttemptResult MakeNotRunResult(request::Reason reason) {
  routing::AttemptResult result;
  result.report.delivery = request::DeliveryStatus::kNotRun;
  result.reason = reason;
  return result;
}

routing::AttemptResult ToAttemptResult(ForwardReplyMessage reply) {
  routing::AttemptResult result;
  result.report.delivery = reply.delivery;
  result.report.is_failure =
      reply.delivery == request::DeliveryStatus::kAnswered &&
      reply.answer.status >= kMinServerErrorStatus;
  result.reason = reply.reason;
  result.answer = std::move(reply.answer);
  return result;
}

}  // namespace internal

PeerMessenger::PeerMessenger(core::InstanceId self, PeerMessengerPorts ports)
    : m_self(std::move(self)), m_ports(ports) {}

core::Result<void> PeerMessenger::Start(TransportSettings settings) {
  BOOST_LEAF_ASSIGN(m_transport,
                    PeerTransport::Create(std::move(settings), *this));
  return {};
}

void PeerMessenger::Stop() {
  if (m_transport != nullptr) {
    m_transport->Stop();
  }
}

void PeerMessenger::SetPeers(std::vector<membership::PeerAddress> peers) {
  m_transport->SetPeers(std::move(peers));
}

void PeerMessenger::SetRevision(core::Revision revision) {
  m_revision.store(revision.Count(), std::memory_order_relaxed);
}

void PeerMessenger::Enqueue(std::vector<core::InstanceId> peers,
                            PeerMessage message) {
  if (!m_ports.outgoing.TryPush(
          OutgoingMessage{std::move(peers), std::move(message)})) {
    m_ports.meter.Add(core::Counter::kPeerMessagesDropped, 1);
  }
}

void PeerMessenger::Handle(OutgoingMessage&& message) {
  const std::string bytes = EncodePeerMessage(message.message);
  const std::vector<core::InstanceId> peers =
      message.peers.empty() ? m_transport->ConnectedPeers()
                            : std::move(message.peers);
  for (const core::InstanceId& peer : peers) {
    SendBytes(peer, bytes, internal::IsControl(message.message));
  }
}

bool PeerMessenger::SendNow(const core::InstanceId& peer,
                            const PeerMessage& message) {
  return SendBytes(peer, EncodePeerMessage(message),
                   internal::IsControl(message));
}

bool PeerMessenger::SendBytes(const core::InstanceId& peer,
                              const std::string& bytes,
                              bool is_control) {
  if (!m_transport->Send(peer, bytes)) {
    m_ports.meter.Add(core::Counter::kPeerMessagesDropped, 1);
    return false;
  }
  m_ports.meter.Add(core::Counter::kPeerMessagesSent, 1);
  m_ports.meter.Add(core::Counter::kPeerBytesSent, bytes.size());
  if (is_control) {
    m_ports.meter.Add(core::Counter::kPeerControlBytesSent, bytes.size());
  }
  return true;
}

void PeerMessenger::Tick() {
  m_transport->RefreshLinks();
  const core::TimePoint now = m_ports.clock.Now();
  if (now < m_next_heartbeat_at) {
    return;
  }
  m_next_heartbeat_at = now + internal::kHeartbeatInterval;
  Handle(OutgoingMessage{{}, HeartbeatMessage{core::Revision(m_revision)}});
}

void PeerMessenger::AnnounceLeaving(const core::InstanceId& target) {
  m_ports.membership.TryPush(membership::InstanceLeaving{target});
  Enqueue({}, InstanceLeavingMessage{target});
}

void PeerMessenger::SendIdleQuery(const core::InstanceId& entry,
                                  const core::InstanceId& target) {
  if (entry == m_self) {
    m_ports.router.TryPush(routing::IdleQueryReceived{m_self, target});
  } else {
    Enqueue({entry}, IdleQueryMessage{target});
  }
}

void PeerMessenger::SendIdleReply(const core::InstanceId& peer,
                                  const core::InstanceId& target,
                                  bool is_idle) {
  if (peer == m_self) {
    m_ports.maintenance.TryPush(
        maintenance::IdleReplyReceived{m_self, target, is_idle});
  } else {
    Enqueue({peer}, IdleReplyMessage{target, is_idle});
  }
}

void PeerMessenger::SendForwardReply(const core::InstanceId& peer,
                                     ForwardReplyMessage reply) {
  SendNow(peer, std::move(reply));
}

routing::AttemptResult PeerMessenger::Forward(const core::InstanceId& peer,
                                              const request::RequestSpec& spec,
                                              const std::string& body,
                                              core::Duration wait) {
  const auto call = m_forward_calls.Open(peer);
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  const bool is_sent =
      SendNow(peer, ForwardMessage{call.number, spec, remaining, body});
  if (!is_sent) {
    m_forward_calls.Close(call.number);
    return internal::MakeNotRunResult(request::Reason::kNoTargets);
  }
  const core::TimePoint started_at = m_ports.clock.Now();
  std::optional<ForwardReplyMessage> reply = call.reply->PopFor(wait);
  m_forward_calls.Close(call.number);
  routing::AttemptResult result;
  if (reply) {
    result = internal::ToAttemptResult(*std::move(reply));
  }
  result.report.latency = m_ports.clock.Now() - started_at;
  return result;
}

std::optional<request::ClaimOutcome> PeerMessenger::Claim(
    const core::InstanceId& peer,
    const core::RequestId& id,
    const request::ClaimToken& token,
    core::Duration wait) {
  const auto call = m_claim_calls.Open(peer);
  std::optional<ClaimReplyMessage> reply;
  if (SendNow(peer, ClaimMessage{call.number, id, token})) {
    reply = call.reply->PopFor(wait);
  }
  m_claim_calls.Close(call.number);
  if (!reply) {
    return std::nullopt;
  }
  return reply->outcome;
}

void PeerMessenger::SendFreeSlots(
    const std::vector<core::InstanceId>& peers,
    const std::vector<routing::PoolFreeSlots>& free_slots) {
  Enqueue(peers, FreeSlotsMessage{free_slots});
}

void PeerMessenger::SendQuotaDemand(const core::InstanceId& lender,
                                    const routing::QuotaDemand& demand) {
  Enqueue({lender}, QuotaDemandMessage{demand});
}

void PeerMessenger::SendQuotaGrant(const routing::OutgoingGrant& grant) {
  Enqueue({grant.borrower}, QuotaGrantMessage{grant.grant});
}

void PeerMessenger::SendTargetRelease(
    const std::vector<core::InstanceId>& peers,
    const routing::ReleasedTarget& released) {
  if (!peers.empty()) {
    Enqueue(peers, TargetReleaseMessage{released});
  }
}

void PeerMessenger::SendClaimReply(const core::InstanceId& peer,
                                   routing::CallNumber call,
                                   request::ClaimOutcome outcome) {
  Enqueue({peer}, ClaimReplyMessage{call, outcome});
}

void PeerMessenger::SendClaimRelease(const core::InstanceId& replica,
                                     const core::RequestId& id,
                                     const request::ClaimToken& token) {
  Enqueue({replica}, ClaimReleaseMessage{id, token});
}

void PeerMessenger::BroadcastChange(const configuration::Change& change) {
  Enqueue({}, ChangesMessage{{change}});
}

void PeerMessenger::RequestChanges(const core::InstanceId& peer,
                                   core::Revision after) {
  Enqueue({peer}, ChangesRequestMessage{after});
}

void PeerMessenger::SendChanges(
    const core::InstanceId& peer,
    const std::vector<configuration::Change>& changes) {
  Enqueue({peer}, ChangesMessage{changes});
}

void PeerMessenger::SendSnapshot(const core::InstanceId& peer,
                                 const configuration::Snapshot& snapshot) {
  Enqueue({peer}, SnapshotMessage{snapshot});
}

std::string PeerMessenger::OnOpen() {
  return EncodePeerMessage(HelloMessage{m_self, core::Revision(m_revision)});
}

core::Result<core::InstanceId> PeerMessenger::OnHello(std::string_view bytes) {
  BOOST_LEAF_AUTO(message, DecodePeerMessage(bytes, "new link"));
  const HelloMessage* hello = std::get_if<HelloMessage>(&message);
  if (hello == nullptr) {
    m_ports.meter.Add(core::Counter::kPeerMessagesRejected, 1);
    return core::Fail(core::Operation::kDecodeMessage, "new link",
                      "the first message is not a hello");
  }
  m_ports.configuration.TryPush(
      configuration::PeerRevisionReported{hello->instance, hello->revision});
  return hello->instance;
}

void PeerMessenger::OnConnected(const core::InstanceId& peer) {
  m_ports.membership.TryPush(membership::LinkUp{peer});
}

void PeerMessenger::OnDisconnected(const core::InstanceId& peer) {
  m_forward_calls.CancelCalls(peer);
  m_claim_calls.CancelCalls(peer);
  m_ports.membership.TryPush(membership::LinkDown{peer});
}

bool PeerMessenger::OnMessage(const core::InstanceId& peer,
                              std::string_view bytes) {
  m_ports.meter.Add(core::Counter::kPeerMessagesReceived, 1);
  m_ports.meter.Add(core::Counter::kPeerBytesReceived, bytes.size());
  return core::Handle(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(bytes, peer.Text()));
        std::visit([&](auto& content) { Receive(peer, content); }, message);
        return true;
      },
      [&](const core::Error& error) {
        Reject(peer, error);
        return false;
      });
}

void PeerMessenger::Reject(const core::InstanceId& peer,
                           const core::Error& error) {
  m_ports.meter.Add(core::Counter::kPeerMessagesRejected, 1);
  m_ports.logger.Write(
      {core::Component::kPeer,
       core::Severity::kWarning,
       "Rejected a peer message. " + core::Describe(error) + ".",
       {{"peer", peer.Text()}}});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            HeartbeatMessage& message) {
  if (message.revision.Count() > m_revision.load(std::memory_order_relaxed)) {
    m_ports.configuration.TryPush(
        configuration::PeerRevisionReported{peer, message.revision});
  }
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            FreeSlotsMessage& message) {
  m_ports.router.TryPush(
      routing::FreeSlotsReceived{peer, std::move(message.free_slots)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            QuotaDemandMessage& message) {
  m_ports.router.TryPush(
      routing::QuotaDemandReceived{peer, std::move(message.demand)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            QuotaGrantMessage& message) {
  m_ports.router.TryPush(routing::QuotaGrantReceived{std::move(message.grant)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ClaimMessage& message) {
  m_ports.router.TryPush(routing::ClaimReceived{peer, message.call, message.id,
                                                std::move(message.token)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ClaimReplyMessage& message) {
  if (!m_claim_calls.Complete(peer, message.call, message)) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
  }
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ClaimReleaseMessage& message) {
  m_ports.router.TryPush(
      routing::ClaimReleaseReceived{message.id, std::move(message.token)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ForwardMessage& message) {
  message.spec.deadline = m_ports.clock.Now() + message.remaining;
  const routing::CallNumber call = message.call;
  ForwardedRequest forwarded{peer, std::move(message)};
  if (!m_ports.forwarded.TryPush(std::move(forwarded))) {
    Enqueue({peer}, ForwardReplyMessage{call,
                                        request::DeliveryStatus::kNotRun,
                                        request::Reason::kOverloaded,
                                        {}});
  }
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ForwardReplyMessage& message) {
  const routing::CallNumber call = message.call;
  if (!m_forward_calls.Complete(peer, call, std::move(message))) {
    m_ports.meter.Add(core::Counter::kRepliesDropped, 1);
  }
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ChangesMessage& message) {
  m_ports.configuration.TryPush(
      configuration::ChangesReceived{peer, std::move(message.changes)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            ChangesRequestMessage& message) {
  m_ports.configuration.TryPush(
      configuration::ChangesRequested{peer, message.after});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            SnapshotMessage& message) {
  m_ports.configuration.TryPush(
      configuration::SnapshotReceived{std::move(message.snapshot)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            IdleQueryMessage& message) {
  m_ports.router.TryPush(
      routing::IdleQueryReceived{peer, std::move(message.target)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            IdleReplyMessage& message) {
  m_ports.maintenance.TryPush(maintenance::IdleReplyReceived{
      peer, std::move(message.target), message.is_idle});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            TargetReleaseMessage& message) {
  m_ports.router.TryPush(
      routing::TargetReleaseReceived{peer, std::move(message.released)});
}

void PeerMessenger::Receive(const core::InstanceId& peer,
                            InstanceLeavingMessage& message) {
  m_ports.membership.TryPush(
      membership::InstanceLeaving{std::move(message.instance)});
}

}  // namespace crocusmast::adapters
