#ifndef CROCUSMAST_JOB_RESOURCES_H_
#define CROCUSMAST_JOB_RESOURCES_H_

#include <algorithm>

#include "crocusmast/core/units.h"

namespace crocusmast::job {

/** @brief Resources of a worker, or those that a task requires. */
struct Resources {
  /** @brief Processor capacity, in thousandths of a core. */
  core::MilliCores processor;
  /** @brief Memory, in megabytes. */
  core::Megabytes memory;
  /** @brief Number of whole accelerators. */
  core::Accelerators accelerators;

  /**
   * @brief Tells whether these resources cover a requirement.
   * @param required The required resources.
   */
  bool CanFit(const Resources& required) const {
    return !(processor < required.processor) && !(memory < required.memory) &&
           !(accelerators < required.accelerators);
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

/** @brief Returns the lesser amount of each component. */
inline Resources ComponentMin(const Resources& left, const Resources& right) {
  return {std::min(left.processor, right.processor),
          std::min(left.memory, right.memory),
          std::min(left.accelerators, right.accelerators)};
}

/** @brief Returns the greater amount of each component. */
inline Resources ComponentMax(const Resources& left, const Resources& right) {
  return {std::max(left.processor, right.processor),
          std::max(left.memory, right.memory),
          std::max(left.accelerators, right.accelerators)};
}

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_RESOURCES_H_
