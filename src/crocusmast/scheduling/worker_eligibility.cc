#include "crocusmast/scheduling/worker_eligibility.h"

namespace crocusmast::scheduling {

using execution::Worker;

execution::AssignedRun MakeAssignedRun(const job::Step& step) {
  execution::AssignedRun run;
  run.resources = step.resources;
  run.is_best_effort = step.is_best_effort;
  run.is_long_running = step.is_long_running;
  run.has_single_start = step.NeedsSingleStart();
  if (step.is_best_effort) {
    run.resources.processor = {};
  }
  return run;
}

bool IsStaying(const Worker& worker) {
  return worker.IsListed() && !worker.Record().is_draining &&
         !worker.is_cordoned;
}

bool IsUsable(const Worker& worker, core::TimePoint now) {
  return IsStaying(worker) && worker.is_reconciled &&
         worker.is_recorded_in_store && worker.failed_polls == 0 &&
         !worker.is_lease_frozen && worker.backoff_until <= now;
}

bool MayTakeTasks(const Worker& worker,
                  const ActiveJob& active,
                  const job::Step& step) {
  const execution::WorkerRecord& record = worker.Record();
  return IsStaying(worker) && record.pool == active.pool &&
         record.capacity.CanFit(MakeAssignedRun(step).resources) &&
         (step.required_label.empty() || record.HasLabel(step.required_label));
}

bool MayRepeatOn(const Worker& worker,
                 const ActiveJob& active,
                 const job::Step& step) {
  return MayTakeTasks(worker, active, step) && !step.is_gang &&
         !active.needs_tickets && !worker.IsOverCapacity();
}

bool IsSettledWithoutRepeat(const Worker& worker,
                            const ActiveJob& active,
                            const job::Step& step) {
  return worker.IsListed() && (!MayRepeatOn(worker, active, step) ||
                               !worker.CanFit(MakeAssignedRun(step).resources));
}

}  // namespace crocusmast::scheduling
