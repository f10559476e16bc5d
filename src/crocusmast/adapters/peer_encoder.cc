#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/peer_codec.h"
#include "crocusmast/adapters/peer_fields.h"

namespace crocusmast::adapters {
namespace internal {

void Write(FieldWriter& out, const std::monostate& empty) {}

void Write(FieldWriter& out, const HelloMessage& message) {
  out.Add(message.instance);
  out.Add(message.revision);
}

void Write(FieldWriter& out, const HeartbeatMessage& message) {
  out.Add(message.revision);
}

void Write(FieldWriter& out, const FreeSlotsMessage& message) {
  for (const routing::PoolFreeSlots& pool : message.free_slots) {
    out.Add(pool.pool);
    out.Add(pool.free);
  }
}

void Write(FieldWriter& out, const routing::QuotaKey& key) {
  out.Add(key.plan);
  out.Add(key.kind);
}

void Write(FieldWriter& out, const QuotaDemandMessage& message) {
  Write(out, message.demand.key);
  out.Add(message.demand.occupied);
  out.Add(message.demand.wanted);
  out.Add(message.demand.last_applied_grant);
  out.Add(message.demand.session);
}

void Write(FieldWriter& out, const QuotaGrantMessage& message) {
  Write(out, message.grant.key);
  out.Add(message.grant.ceiling);
  out.Add(message.grant.number);
  out.Add(message.grant.session);
}

void Write(FieldWriter& out, const request::ClaimToken& token) {
  out.Add(token.claimant);
  out.Add(token.key);
}

void Write(FieldWriter& out, const ClaimMessage& message) {
  out.Add(message.call);
  out.Add(message.id);
  Write(out, message.token);
}

void Write(FieldWriter& out, const ClaimReplyMessage& message) {
  out.Add(message.call);
  out.Add(message.outcome);
}

void Write(FieldWriter& out, const ClaimReleaseMessage& message) {
  out.Add(message.id);
  Write(out, message.token);
}

void Write(FieldWriter& out, const ForwardMessage& message) {
  out.Add(message.call);
  out.Add(message.spec.id);
  out.Add(message.spec.plan);
  out.Add(message.spec.kind);
  out.Add(message.spec.urgency);
  out.Add(message.spec.retry_safety);
  out.Add(static_cast<std::uint64_t>(message.remaining.count()));
  out.AddBytes(message.body);
}

void Write(FieldWriter& out, const ForwardReplyMessage& message) {
  out.Add(message.call);
  out.Add(message.delivery);
  out.Add(message.reason);
  out.Add(static_cast<std::uint64_t>(message.answer.status));
  out.Add(message.answer.content_type);
  out.AddBytes(message.answer.body);
}

void Write(FieldWriter& out, const ChangesMessage& message) {
  for (const configuration::Change& change : message.changes) {
    out.Add(FormatChange(change));
  }
}

void Write(FieldWriter& out, const ChangesRequestMessage& message) {
  out.Add(message.after);
}

void Write(FieldWriter& out, const SnapshotMessage& message) {
  out.Add(FormatSnapshot(message.snapshot));
}

void Write(FieldWriter& out, const InstanceLeavingMessage& message) {
  out.Add(message.instance);
}

void Write(FieldWriter& out, const IdleQueryMessage& message) {
  out.Add(message.target);
}

void Write(FieldWriter& out, const IdleReplyMessage& message) {
  out.Add(message.target);
  out.Add(std::uint64_t{message.is_idle ? 1U : 0U});
}

void Write(FieldWriter& out, const TargetReleaseMessage& message) {
  out.Add(message.released.target);
  out.Add(message.released.incarnation);
}

}  // namespace internal

std::string EncodePeerMessage(const PeerMessage& message) {
  internal::FieldWriter out(message.index());
  std::visit([&](const auto& content) { internal::Write(out, content); },
             message);
  return out.Finish();
}

}  // namespace crocusmast::adapters
