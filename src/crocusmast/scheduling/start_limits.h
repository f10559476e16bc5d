#ifndef CROCUSMAST_SCHEDULING_START_LIMITS_H_
#define CROCUSMAST_SCHEDULING_START_LIMITS_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "crocusmast/core/units.h"
#include "crocusmast/scheduling/job_order.h"

namespace crocusmast::scheduling {

/** @brief How much of a pool the finite tasks of jobs that are not in time may
 * fill, whatever is free. */
struct StartLimits {
  /** @brief Processor time that long-running tasks leave. */
  core::MilliCores capacity;
  /** @brief Processor time up to which late jobs start tasks; absent for all.
   */
  std::optional<core::MilliCores> late_limit;

  /**
   * @brief Tells whether a task of a job may start.
   * @param timeliness What the job is still worth.
   * @param in_use Processor time that finite tasks have.
   */
  bool MayStart(Timeliness timeliness, core::MilliCores in_use) const {
    const bool is_limited = timeliness == Timeliness::kExpired ||
                            (timeliness == Timeliness::kLate && late_limit);
    if (!is_limited) {
      return true;
    }
    const core::MilliCores usable =
        std::min(capacity, late_limit.value_or(capacity));
    const std::uint64_t percent =
        timeliness == Timeliness::kExpired ? kExpiredSharePercent : 100;
    return in_use.Count() * 100 < usable.Count() * percent;
  }
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_START_LIMITS_H_
