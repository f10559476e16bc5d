#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/placement_round.h"
#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Selection of the worker that a task is placed on, and tickets for it.

namespace crocusmast::scheduling {
namespace internal {

/** @brief Of this many workers of a pool at most one is kept for long-running
 * tasks, so that finite ones go on; a small pool keeps one. */
constexpr std::size_t kWorkersPerReservation = 4;

/** @brief Returns by how much a need exceeds resources, in shares of the need.
 */
double Shortfall(const job::Resources& need, const job::Resources& free) {
  const auto share = [](std::uint64_t needed, std::uint64_t available) {
    return needed <= available ? 0.0
                               : static_cast<double>(needed - available) /
                                     static_cast<double>(needed);
  };
  return std::max(
      {share(need.processor.Count(), free.processor.Count()),
       share(need.memory.Count(), free.memory.Count()),
       share(need.accelerators.Count(), free.accelerators.Count())});
}

}  // namespace internal

using execution::Worker;

void Scheduler::RequestTickets(const ActiveJob& active,
                               const job::TaskId& task) {
  if (!active.needs_tickets) {
    return;
  }
  const job::Step& step = active.job.StepOf(task.key);
  const core::TimePoint now = m_ports.clock.Now();
  std::vector<const Worker*> usable;
  for (const Worker* worker : m_workers_by_pool[active.pool]) {
    const bool may_run = step.required_label.empty() ||
                         worker->Record().HasLabel(step.required_label);
    if (may_run && IsUsable(*worker, now)) {
      usable.push_back(worker);
    }
  }
  std::stable_sort(usable.begin(), usable.end(),
                   [](const Worker* left, const Worker* right) {
                     return right->FreeResources().processor <
                            left->FreeResources().processor;
                   });
  std::vector<TicketCandidate> candidates;
  candidates.reserve(usable.size());
  for (const Worker* worker : usable) {
    candidates.push_back({worker->Record().id, worker->Record().incarnation});
  }
  const StepId id = StepId::Of(task);
  const std::vector<core::InstanceId> requested =
      m_tickets.BeginRequest(id, candidates, now);
  if (!requested.empty()) {
    Log(core::Severity::kInfo,
        "Requested tickets for step " + std::to_string(id.step) + " of job " +
            id.job.Text() + " on " + std::to_string(requested.size()) +
            " workers.",
        {{"event", "tickets_asked"},
         {"job", id.job.Text()},
         {"workers", std::to_string(requested.size())}});
    m_ports.tickets.RequestTickets(id, requested);
  }
}

void Scheduler::Handle(const TicketReply& reply) {
  m_tickets.HandleReply(reply, m_ports.clock.Now());
  if (ActiveJob* active = FindJob(reply.step.job); active != nullptr) {
    MarkForPlacement(*active);
    Log(core::Severity::kInfo,
        "Job " + reply.step.job.Text() + " received tickets for " +
            std::to_string(reply.allowed.size()) + " workers.",
        {{"event", "tickets_answered"},
         {"job", reply.step.job.Text()},
         {"allowed", std::to_string(reply.allowed.size())}});
  }
}

bool Scheduler::MayRunOn(const Worker& worker,
                         const ActiveJob& active,
                         const job::TaskId& task) const {
  const job::Step& step = active.job.StepOf(task.key);
  const execution::WorkerRecord& record = worker.Record();
  return !m_crashes.IsReserved(record.id) &&
         (!active.needs_tickets ||
          m_tickets.Find(StepId::Of(task), record.id, record.incarnation,
                         m_ports.clock.Now()) != nullptr) &&
         (step.required_label.empty() ||
          record.HasLabel(step.required_label)) &&
         (step.max_per_worker == 0 ||
          worker.CountTasksOfStep(task) < step.max_per_worker);
}

Worker* Scheduler::ChooseWorker(const ActiveJob& active,
                                const job::TaskId& task,
                                PlacementRound& round) {
  const core::TimePoint now = m_ports.clock.Now();
  const job::Step& step = active.job.StepOf(task.key);
  const job::Resources need = MakeAssignedRun(step).resources;
  const bool is_suspect = m_crashes.IsSuspect(task);
  if (is_suspect && m_crashes.MustWait(task)) {
    return nullptr;
  }
  if (!round.MayStart(round.timeliness)) {
    return nullptr;
  }
  if (const auto only = WorkerOfOpenStart(active, task); only) {
    Worker* worker = FindWorker(*only);
    const bool may_start = worker != nullptr && !step.NeedsSingleStart() &&
                           worker->CanFit(need) && IsUsable(*worker, now) &&
                           MayRunOn(*worker, active, task);
    return may_start ? worker : nullptr;
  }
  Worker* best = nullptr;
  bool has_room = false;
  // Best fit keeps whole workers free for large tasks, for maintenance and for
  // release.
  for (auto next = round.capacity.FirstWith(need.processor);
       next != round.capacity.Accepting().end(); ++next) {
    Worker* worker = next->worker;
    if (!worker->CanFit(need) || !IsUsable(*worker, now) ||
        (!step.is_long_running && round.reserved.count(worker) > 0)) {
      continue;
    }
    has_room = true;
    if (!MayRunOn(*worker, active, task)) {
      continue;
    }
    if (is_suspect) {
      if (best == nullptr ||
          CrashAttribution::IsBetterForSuspect(*worker, *best)) {
        best = worker;
      }
      continue;
    }
    const bool is_preferred = step.preferred_rack.empty() ||
                              worker->Record().Rack() == step.preferred_rack;
    if (best == nullptr || is_preferred) {
      best = worker;
    }
    if (is_preferred) {
      break;
    }
  }
  if (!has_room && !step.is_long_running) {
    round.unavailable.push_back(need);
  }
  return best;
}

void Scheduler::ReserveWorker(const ActiveJob& active,
                              const job::TaskId& task,
                              PlacementRound& round) {
  if (m_crashes.IsSuspect(task) && m_crashes.MustWait(task)) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const std::optional<core::InstanceId> only = WorkerOfOpenStart(active, task);
  const std::size_t reserved = round.reserved.size();
  if (reserved > 0 && round.capacity.Accepting().size() <
                          (reserved + 1) * internal::kWorkersPerReservation) {
    return;
  }
  const job::Resources need =
      MakeAssignedRun(active.job.StepOf(task.key)).resources;
  const Worker* best = nullptr;
  double least_shortfall = 0;
  for (const FreeCapacity::Entry& entry : round.capacity.Accepting()) {
    const Worker* worker = entry.worker;
    const bool may_run = IsUsable(*worker, now) &&
                         round.reserved.count(worker) == 0 &&
                         (!only || worker->Record().id == *only) &&
                         MayRunOn(*worker, active, task) &&
                         worker->FreeWithoutFiniteRuns().CanFit(need);
    if (!may_run) {
      continue;
    }
    const double shortfall = internal::Shortfall(need, worker->FreeResources());
    if (best == nullptr || shortfall < least_shortfall) {
      best = worker;
      least_shortfall = shortfall;
    }
  }
  if (best != nullptr) {
    round.reserved.insert(best);
  }
}

}  // namespace crocusmast::scheduling
