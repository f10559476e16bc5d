#include "bench/flood/members.h"

namespace bench::flood {
namespace internal {

constexpr std::size_t kZones = 3;
constexpr std::size_t kRackSize = 4;

}  // namespace internal

namespace core = crocusmast::core;
namespace fleet = crocusmast::fleet;
namespace membership = crocusmast::membership;
using internal::kRackSize;
using internal::kZones;

std::string EntryName(std::size_t index) {
  return "entry-" + std::to_string(index + 1);
}

std::string ZoneName(std::size_t index) {
  return "zone-" + std::to_string(index % kZones + 1);
}

membership::MembershipUpdate MakeMembership(const Workload& workload,
                                            std::size_t entry_count) {
  membership::MembershipUpdate update{
      membership::MembershipVersion(1), true, {}, {}};
  const auto add = [&](const std::string& id, std::size_t index) {
    fleet::InstanceRecord record;
    record.id = MakeId<core::InstanceId>(id);
    record.incarnation = core::Incarnation(1);
    record.region = MakeId<core::RegionId>("region-1");
    record.zone = MakeId<core::ZoneId>(ZoneName(index));
    update.changed.push_back(record);
    return &update.changed.back();
  };
  for (std::size_t index = 0; index < entry_count; ++index) {
    add(EntryName(index), index)->role = fleet::Role::kEntry;
  }
  std::size_t number = 0;
  for (const Pool& pool : workload.pools) {
    for (std::size_t index = 0; index < pool.targets; ++index) {
      fleet::InstanceRecord* record =
          add(pool.name + "-" + std::to_string(index + 1), index);
      record->pool = MakeId<core::PoolId>(pool.name);
      record->slots = core::Slots(Targets::kSlots);
      record->rack =
          MakeId<core::RackId>("rack-" + std::to_string(number++ / kRackSize));
    }
  }
  return update;
}

}  // namespace bench::flood
