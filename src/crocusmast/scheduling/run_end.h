#ifndef CROCUSMAST_SCHEDULING_RUN_END_H_
#define CROCUSMAST_SCHEDULING_RUN_END_H_

#include <string>
#include <string_view>

#include "crocusmast/job/job.h"

namespace crocusmast::scheduling {

/** @brief The end of a run, and how it is known. */
struct RunEnd {
  job::RunOutcome outcome = job::RunOutcome::kLost;
  /** @brief What shows the end, for logs. */
  std::string_view evidence;
  /** @brief Latest checkpoint; empty for none. */
  std::string checkpoint{};
  /** @brief The task may start elsewhere, also if a start command for this run
   * got no reply. */
  bool is_certain = false;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_RUN_END_H_
