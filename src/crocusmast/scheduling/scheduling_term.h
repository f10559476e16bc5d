#ifndef CROCUSMAST_SCHEDULING_SCHEDULING_TERM_H_
#define CROCUSMAST_SCHEDULING_SCHEDULING_TERM_H_

#include <chrono>
#include <optional>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"

namespace crocusmast::scheduling {

/** @brief A leadership term of the scheduler. */
struct SchedulingTerm {
  core::FencingToken token;
  /** @brief How long a leader may stay active after it was deposed. */
  std::chrono::milliseconds deposed_leader_grace{};
  /** @brief When the claim of the previous leader was known to be removed, no
   * earlier than its handover state was stored; empty if unknown. */
  std::optional<core::TimePoint> vacant_since{};
  /** @brief The longest lease that a worker grants. */
  std::chrono::milliseconds max_worker_lease{6000};
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_SCHEDULING_TERM_H_
