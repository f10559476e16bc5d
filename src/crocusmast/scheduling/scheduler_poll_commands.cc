#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Polls that are sent to workers.

namespace crocusmast::scheduling {

using execution::Worker;

void Scheduler::SendPolls() {
  const std::set<core::InstanceId> changed =
      std::exchange(m_workers_to_poll, {});
  if (std::exchange(m_may_poll_any, false)) {
    for (const auto& [id, worker] : m_workers) {
      SendPollIfDue(*worker);
    }
    return;
  }
  for (const core::InstanceId& id : changed) {
    if (Worker* worker = FindWorker(id); worker != nullptr) {
      SendPollIfDue(*worker);
    }
  }
}

void Scheduler::SendPollIfDue(Worker& worker) {
  const core::TimePoint now = m_ports.clock.Now();
  const core::InstanceId& id = worker.Record().id;
  if (worker.is_poll_pending || now < worker.next_poll_at ||
      !worker.IsAddressable()) {
    return;
  }
  const bool may_have_unknown_runs =
      !worker.is_reconciled &&
      (worker.IsListed() || m_inherited_workers.Find(id) != nullptr);
  const bool is_needed =
      may_have_unknown_runs || !worker.Runs().empty() ||
      worker.acknowledged_end < worker.recorded_end ||
      worker.has_unlisted_ends ||
      (worker.failed_polls > 0 && worker.IsListed()) ||
      m_crashes.IsUncertain(id) ||
      (worker.IsListed() &&
       m_open_starts.HasUnobserved(id, worker.runs_known_at, now));
  if (!is_needed) {
    return;
  }
  execution::PollCommand command;
  command.to = worker.Address(now);
  worker.poll_sequence = ++m_last_poll_sequence;
  command.sequence = worker.poll_sequence;
  // The numbers are those of one incarnation; a later one would forget ends of
  // its own. So they are sent once, and not to a worker that may have
  // restarted.
  if (worker.failed_polls == 0 &&
      worker.acknowledged_end < worker.recorded_end) {
    command.recorded = worker.recorded_end;
  }
  const bool may_wait = worker.is_reconciled && !worker.Runs().empty() &&
                        worker.received_end == worker.recorded_end &&
                        (worker.failed_polls == 0 || !worker.HasOnlyHeldRuns());
  const std::chrono::milliseconds wait =
      m_crashes.IsReserved(id) ? kStartProbation : kPollWait;
  worker.is_poll_waiting = may_wait;
  command.max_wait = may_wait ? wait : std::chrono::milliseconds(0);
  // The lease of a worker that does not reply is not extended, so that its
  // runs are certain to end; neither is that of one that has not replied to
  // this leader yet, whose runs count as ended when the inherited lease
  // expires. Until the handover state of this term is stored, a successor
  // would begin from the state of an earlier one, which has shorter leases.
  const bool has_replied = worker.is_reconciled || worker.has_unlisted_ends;
  if (worker.failed_polls == 0 && has_replied && worker.is_recorded_in_store &&
      !worker.is_lease_frozen) {
    command.lease_until = worker.ExtendLease(kWorkerLeaseLength, now);
  }
  worker.is_poll_pending = true;
  worker.poll_sent_at = now;
  worker.acknowledging_end =
      std::max(worker.acknowledged_end, command.recorded);
  m_ports.workers.PollStatus(std::move(command));
}

}  // namespace crocusmast::scheduling
