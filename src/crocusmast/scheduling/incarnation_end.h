#ifndef CROCUSMAST_SCHEDULING_INCARNATION_END_H_
#define CROCUSMAST_SCHEDULING_INCARNATION_END_H_

#include <optional>

#include "crocusmast/execution/worker.h"

namespace crocusmast::scheduling {

/** @brief How the end of an incarnation became known. */
struct IncarnationEnd {
  enum class Evidence {
    /** @brief A later incarnation of the worker exists. */
    kReplaced,
    kLeaseExpired,
    kMachineGone,
    /** @brief Another worker has its address, which rejects all commands. */
    kAddressTaken
  };

  Evidence evidence;
  /** @brief The same for logs. */
  const char* reason = "";
  /** @brief When no incarnation existed; empty if unknown. */
  std::optional<execution::Absence> absence{};
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_INCARNATION_END_H_
