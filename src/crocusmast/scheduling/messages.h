#ifndef CROCUSMAST_SCHEDULING_MESSAGES_H_
#define CROCUSMAST_SCHEDULING_MESSAGES_H_

#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/units.h"
#include "crocusmast/execution/worker_record.h"

namespace crocusmast::scheduling {

/** @brief The complete membership list of workers. */
struct WorkerListReceived {
  std::vector<execution::WorkerRecord> workers;
};
/** @brief A worker was added to the membership list or updated its record. */
struct WorkerUpdated {
  execution::WorkerRecord worker;
};
/** @brief A worker left the membership list, or its record is unreadable. */
struct WorkerRemoved {
  core::InstanceId worker;
};

/** @brief How fresh the known state of the store is. */
struct StoreView {
  /** @brief Store revision up to which the known state is complete. */
  core::Revision revision;
  /** @brief Time up to which, at least, the known state is complete. */
  core::TimePoint complete_at;
};

/** @brief Subscription to the membership list of workers. */
class WorkerWatch {
 public:
  virtual ~WorkerWatch() = default;
  /** @brief Begins to deliver the complete list, followed by its changes. */
  virtual void Subscribe() = 0;
  /** @brief Ends the delivery. */
  virtual void Unsubscribe() = 0;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_MESSAGES_H_
