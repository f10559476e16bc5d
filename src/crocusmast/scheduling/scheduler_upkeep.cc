#include <utility>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Draining of workers for maintenance, and the load of the pools.

namespace crocusmast::scheduling {
namespace internal {

/** @brief How long a report of full speed counts; workers are polled about once
 * a second. */
constexpr std::chrono::milliseconds kFullSpeedValidity{2500};
/** @brief MilliCores per core. */
constexpr double kMilliCoresPerCore = 1000;

double ToCores(core::MilliCores processor) {
  return static_cast<double>(processor.Count()) / kMilliCoresPerCore;
}

}  // namespace internal

using execution::RunKey;
using execution::Worker;

upkeep::WorkerUsage Scheduler::UsageOf(const core::InstanceId& id) const {
  upkeep::WorkerUsage usage;
  const auto worker = m_workers.find(id);
  if (worker == m_workers.end()) {
    return usage;
  }
  for (const auto& [key, run] : worker->second->Runs()) {
    const auto active = m_jobs.find(key.task.job);
    const bool is_long_running =
        active != m_jobs.end() &&
        active->second.job.StepOf(key.task.key).is_long_running;
    ++(is_long_running ? usage.long_running_runs : usage.finite_runs);
  }
  return usage;
}

bool Scheduler::IsConfirmedIdle(const core::InstanceId& id) const {
  const auto worker = m_workers.find(id);
  const bool may_have_runs =
      m_inherited_workers.Find(id) != nullptr ||
      (worker != m_workers.end() &&
       (!worker->second->Runs().empty() || worker->second->has_unlisted_ends));
  return !may_have_runs;
}

void Scheduler::DrainWorker(const core::InstanceId& id) {
  Worker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  m_drained_workers.insert(id);
  const bool was_cordoned = std::exchange(worker->is_cordoned, true);
  if (!was_cordoned && IsConfirmedIdle(id)) {
    // The worker is empty, so the handover state no longer lists it.
    StoreHandover();
  }
  MoveLongRunningTasks(*worker);
}

void Scheduler::ReleaseDrainedWorkers(
    const std::set<core::InstanceId>& needed) {
  for (auto next = m_drained_workers.begin();
       next != m_drained_workers.end();) {
    Worker* worker = FindWorker(*next);
    const bool is_gone = worker != nullptr && !HasMachine(*worker);
    if (is_gone || needed.count(*next) > 0) {
      ++next;
      continue;
    }
    if (worker != nullptr && std::exchange(worker->is_cordoned, false)) {
      Log(core::Severity::kInfo,
          "Worker " + next->Text() + " is used again; its machine stays.",
          {{"event", "worker_released"}, {"worker", next->Text()}});
      // The handover state may have left it out meanwhile.
      worker->is_recorded_in_store = false;
      if (m_has_worker_list) {
        StoreHandover();
      }
      UpdateCapacity(*worker);
    }
    next = m_drained_workers.erase(next);
  }
}

void Scheduler::MoveLongRunningTasks(Worker& worker) {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : worker.Runs()) {
    const ActiveJob* active = FindJob(key.task.job);
    if (!run.is_stopping && active != nullptr &&
        active->job.StepOf(key.task.key).is_long_running) {
      keys.push_back(key);
    }
  }
  for (const RunKey& key : keys) {
    ActiveJob* active = FindJob(key.task.job);
    if (!MayInterrupt(*active, key.task.key)) {
      continue;
    }
    Log(core::Severity::kInfo,
        "Task " + Describe(key.task) + " is being moved off worker " +
            worker.Record().id.Text() + ".",
        {{"event", "task_moved"},
         {"job", key.task.job.Text()},
         {"task", Describe(key.task)},
         {"worker", worker.Record().id.Text()}});
    SendStop(worker, key);
  }
}

double Scheduler::EstimateCoreSeconds(const job::AcceptedJob& job) const {
  double core_seconds = 0;
  // The work of a scheduled job arrives with its occurrences.
  if (job.spec.schedule.occurrence_count > 0) {
    return core_seconds;
  }
  for (const job::Step& step : job.spec.steps) {
    if (!step.is_best_effort && !step.is_long_running) {
      const core::Duration time =
          m_run_time_estimator.Correct(job.queue, step.estimate);
      core_seconds += step.count * internal::ToCores(step.resources.processor) *
                      std::chrono::duration<double>(time).count();
    }
  }
  return core_seconds;
}

