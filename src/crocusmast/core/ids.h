#ifndef CROCUSMAST_CORE_IDS_H_
#define CROCUSMAST_CORE_IDS_H_

#include "crocusmast/core/strong_id.h"

namespace crocusmast::core {

/** @brief Tags of the kinds of id. */
namespace internal {

struct InstanceTag {
  static constexpr char kName[] = "instance id";
};
struct ZoneTag {
  static constexpr char kName[] = "availability zone id";
};
struct RegionTag {
  static constexpr char kName[] = "region id";
};
struct RackTag {
  static constexpr char kName[] = "rack id";
};
struct PoolTag {
  static constexpr char kName[] = "pool id";
};
struct PlanTag {
  static constexpr char kName[] = "plan id";
};
struct KindTag {
  static constexpr char kName[] = "kind of work";
};
struct RequestTag {
  static constexpr char kName[] = "request id";
};
struct ChangeTag {
  static constexpr char kName[] = "change id";
};
struct JobTag {
  static constexpr char kName[] = "job id";
};
struct QueueTag {
  static constexpr char kName[] = "queue id";
};
struct MachineTag {
  static constexpr char kName[] = "machine id";
};

}  // namespace internal

/** @brief Names an instance: an entry instance or a target. */
using InstanceId = StrongId<internal::InstanceTag>;
/** @brief Names an availability zone. */
using ZoneId = StrongId<internal::ZoneTag>;
/** @brief Names a region, a group of availability zones. */
using RegionId = StrongId<internal::RegionTag>;
/** @brief Names a rack. */
using RackId = StrongId<internal::RackTag>;
/** @brief Names a pool. */
using PoolId = StrongId<internal::PoolTag>;
/** @brief Names a plan. */
using PlanId = StrongId<internal::PlanTag>;
/** @brief Names a kind of work. */
using KindId = StrongId<internal::KindTag>;
/** @brief Names a request, as its caller chose. */
using RequestId = StrongId<internal::RequestTag>;
/** @brief Names one change of the configuration. */
using ChangeId = StrongId<internal::ChangeTag>;
/** @brief Names a job, as its caller chose. */
using JobId = StrongId<internal::JobTag>;
/** @brief Names a queue of jobs. */
using QueueId = StrongId<internal::QueueTag>;
/** @brief Names the hardware that one worker after the other lives on. */
using MachineId = StrongId<internal::MachineTag>;

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_IDS_H_
