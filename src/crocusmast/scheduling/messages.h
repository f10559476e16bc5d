#ifndef CROCUSMAST_SCHEDULING_MESSAGES_H_
#define CROCUSMAST_SCHEDULING_MESSAGES_H_

#include <vector>

#include "crocusmast/execution/worker_record.h"

namespace crocusmast::scheduling {

/** @brief The whole membership list of workers. */
struct WorkersListed {
  std::vector<execution::WorkerRecord> workers;
};
/** @brief A worker wrote to the membership list. */
struct WorkerSeen {
  execution::WorkerRecord worker;
};
/** @brief The membership list no longer names a worker, or not readably. */
struct WorkerUnlisted {
  core::InstanceId worker;
};

/** @brief Follows the membership list of workers while it is wanted. */
class WorkerFeed {
 public:
  virtual ~WorkerFeed() = default;
  /** @brief Sends WorkersListed, then what changes. */
  virtual void Follow() = 0;
  /** @brief Sends nothing more. */
  virtual void Leave() = 0;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_MESSAGES_H_
