#include "crocusmast/adapters/membership_client.h"

#include <limits>
#include <utility>

#include "crocusmast/adapters/json_reader.h"

namespace crocusmast::adapters {
namespace internal {

using core::Operation;
using fleet::InstanceRecord;

constexpr std::chrono::seconds kReadTimeout{2};

core::Result<fleet::Endpoint> ReadEndpoint(const JsonObjectReader& reader) {
  BOOST_LEAF_AUTO(host, reader.Text("host"));
  BOOST_LEAF_AUTO(port, reader.Number("port"));
  if (port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return reader.FieldError("port", "must be 1 to 65535");
  }
  return fleet::Endpoint{std::move(host), static_cast<std::uint16_t>(port)};
}

core::Result<void> ReadLocation(const JsonObjectReader& reader,
                                InstanceRecord& record) {
  BOOST_LEAF_ASSIGN(record.region, reader.ReadId<core::RegionId>("region"));
  BOOST_LEAF_ASSIGN(record.zone, reader.ReadId<core::ZoneId>("zone"));
  BOOST_LEAF_ASSIGN(record.rack, reader.ReadId<core::RackId>("rack"));
  return {};
}

core::Result<void> ReadCapacity(const JsonObjectReader& reader,
                                InstanceRecord& record) {
  BOOST_LEAF_ASSIGN(record.pool, reader.ReadId<core::PoolId>("pool"));
  BOOST_LEAF_AUTO(slots, reader.Number("slots"));
  BOOST_LEAF_AUTO(connections, reader.Number("connections"));
  record.slots = core::Slots(slots);
  record.connections = core::Connections(connections);
  return {};
}

core::Result<InstanceRecord> ReadRecord(const Json& json) {
  const JsonObjectReader reader(json, "membership list",
                                Operation::kReadMembership);
  BOOST_LEAF_CHECK(reader.CheckFields({"id", "role", "state", "incarnation",
                                       "region", "zone", "rack", "pool", "host",
                                       "port", "slots", "connections"}));
  InstanceRecord record;
  BOOST_LEAF_ASSIGN(record.id, reader.ReadId<core::InstanceId>("id"));
  BOOST_LEAF_AUTO(role, reader.Text("role"));
  BOOST_LEAF_AUTO(state, reader.Text("state"));
  BOOST_LEAF_AUTO(incarnation, reader.Number("incarnation"));
  BOOST_LEAF_ASSIGN(record.address, ReadEndpoint(reader));
  BOOST_LEAF_CHECK(ReadLocation(reader, record));
  record.role = role == "entry" ? fleet::Role::kEntry : fleet::Role::kTarget;
  record.state = state == "live" ? fleet::InstanceState::kLive
                                 : fleet::InstanceState::kLeaving;
  record.incarnation = core::Incarnation(incarnation);
  if (record.role == fleet::Role::kTarget) {
    BOOST_LEAF_CHECK(ReadCapacity(reader, record));
  }
  return record;
}

}  // namespace internal

core::Result<membership::MembershipUpdate> ParseMembershipUpdate(
    std::string_view text) {
  using internal::Operation;
  BOOST_LEAF_AUTO(json, internal::ParseStrictJson(text, "membership list",
                                                  Operation::kReadMembership));
  const internal::JsonObjectReader reader(json, "membership list",
                                          Operation::kReadMembership);
  BOOST_LEAF_CHECK(
      reader.CheckFields({"version", "whole", "changed", "removed"}));
  membership::MembershipUpdate update;
  BOOST_LEAF_AUTO(version, reader.Number("version"));
  BOOST_LEAF_AUTO(whole, reader.Number("whole"));
  BOOST_LEAF_AUTO(changed, reader.Array("changed"));
  BOOST_LEAF_AUTO(removed, reader.Array("removed"));
  update.version = membership::MembershipVersion(version);
  update.is_full_list = whole != 0;
  for (const internal::Json& item : *changed) {
    BOOST_LEAF_AUTO(record, internal::ReadRecord(item));
    update.changed.push_back(std::move(record));
  }
  for (const internal::Json& item : *removed) {
    if (!item.is_string()) {
      return reader.FieldError("removed", "an item is not a string");
    }
    BOOST_LEAF_AUTO(id, core::InstanceId::Create(item.get<std::string>()));
    update.removed.push_back(std::move(id));
  }
  return update;
}

MembershipClient::MembershipClient(std::unique_ptr<HttpClient> http,
                                   core::Meter& meter)
    : m_http(std::move(http)), m_meter(meter) {}

std::unique_ptr<MembershipClient> MembershipClient::Create(
    const fleet::Endpoint& address,
    core::Meter& meter) {
  return std::unique_ptr<MembershipClient>(
      new MembershipClient(HttpClient::Create(address, ""), meter));
}

core::Result<membership::MembershipUpdate> MembershipClient::ReadAfter(
    membership::MembershipVersion after) {
  constexpr int kOk = 200;
  m_meter.Add(core::Counter::kMembershipCalls, 1);
  BOOST_LEAF_AUTO(response,
                  m_http->Get("/members?after=" + std::to_string(after.Count()),
                              internal::kReadTimeout));
  m_meter.Add(core::Counter::kMembershipBytes, response.body.size());
  if (response.status != kOk) {
    return core::Fail(
        core::Operation::kReadMembership, "membership list",
        "responded with status " + std::to_string(response.status));
  }
  return ParseMembershipUpdate(response.body);
}

}  // namespace crocusmast::adapters
