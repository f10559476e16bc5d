#ifndef CROCUSMAST_JOB_RESOURCES_H_
#define CROCUSMAST_JOB_RESOURCES_H_

#include "crocusmast/core/units.h"

namespace crocusmast::job {

/** @brief Resources of a worker, or those that a task requires. */
struct Resources {
  /** @brief Processor time, in thousandths of a core. */
  core::MilliCores processor;
  /** @brief Memory. */
  core::Megabytes memory;
  /** @brief Whole accelerators. */
  core::Accelerators accelerators;

  /**
   * @brief Tells whether these resources cover a requirement.
   * @param need The required resources.
   */
  bool CanFit(const Resources& need) const {
    return !(processor < need.processor) && !(memory < need.memory) &&
           !(accelerators < need.accelerators);
  }

  friend Resources operator+(const Resources& left, const Resources& right) {
    return {left.processor + right.processor, left.memory + right.memory,
            left.accelerators + right.accelerators};
  }
  /** @brief Subtracts each component; saturates at zero. */
  friend Resources operator-(const Resources& left, const Resources& right) {
    return {left.processor - right.processor, left.memory - right.memory,
            left.accelerators - right.accelerators};
  }
  friend bool operator==(const Resources& left, const Resources& right) {
    return left.processor == right.processor && left.memory == right.memory &&
           left.accelerators == right.accelerators;
  }
};

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_RESOURCES_H_