void Scheduler::AddWaitingJob(const WaitingJobs::Entry& entry,
                              capacity::PoolLoad& load) const {
  switch (entry.rank.timeliness) {
    case Timeliness::kInTime:
      ++load.waiting_in_time;
      break;
    case Timeliness::kLate:
      ++load.waiting_late;
      return;
    case Timeliness::kExpired:
      ++load.waiting_expired;
      return;
  }
  const job::Job& job = entry.job->job;
  job.ForEachReady([&](const job::TaskKey&, const job::Step& step) {
    if (step.is_best_effort) {
      return;
    }
    const double cores = internal::ToCores(step.resources.processor);
    const core::Duration time =
        m_run_time_estimator.Correct(job.Accepted().queue, step.estimate);
    load.waiting_cores += cores;
    load.waiting_core_seconds +=
        cores * std::chrono::duration<double>(time).count();
  });
}

void Scheduler::SetLateLimits(const capacity::LateLimits& limits) {
  if (limits == m_late_limits) {
    return;
  }
  for (const auto& [pool, limit] : m_late_limits) {
    m_pools_to_place.insert(pool);
  }
  m_late_limits = limits;
}

std::vector<capacity::PoolLoad> Scheduler::PoolLoads() const {
  const core::TimePoint now = m_ports.clock.Now();
  std::map<core::PoolId, capacity::PoolLoad> loads;
  for (const auto& [id, pool] : m_pools) {
    loads[id].pool = id;
    loads[id].is_standby = pool.is_standby;
    const auto rates = m_demand.RatesOf(id, now);
    loads[id].arriving_cores = rates.peak;
    loads[id].steady_cores = rates.steady;
  }
  for (const auto& [id, worker] : m_workers) {
    const auto load = loads.find(worker->Record().pool);
    const bool has_left = !worker->IsListed() && worker->Runs().empty();
    if (load == loads.end() || has_left) {
      continue;
    }
    if (!IsUsable(*worker, now)) {
      const bool is_unavailable = worker->failed_polls > 0 ||
                                  worker->is_lease_frozen ||
                                  now < worker->backoff_until;
      load->second.unavailable_workers +=
          is_unavailable && HasMachine(*worker) ? 1 : 0;
      continue;
    }
    const core::MilliCores capacity = worker->Record().capacity.processor;
    load->second.capacity_cores += internal::ToCores(capacity);
    ++load->second.ready_workers;
    load->second.running_cores +=
        internal::ToCores(capacity) -
        internal::ToCores(worker->FreeResources().processor);
  }
  for (const auto& [id, waiting] : m_waiting_jobs) {
    const auto load = loads.find(id);
    if (load == loads.end()) {
      continue;
    }
    for (const WaitingJobs::Entry& entry : waiting.Entries()) {
      AddWaitingJob(entry, load->second);
    }
  }
  std::vector<capacity::PoolLoad> result;
  result.reserve(loads.size());
  for (auto& [id, load] : loads) {
    result.push_back(std::move(load));
  }
  return result;
}

bool Scheduler::MayInterrupt(const ActiveJob& active,
                             const job::TaskKey& key) const {
  const job::Step& step = active.job.StepOf(key);
  const auto occurrence = active.job.OpenOccurrences().find(key.occurrence);
  if (!step.max_unavailable ||
      occurrence == active.job.OpenOccurrences().end()) {
    return true;
  }
  const core::TimePoint now = m_ports.clock.Now();
  std::uint32_t unavailable = 0;
  const std::vector<job::Task>& tasks =
      occurrence->second.steps[key.step].tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const job::Task& task = tasks[index];
    const bool is_available = !task.runs.empty() &&
                              !task.runs.front().is_stopping &&
                              now < task.runs.front().last_at_full_speed +
                                        internal::kFullSpeedValidity;
    unavailable += index != key.index && !is_available ? 1 : 0;
  }
  return unavailable < *step.max_unavailable;
}

}  // namespace crocusmast::scheduling
