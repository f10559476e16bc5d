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

/** @brief A worker's entry in the membership list. */
struct WorkerRecord {
  /** @brief Identifies the worker. */
  core::InstanceId id;
  /** @brief Set when the worker starts; greater after each restart. */
  core::Incarnation incarnation;
  /** @brief The pool that the worker serves. */
  core::PoolId pool;
  /** @brief Endpoint at which the worker accepts commands. */
  fleet::Endpoint address;
  /** @brief The worker's availability zone. */
  core::ZoneId zone;
  /** @brief True while the worker shuts down and accepts no new tasks. */
  bool is_draining = false;
  /** @brief The worker's total resources, whether in use or not. */
  job::Resources capacity;
  /** @brief Labels: the hardware kind, then the rack. */
  std::vector<std::string> labels;
  /** @brief Time of the worker's clock when it wrote this record. */
  WorkerTime clock;

  /**
   * @brief Tells whether the worker has a label.
   * @param label The label.
   */
  bool HasLabel(const std::string& label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
  }

  /** @brief Returns the rack; empty if it is not known. */
  std::string Rack() const { return labels.size() > 1 ? labels[1] : ""; }
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_RECORD_H_
