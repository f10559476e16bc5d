#include <algorithm>
#include <utility>

#include "crocusmast/adapters/lists_codec.h"
#include "crocusmast/adapters/peer_codec.h"
#include "crocusmast/adapters/peer_fields.h"

namespace crocusmast::adapters {
namespace internal {

Result<HelloMessage> ReadHello(FieldReader& in) {
  BOOST_LEAF_AUTO(instance, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(revision, in.ReadCount<core::Revision>());
  return HelloMessage{std::move(instance), revision};
}

Result<HeartbeatMessage> ReadHeartbeat(FieldReader& in) {
  BOOST_LEAF_AUTO(revision, in.ReadCount<core::Revision>());
  return HeartbeatMessage{revision};
}

Result<LoadsMessage> ReadLoads(FieldReader& in) {
  LoadsMessage message;
  while (in.HasMore()) {
    BOOST_LEAF_AUTO(pool, in.ReadId<core::PoolId>());
    BOOST_LEAF_AUTO(free, in.ReadCount<core::Slots>());
    message.loads.push_back(routing::PoolLoad{std::move(pool), free});
  }
  return message;
}

Result<routing::ShareKey> ReadShareKey(FieldReader& in) {
  BOOST_LEAF_AUTO(plan, in.ReadId<core::PlanId>());
  BOOST_LEAF_AUTO(kind, in.ReadId<core::KindId>());
  return routing::ShareKey{std::move(plan), std::move(kind)};
}

Result<WantMessage> ReadWant(FieldReader& in) {
  BOOST_LEAF_AUTO(key, ReadShareKey(in));
  BOOST_LEAF_AUTO(occupied, in.ReadCount<core::Slots>());
  BOOST_LEAF_AUTO(wanted, in.ReadCount<core::Slots>());
  BOOST_LEAF_AUTO(seen, in.ReadCount<routing::GrantNumber>());
  BOOST_LEAF_AUTO(session, in.ReadCount<routing::ShareSession>());
  return WantMessage{{std::move(key), occupied, wanted, seen, session}};
}

Result<GrantMessage> ReadGrant(FieldReader& in) {
  BOOST_LEAF_AUTO(key, ReadShareKey(in));
  BOOST_LEAF_AUTO(ceiling, in.ReadCount<core::Slots>());
  BOOST_LEAF_AUTO(number, in.ReadCount<routing::GrantNumber>());
  BOOST_LEAF_AUTO(session, in.ReadCount<routing::ShareSession>());
  return GrantMessage{{std::move(key), ceiling, number, session}};
}

Result<request::ClaimToken> ReadToken(FieldReader& in) {
  BOOST_LEAF_AUTO(claimant, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(key, in.ReadCount<core::RequestKey>());
  return request::ClaimToken{std::move(claimant), key};
}

Result<ClaimMessage> ReadClaim(FieldReader& in) {
  BOOST_LEAF_AUTO(call, in.ReadCount<routing::CallNumber>());
  BOOST_LEAF_AUTO(id, in.ReadId<core::RequestId>());
  BOOST_LEAF_AUTO(token, ReadToken(in));
  return ClaimMessage{call, std::move(id), std::move(token)};
}

Result<ClaimReplyMessage> ReadClaimReply(FieldReader& in) {
  BOOST_LEAF_AUTO(call, in.ReadCount<routing::CallNumber>());
  BOOST_LEAF_AUTO(outcome, in.ReadEnum(request::ClaimOutcome::kFull));
  return ClaimReplyMessage{call, outcome};
}

Result<ReleaseMessage> ReadRelease(FieldReader& in) {
  BOOST_LEAF_AUTO(id, in.ReadId<core::RequestId>());
  BOOST_LEAF_AUTO(token, ReadToken(in));
  return ReleaseMessage{std::move(id), std::move(token)};
}

Result<ForwardMessage> ReadForward(FieldReader& in) {
  constexpr std::uint64_t kMaxRemainingMs = std::uint64_t{3600} * 1000;
  ForwardMessage message;
  BOOST_LEAF_ASSIGN(message.call, in.ReadCount<routing::CallNumber>());
  BOOST_LEAF_ASSIGN(message.spec.id, in.ReadId<core::RequestId>());
  BOOST_LEAF_ASSIGN(message.spec.plan, in.ReadId<core::PlanId>());
  BOOST_LEAF_ASSIGN(message.spec.kind, in.ReadId<core::KindId>());
  BOOST_LEAF_ASSIGN(message.spec.urgency,
                    in.ReadEnum(request::Urgency::kDeferrable));
  BOOST_LEAF_ASSIGN(message.spec.repeat,
                    in.ReadEnum(request::Repeat::kAtMostOnce));
  BOOST_LEAF_AUTO(remaining, in.Number());
  BOOST_LEAF_ASSIGN(message.body, in.ReadBytes());
  message.remaining =
      std::chrono::milliseconds(std::min(remaining, kMaxRemainingMs));
  return message;
}

Result<ForwardReplyMessage> ReadForwardReply(FieldReader& in) {
  constexpr std::uint64_t kMaxStatus = 999;
  ForwardReplyMessage message;
  BOOST_LEAF_ASSIGN(message.call, in.ReadCount<routing::CallNumber>());
  BOOST_LEAF_ASSIGN(message.delivery, in.ReadEnum(request::Delivery::kUnknown));
  BOOST_LEAF_ASSIGN(message.reason, in.ReadEnum(request::Reason::kDraining));
  BOOST_LEAF_AUTO(status, in.Number());
  BOOST_LEAF_ASSIGN(message.answer.content_type, in.Text());
  BOOST_LEAF_ASSIGN(message.answer.body, in.ReadBytes());
  message.answer.status = static_cast<int>(std::min(status, kMaxStatus));
  return message;
}

Result<ChangesMessage> ReadChanges(FieldReader& in) {
  ChangesMessage message;
  while (in.HasMore()) {
    BOOST_LEAF_AUTO(text, in.Text());
    BOOST_LEAF_AUTO(change, ParseChange(text));
    message.changes.push_back(std::move(change));
  }
  return message;
}

Result<PullMessage> ReadPull(FieldReader& in) {
  BOOST_LEAF_AUTO(after, in.ReadCount<core::Revision>());
  return PullMessage{after};
}

Result<SnapshotMessage> ReadSnapshot(FieldReader& in) {
  BOOST_LEAF_AUTO(text, in.Text());
  BOOST_LEAF_AUTO(snapshot, ParseSnapshot(text));
  return SnapshotMessage{std::move(snapshot)};
}

Result<LeavingMessage> ReadLeaving(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  return LeavingMessage{std::move(target)};
}

Result<IdleAskMessage> ReadIdleAsk(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  return IdleAskMessage{std::move(target)};
}

Result<IdleMessage> ReadIdle(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(is_idle, in.Number());
  return IdleMessage{std::move(target), is_idle == 1};
}

Result<ReleasedMessage> ReadReleased(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(incarnation, in.ReadCount<core::Incarnation>());
  return ReleasedMessage{{std::move(target), incarnation}};
}

template <typename Message>
Result<PeerMessage> ReadAll(FieldReader& in,
                            Result<Message> (*read)(FieldReader&)) {
  BOOST_LEAF_AUTO(message, read(in));
  BOOST_LEAF_CHECK(in.Finish());
  return PeerMessage(std::move(message));
}

// The cases are the places in PeerMessage.
Result<PeerMessage> ReadType(std::uint64_t type,
                             FieldReader& in,
                             const std::string& peer) {
  switch (type) {
    case 1:
      return ReadAll(in, ReadHello);
    case 2:
      return ReadAll(in, ReadHeartbeat);
    case 3:
      return ReadAll(in, ReadLoads);
    case 4:
      return ReadAll(in, ReadWant);
    case 5:
      return ReadAll(in, ReadGrant);
    case 6:
      return ReadAll(in, ReadClaim);
    case 7:
      return ReadAll(in, ReadClaimReply);
    case 8:
      return ReadAll(in, ReadRelease);
    case 9:
      return ReadAll(in, ReadForward);
    case 10:
      return ReadAll(in, ReadForwardReply);
    case 11:
      return ReadAll(in, ReadChanges);
    case 12:
      return ReadAll(in, ReadPull);
    case 13:
      return ReadAll(in, ReadSnapshot);
    case 14:
      return ReadAll(in, ReadLeaving);
    case 15:
      return ReadAll(in, ReadIdleAsk);
    case 16:
      return ReadAll(in, ReadIdle);
    case 17:
      return ReadAll(in, ReadReleased);
    default:
      return core::Fail(core::Step::kDecodeMessage, peer,
                        "type " + std::to_string(type) + " is not known");
  }
}

}  // namespace internal

core::Result<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                            const std::string& peer) {
  using internal::Json;
  if (bytes.size() > kMaxPeerMessageBytes) {
    return core::Fail(core::Step::kDecodeMessage, peer,
                      std::to_string(bytes.size()) + " bytes; allowed are " +
                          std::to_string(kMaxPeerMessageBytes));
  }
  const Json fields = Json::from_cbor(bytes, true, false);
  if (!fields.is_array() || fields.empty() || !fields[0].is_number_unsigned()) {
    return core::Fail(core::Step::kDecodeMessage, peer,
                      "not CBOR of an array that starts with a type");
  }
  internal::FieldReader in(fields, peer);
  return internal::ReadType(fields[0].get<std::uint64_t>(), in, peer);
}

}  // namespace crocusmast::adapters
