#ifndef CROCUSMAST_CORE_IDS_H_
#define CROCUSMAST_CORE_IDS_H_

#include "crocusmast/core/strong_id.h"

namespace crocusmast::core {

/** @brief Tags that distinguish the id types; kName appears in errors. */
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

/** @brief Identifies an instance: an entry instance, a target or a worker. */
using InstanceId = StrongId<internal::InstanceTag>;
/** @brief Identifies an availability zone. */
using ZoneId = StrongId<internal::ZoneTag>;
/** @brief Identifies a region, which consists of availability zones. */
using RegionId = StrongId<internal::RegionTag>;
/** @brief Identifies a rack. */
using RackId = StrongId<internal::RackTag>;
/** @brief Identifies a pool. */
using PoolId = StrongId<internal::PoolTag>;
/** @brief Identifies a plan. */
using PlanId = StrongId<internal::PlanTag>;
/** @brief Identifies a kind of work. */
using KindId = StrongId<internal::KindTag>;
/** @brief Identifies a request; chosen by its caller. */
using RequestId = StrongId<internal::RequestTag>;
/** @brief Identifies one change of the configuration. */
using ChangeId = StrongId<internal::ChangeTag>;
/** @brief Identifies a job; chosen by its caller. */
using JobId = StrongId<internal::JobTag>;
/** @brief Identifies a queue of jobs. */
using QueueId = StrongId<internal::QueueTag>;
/** @brief Identifies a machine, which hosts successive workers. */
using MachineId = StrongId<internal::MachineTag>;

}  // namespace crocusmast::core

#endif  // CROCUSMAST_CORE_IDS_H_
