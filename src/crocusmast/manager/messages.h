#ifndef CROCUSMAST_MANAGER_MESSAGES_H_
#define CROCUSMAST_MANAGER_MESSAGES_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "crocusmast/core/bounded_ring.h"
#include "crocusmast/execution/commands.h"
#include "crocusmast/intake/messages.h"
#include "crocusmast/job/job_catalog.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/leadership/lease_port.h"
#include "crocusmast/queue/queue_catalog.h"
#include "crocusmast/scheduling/messages.h"
#include "crocusmast/scheduling/ticket_port.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::manager {

/** @brief One change of the stored state. */
using StoreEvent = std::variant<job::JobEvent,
                                job::BatchStored,
                                job::BatchRemoved,
                                leadership::LeaderObserved,
                                leadership::LeadershipVacant>;

/** @brief Complete stored state. */
struct StoreListReceived {
  std::vector<StoreEvent> events;
  /** @brief Store revision at which the list was read. */
  core::Revision revision;
  /** @brief The list contains at least what was stored by this time. */
  core::TimePoint complete_at;
  /**
   * @brief Handover state of the last leader, read before the list; empty
   * unless the list was requested by JobStore::Refresh.
   */
  std::optional<job::StoredHandover> handover;
};
/** @brief Changes of the stored state; may be empty. */
struct StoreChangesReceived {
  std::vector<StoreEvent> events;
  /** @brief Store revision up to which the changes are complete. */
  core::Revision revision;
  /** @brief All changes up to this time, at least, have been received. */
  core::TimePoint complete_at;
};
/** @brief The connection to the store was lost or restored. */
struct StoreConnectionChanged {
  bool is_up = false;
  /** @brief Why the connection was lost; empty if it was restored. */
  std::string detail;
};
/** @brief A version of the configuration was loaded. */
struct QueueCatalogLoaded {
  std::shared_ptr<const queue::QueueCatalog> catalog;
};
/** @brief Reply to a start command. */
struct StartReplyReceived {
  execution::WorkerCommandReply reply;
};
/** @brief Reply to a stop command. */
struct StopReplyReceived {
  execution::WorkerCommandReply reply;
};
/** @brief Reply to a CPU share command. */
struct CpuShareReplyReceived {
  execution::WorkerCommandReply reply;
};
/** @brief The process is shutting down. */
struct ShutdownRequested {};

/** @brief Messages of the manager's thread. */
using Message = std::variant<ShutdownRequested,
                             StoreListReceived,
                             StoreChangesReceived,
                             StoreConnectionChanged,
                             QueueCatalogLoaded,
                             StartReplyReceived,
                             StopReplyReceived,
                             CpuShareReplyReceived,
                             execution::PollReply,
                             job::CommitReply,
                             job::HandoverReply,
                             job::JobWriteReply,
                             job::JobReadReply,
                             intake::CallerRequest,
                             leadership::LeaseGrantReply,
                             leadership::LeadershipClaimReply,
                             leadership::LeaseRenewalReply,
                             scheduling::WorkerListReceived,
                             scheduling::WorkerUpdated,
                             scheduling::WorkerRemoved,
                             scheduling::TicketReply,
                             upkeep::MachineListReceived,
                             upkeep::MachineCommandReply,
                             upkeep::WaveStatusReply,
                             upkeep::WaveRequested,
                             upkeep::WaveRemoved>;

/**
 * @brief Returns the priority of a message in the manager's ring.
 *
 * What the store says is urgent: cancellations, who leads, the configuration,
 * which workers drain. It grows less with the load than replies of workers and
 * requests of callers.
 */
inline core::Priority PriorityOf(const Message& message) {
  const bool is_urgent =
      std::holds_alternative<StoreListReceived>(message) ||
      std::holds_alternative<StoreChangesReceived>(message) ||
      std::holds_alternative<QueueCatalogLoaded>(message) ||
      std::holds_alternative<ShutdownRequested>(message) ||
      std::holds_alternative<job::HandoverReply>(message) ||
      std::holds_alternative<scheduling::WorkerListReceived>(message) ||
      std::holds_alternative<scheduling::WorkerUpdated>(message) ||
      std::holds_alternative<scheduling::WorkerRemoved>(message) ||
      std::holds_alternative<leadership::LeaseGrantReply>(message) ||
      std::holds_alternative<leadership::LeadershipClaimReply>(message) ||
      std::holds_alternative<leadership::LeaseRenewalReply>(message);
  return is_urgent ? core::Priority::kUrgent : core::Priority::kNormal;
}

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_MESSAGES_H_
