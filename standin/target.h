#ifndef STANDIN_TARGET_H_
#define STANDIN_TARGET_H_

#include <string>

#include "standin/service.h"

namespace standin {

/** @brief How a group of targets behaves. */
struct TargetSettings {
  /** @brief The first target's port. */
  Listen first;
  /** @brief How many targets, on as many ports. */
  int count = 1;
  /** @brief The most requests at the same time. */
  int slots = 8;
  /** @brief The mean time that a request takes. */
  double service_ms = 5;
};

/**
 * @brief Stands in for the targets of a pool.
 *
 * Each target records every request that it ran by id, counts requests beyond
 * its slots, and has switches for faults.
 *
 * @param settings The settings.
 */
void RunTargets(const TargetSettings& settings);

}  // namespace standin

#endif  // STANDIN_TARGET_H_
