#include <algorithm>
#include <utility>

#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/peer_codec.h"
#include "crocusmast/adapters/peer_fields.h"

namespace crocusmast::adapters {
namespace internal {

Result<HelloMessage> ReadHello(FieldReader& in) {
  BOOST_LEAF_AUTO(instance, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(revision, in.ReadQuantity<core::Revision>());
  return HelloMessage{std::move(instance), revision};
}

Result<HeartbeatMessage> ReadHeartbeat(FieldReader& in) {
  BOOST_LEAF_AUTO(revision, in.ReadQuantity<core::Revision>());
  return HeartbeatMessage{revision};
}

Result<FreeSlotsMessage> ReadFreeSlots(FieldReader& in) {
  FreeSlotsMessage message;
  while (in.HasMore()) {
    BOOST_LEAF_AUTO(pool, in.ReadId<core::PoolId>());
    BOOST_LEAF_AUTO(free, in.ReadQuantity<core::Slots>());
    message.free_slots.push_back(routing::PoolFreeSlots{std::move(pool), free});
  }
  return message;
}

Result<routing::QuotaKey> ReadQuotaKey(FieldReader& in) {
  BOOST_LEAF_AUTO(plan, in.ReadId<core::PlanId>());
  BOOST_LEAF_AUTO(kind, in.ReadId<core::KindId>());
  return routing::QuotaKey{std::move(plan), std::move(kind)};
}

Result<QuotaDemandMessage> ReadQuotaDemand(FieldReader& in) {
  BOOST_LEAF_AUTO(key, ReadQuotaKey(in));
  BOOST_LEAF_AUTO(occupied, in.ReadQuantity<core::Slots>());
  BOOST_LEAF_AUTO(wanted, in.ReadQuantity<core::Slots>());
  BOOST_LEAF_AUTO(last_applied_grant, in.ReadQuantity<routing::GrantNumber>());
  BOOST_LEAF_AUTO(session, in.ReadQuantity<routing::QuotaSession>());
  return QuotaDemandMessage{
      {std::move(key), occupied, wanted, last_applied_grant, session}};
}

Result<QuotaGrantMessage> ReadQuotaGrant(FieldReader& in) {
  BOOST_LEAF_AUTO(key, ReadQuotaKey(in));
  BOOST_LEAF_AUTO(ceiling, in.ReadQuantity<core::Slots>());
  BOOST_LEAF_AUTO(number, in.ReadQuantity<routing::GrantNumber>());
  BOOST_LEAF_AUTO(session, in.ReadQuantity<routing::QuotaSession>());
  return QuotaGrantMessage{{std::move(key), ceiling, number, session}};
}

Result<request::ClaimToken> ReadClaimToken(FieldReader& in) {
  BOOST_LEAF_AUTO(claimant, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(key, in.ReadQuantity<core::RequestKey>());
  return request::ClaimToken{std::move(claimant), key};
}

Result<ClaimMessage> ReadClaim(FieldReader& in) {
  BOOST_LEAF_AUTO(call, in.ReadQuantity<routing::CallNumber>());
  BOOST_LEAF_AUTO(id, in.ReadId<core::RequestId>());
  BOOST_LEAF_AUTO(token, ReadClaimToken(in));
  return ClaimMessage{call, std::move(id), std::move(token)};
}

Result<ClaimReplyMessage> ReadClaimReply(FieldReader& in) {
  BOOST_LEAF_AUTO(call, in.ReadQuantity<routing::CallNumber>());
  BOOST_LEAF_AUTO(outcome, in.ReadEnum(request::ClaimOutcome::kFull));
  return ClaimReplyMessage{call, outcome};
}

Result<ClaimReleaseMessage> ReadClaimRelease(FieldReader& in) {
  BOOST_LEAF_AUTO(id, in.ReadId<core::RequestId>());
  BOOST_LEAF_AUTO(token, ReadClaimToken(in));
  return ClaimReleaseMessage{std::move(id), std::move(token)};
}

Result<ForwardMessage> ReadForward(FieldReader& in) {
  constexpr std::uint64_t kMaxRemainingMs = std::uint64_t{3600} * 1000;
  ForwardMessage message;
  BOOST_LEAF_ASSIGN(message.call, in.ReadQuantity<routing::CallNumber>());
  BOOST_LEAF_ASSIGN(message.spec.id, in.ReadId<core::RequestId>());
  BOOST_LEAF_ASSIGN(message.spec.plan, in.ReadId<core::PlanId>());
  BOOST_LEAF_ASSIGN(message.spec.kind, in.ReadId<core::KindId>());
  BOOST_LEAF_ASSIGN(message.spec.urgency,
                    in.ReadEnum(request::Urgency::kDeferrable));
  BOOST_LEAF_ASSIGN(message.spec.retry_safety,
                    in.ReadEnum(request::RetrySafety::kAtMostOnce));
  BOOST_LEAF_AUTO(remaining, in.Number());
  BOOST_LEAF_ASSIGN(message.body, in.ReadBytes());
  message.remaining =
      std::chrono::milliseconds(std::min(remaining, kMaxRemainingMs));
  return message;
}

Result<ForwardReplyMessage> ReadForwardReply(FieldReader& in) {
  constexpr std::uint64_t kMaxStatus = 999;
  ForwardReplyMessage message;
  BOOST_LEAF_ASSIGN(message.call, in.ReadQuantity<routing::CallNumber>());
  BOOST_LEAF_ASSIGN(message.delivery,
                    in.ReadEnum(request::DeliveryStatus::kUnknown));
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

Result<ChangesRequestMessage> ReadChangesRequest(FieldReader& in) {
  BOOST_LEAF_AUTO(after, in.ReadQuantity<core::Revision>());
  return ChangesRequestMessage{after};
}

Result<SnapshotMessage> ReadSnapshot(FieldReader& in) {
  BOOST_LEAF_AUTO(text, in.Text());
  BOOST_LEAF_AUTO(snapshot, ParseSnapshot(text));
  return SnapshotMessage{std::move(snapshot)};
}

Result<InstanceLeavingMessage> ReadInstanceLeaving(FieldReader& in) {
  BOOST_LEAF_AUTO(instance, in.ReadId<core::InstanceId>());
  return InstanceLeavingMessage{std::move(instance)};
}

Result<IdleQueryMessage> ReadIdleQuery(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  return IdleQueryMessage{std::move(target)};
}

Result<IdleReplyMessage> ReadIdleReply(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(is_idle, in.Number());
  return IdleReplyMessage{std::move(target), is_idle == 1};
}

Result<TargetReleaseMessage> ReadTargetRelease(FieldReader& in) {
  BOOST_LEAF_AUTO(target, in.ReadId<core::InstanceId>());
  BOOST_LEAF_AUTO(incarnation, in.ReadQuantity<core::Incarnation>());
  return TargetReleaseMessage{{std::move(target), incarnation}};
}

template <typename Message>
Result<PeerMessage> ReadComplete(FieldReader& in,
                                 Result<Message> (*read)(FieldReader&)) {
  BOOST_LEAF_AUTO(message, read(in));
  BOOST_LEAF_CHECK(in.Finish());
  return PeerMessage(std::move(message));
}

// Each type number is the index of the message in the PeerMessage variant.
Result<PeerMessage> ReadMessage(std::uint64_t type,
                                FieldReader& in,
                                const std::string& peer) {
  switch (type) {
    case 1:
      return ReadComplete(in, ReadHello);
    case 2:
      return ReadComplete(in, ReadHeartbeat);
    case 3:
      return ReadComplete(in, ReadFreeSlots);
    case 4:
      return ReadComplete(in, ReadQuotaDemand);
    case 5:
      return ReadComplete(in, ReadQuotaGrant);
    case 6:
      return ReadComplete(in, ReadClaim);
    case 7:
      return ReadComplete(in, ReadClaimReply);
    case 8:
      return ReadComplete(in, ReadClaimRelease);
    case 9:
      return ReadComplete(in, ReadForward);
    case 10:
      return ReadComplete(in, ReadForwardReply);
    case 11:
      return ReadComplete(in, ReadChanges);
    case 12:
      return ReadComplete(in, ReadChangesRequest);
    case 13:
      return ReadComplete(in, ReadSnapshot);
    case 14:
      return ReadComplete(in, ReadInstanceLeaving);
    case 15:
      return ReadComplete(in, ReadIdleQuery);
    case 16:
      return ReadComplete(in, ReadIdleReply);
    case 17:
      return ReadComplete(in, ReadTargetRelease);
    default:
      return core::Fail(core::Operation::kDecodeMessage, peer,
                        "type " + std::to_string(type) + " is unknown");
  }
}

}  // namespace internal

core::Result<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                            const std::string& peer) {
  using internal::Json;
  if (bytes.size() > kMaxPeerMessageBytes) {
    return core::Fail(core::Operation::kDecodeMessage, peer,
                      std::to_string(bytes.size()) + " bytes; allowed are " +
                          std::to_string(kMaxPeerMessageBytes));
  }
  const Json fields = Json::from_cbor(bytes, true, false);
  if (!fields.is_array() || fields.empty() || !fields[0].is_number_unsigned()) {
    return core::Fail(core::Operation::kDecodeMessage, peer,
                      "not a CBOR array that starts with a type number");
  }
  internal::FieldReader in(fields, peer);
  return internal::ReadMessage(fields[0].get<std::uint64_t>(), in, peer);
}

}  // namespace crocusmast::adapters
