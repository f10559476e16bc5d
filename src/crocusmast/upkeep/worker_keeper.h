#ifndef CROCUSMAST_UPKEEP_WORKER_KEEPER_H_
#define CROCUSMAST_UPKEEP_WORKER_KEEPER_H_

#include "crocusmast/core/ids.h"
#include "crocusmast/upkeep/machine_wave.h"

namespace crocusmast::upkeep {

/** @brief Empties workers without breaking what runs on them. */
class WorkerKeeper {
 public:
  virtual ~WorkerKeeper() = default;
  /** @brief Returns how much a worker is in use. */
  virtual Usage UsageOf(const core::InstanceId& worker) const = 0;
  /** @brief Gives a worker no new work, and moves what lasts there. */
  virtual void SetAside(const core::InstanceId& worker) = 0;
  /** @brief Tells whether surely nothing runs on a worker. */
  virtual bool IsEmpty(const core::InstanceId& worker) const = 0;
};

}  // namespace crocusmast::upkeep

#endif  // CROCUSMAST_UPKEEP_WORKER_KEEPER_H_
