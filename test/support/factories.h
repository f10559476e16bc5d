#ifndef TEST_SUPPORT_FACTORIES_H_
#define TEST_SUPPORT_FACTORIES_H_

#include <string>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/request/request_spec.h"

namespace test {

/**
 * @brief Makes an id of any type.
 * @tparam Id The id's type.
 * @param text The text of the id; must be valid.
 */
template <typename Id>
Id MakeId(const std::string& text) {
  return Id::Create(text).value();
}

/**
 * @brief Makes a customer's plan.
 * @param id The plan's id.
 * @param headroom The capacity to keep free above the demand, in percent.
 */
inline crocusmast::configuration::Plan MakePlan(const std::string& id,
                                                std::uint64_t headroom = 20) {
  using namespace crocusmast;
  return {MakeId<core::PlanId>(id), "Customer", core::Percent(90),
          core::Percent(headroom)};
}

/**
 * @brief Makes the allowance of a plan for one kind of work.
 * @param plan The plan's id.
 * @param kind The kind of work.
 * @param pool The pool that serves the work.
 * @param slots The maximum number of concurrent requests, and of connections.
 * @param instances The maximum number of instances in use.
 */
inline crocusmast::configuration::Allowance MakeAllowance(
    const std::string& plan,
    const std::string& kind,
    const std::string& pool,
    std::uint64_t slots,
    std::uint64_t instances = 100) {
  using namespace crocusmast;
  return {MakeId<core::PlanId>(plan), MakeId<core::KindId>(kind),
          MakeId<core::PoolId>(pool), core::InstanceCount(instances),
          core::Slots(slots),         core::Connections(slots)};
}

/**
 * @brief Makes the membership record of a target.
 * @param id The target's id.
 * @param pool The target's pool.
 * @param zone The target's availability zone.
 * @param slots The number of slots of the target.
 */
inline crocusmast::fleet::InstanceRecord MakeTarget(
    const std::string& id,
    const std::string& pool,
    const std::string& zone = "zone-1",
    std::uint64_t slots = 8) {
  using namespace crocusmast;
  fleet::InstanceRecord record;
  record.id = MakeId<core::InstanceId>(id);
  record.incarnation = core::Incarnation(1);
  record.region = MakeId<core::RegionId>("region-1");
  record.zone = MakeId<core::ZoneId>(zone);
  record.rack = MakeId<core::RackId>("rack-1");
  record.pool = MakeId<core::PoolId>(pool);
  record.address = {"127.0.0.1", 1};
  record.slots = core::Slots(slots);
  record.connections = core::Connections(64);
  return record;
}

/**
 * @brief Makes the membership record of an entry instance.
 * @param id The instance's id.
 * @param zone The instance's availability zone.
 */
inline crocusmast::fleet::InstanceRecord MakeEntryInstance(
    const std::string& id,
    const std::string& zone = "zone-1") {
  crocusmast::fleet::InstanceRecord record = MakeTarget(id, "none", zone, 0);
  record.role = crocusmast::fleet::Role::kEntry;
  record.pool = {};
  return record;
}

/**
 * @brief Makes a request of normal urgency.
 * @param id The request id.
 * @param deadline The time at which the caller stops waiting.
 * @param retry_safety Whether the request may run more than once.
 */
inline crocusmast::request::RequestSpec MakeRequestSpec(
    const std::string& id,
    crocusmast::core::TimePoint deadline,
    crocusmast::request::RetrySafety retry_safety =
        crocusmast::request::RetrySafety::kRepeatable) {
  using namespace crocusmast;
  return {MakeId<core::RequestId>(id),
          MakeId<core::PlanId>("plan"),
          MakeId<core::KindId>("kind"),
          request::Urgency::kNormal,
          retry_safety,
          deadline};
}

/**
 * @brief Makes an edit of the plan lists.
 * @param change The id of the change.
 * @param base The revision that the edit is based on.
 * @param lists The lists after the edit.
 * @param author The author of the change.
 */
inline crocusmast::configuration::Edit MakeEdit(
    const std::string& change,
    std::uint64_t base,
    const crocusmast::configuration::PlanLists& lists,
    const std::string& author = "ann") {
  using namespace crocusmast;
  return {{MakeId<core::ChangeId>(change), author, "because", {}},
          core::Revision(base),
          lists};
}

}  // namespace test

#endif  // TEST_SUPPORT_FACTORIES_H_
