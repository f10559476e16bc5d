#ifndef CROCUSMAST_MANAGER_MESSAGES_H_
#define CROCUSMAST_MANAGER_MESSAGES_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "crocusmast/execution/orders.h"
#include "crocusmast/intake/messages.h"
#include "crocusmast/job/job_book.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/leadership/lease_port.h"
#include "crocusmast/queue/directory.h"
#include "crocusmast/scheduling/messages.h"
#include "crocusmast/scheduling/ticket_port.h"
#include "crocusmast/upkeep/machine_port.h"

namespace crocusmast::manager {

/** @brief One change of what the store holds for this system. */
using StoreEvent =
    std::variant<job::JobEvent, leadership::DutyStored, leadership::DutyVacant>;

/** @brief All that the store holds for this system. */
struct StoreListed {
  std::vector<StoreEvent> events;
  core::Revision revision;
  /** @brief What the last holder left; read before the list, and only when
   * that was asked for. */
  std::optional<job::HolderRecord> holder;
};
/** @brief What has changed in the store; may be nothing. */
struct StoreChanged {
  std::vector<StoreEvent> events;
  core::Revision revision;
};
/** @brief The store can't be read, or can be read again. */
struct StoreLink {
  bool is_up = false;
  std::string detail;
};
/** @brief A version of the configuration. */
struct DirectoryRead {
  std::shared_ptr<const queue::Directory> directory;
};
/** @brief The answer to a start. */
struct StartReplied {
  execution::CallReply reply;
};
/** @brief The answer to a stop. */
struct StopReplied {
  execution::CallReply reply;
};
/** @brief The process is to end. */
struct StopRequested {};

/** @brief What the manager's duty takes. */
using Message = std::variant<StopRequested,
                             StoreListed,
                             StoreChanged,
                             StoreLink,
                             DirectoryRead,
                             StartReplied,
                             StopReplied,
                             execution::LookReply,
                             job::CommitReply,
                             job::JobWritten,
                             job::JobRead,
                             intake::CallerRequest,
                             leadership::LeaseGranted,
                             leadership::DutyClaimed,
                             leadership::LeaseRenewed,
                             scheduling::WorkersListed,
                             scheduling::WorkerSeen,
                             scheduling::WorkerUnlisted,
                             scheduling::TicketsAnswered,
                             upkeep::MachinesListed,
                             upkeep::MachineReplied,
                             upkeep::StatusWritten,
                             upkeep::WaveAsked,
                             upkeep::WaveRemoved>;

}  // namespace crocusmast::manager

#endif  // CROCUSMAST_MANAGER_MESSAGES_H_
