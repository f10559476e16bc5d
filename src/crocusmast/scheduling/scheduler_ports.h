#ifndef CROCUSMAST_SCHEDULING_SCHEDULER_PORTS_H_
#define CROCUSMAST_SCHEDULING_SCHEDULER_PORTS_H_

#include "crocusmast/core/clock.h"
#include "crocusmast/core/logger.h"
#include "crocusmast/core/meter.h"
#include "crocusmast/execution/worker_port.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/scheduling/messages.h"
#include "crocusmast/scheduling/ticket_port.h"

namespace crocusmast::scheduling {

/** @brief Collaborators of the scheduler; all outlive it. */
struct SchedulerPorts {
  execution::WorkerPort& workers;
  job::JobStore& store;
  WorkerWatch& worker_watch;
  TicketPort& tickets;
  const core::Clock& clock;
  core::Logger& logger;
  core::Meter& meter;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_SCHEDULER_PORTS_H_
