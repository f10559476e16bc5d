#ifndef CROCUSMAST_EXECUTION_WORKER_RECORD_H_
#define CROCUSMAST_EXECUTION_WORKER_RECORD_H_

#include <algorithm>
#include <string>
#include <vector>

#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"
#include "crocusmast/execution/worker_clock.h"
#include "crocusmast/fleet/instance_record.h"
#include "crocusmast/job/resources.h"

namespace crocusmast::execution {

/** @brief What a worker says of itself in the membership list. */
struct WorkerRecord {
  /** @brief The worker. */
  core::InstanceId id;
  /** @brief When this life began; a later life has a greater number. */
  core::Incarnation incarnation;
  /** @brief The pool that it serves. */
  core::PoolId pool;
  /** @brief Where it takes orders. */
  fleet::Endpoint address;
  /** @brief Its availability zone. */
  core::ZoneId zone;
  /** @brief It is about to leave and takes no new work. */
  bool is_draining = false;
  /** @brief What it has room for. */
  job::Room capacity;
  /** @brief Its kind, then its rack. */
  std::vector<std::string> labels;
  /** @brief Its clock when it wrote this. */
  WorkerTime clock;

  /**
   * @brief Tells whether it has a label.
   * @param label The label.
   */
  bool HasLabel(const std::string& label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
  }

  /** @brief Returns the rack, or nothing if it names none. */
  std::string Rack() const { return labels.size() > 1 ? labels[1] : ""; }
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_RECORD_H_
