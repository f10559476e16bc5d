#ifndef STANDIN_TARGET_H_
#define STANDIN_TARGET_H_

#include <string>

#include "standin/service.h"

namespace standin {

/** @brief The settings of a group of targets. */
struct TargetSettings {
  /** @brief The listen settings of the first target; the others use the next
   * ports. */
  ListenSettings first_listen;
  /** @brief The number of targets, each with its own port. */
  int count = 1;
  /** @brief The number of concurrent requests above which a target counts
   * overload. */
  int slots = 8;
  /** @brief The mean service time of a request in milliseconds. */
  double service_ms = 5;
};

/**
 * @brief Simulates the targets of a pool.
 *
 * Each target counts its runs by request id and the requests beyond its slots,
 * and can inject faults. Runs until the process ends.
 *
 * @param settings The settings.
 */
void RunTargets(const TargetSettings& settings);

}  // namespace standin

#endif  // STANDIN_TARGET_H_
