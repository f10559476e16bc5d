#include "crocusmast/scheduling/scheduler.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {
namespace internal {

/** @brief Limit of the age that a job from an earlier term is given when its
 * deadline is set. */
constexpr std::chrono::seconds kMaxJobAge{30};

}  // namespace internal

using execution::Worker;

Scheduler::Scheduler(const SchedulerPorts& ports)
    : m_ports(ports),
      m_run_monitor(ports.meter),
      m_start_waits(ports.clock, ports.meter, ports.logger),
      m_crashes([this](const core::JobId& id) {
        const ActiveJob* active = FindJob(id);
        return active == nullptr ? nullptr : &active->job;
      }) {}

// The leadership term.

void Scheduler::BeginTerm(const SchedulingTerm& term,
                          const job::JobCatalog& catalog,
                          const job::StoredHandover& stored) {
  EndTerm();
  const job::HandoverState& handover = stored.handover;
  m_is_active = true;
  m_term = term;
  m_has_predecessor = stored.revision != core::Revision();
  const core::TimePoint now = m_ports.clock.Now();
  m_term_began_at = now;
  m_fleet_handover = handover.fleet;
  m_fleet_handover.machine_cooldowns.reset();
  m_committer.BeginTerm(stored.last_commit);
  std::chrono::milliseconds longest_lease{};
  for (const job::LeasedWorker& leased : handover.workers) {
    longest_lease = std::max(longest_lease, leased.lease_remaining);
  }
  m_inherited_workers = InheritedWorkers::Create(
      handover.workers, term.vacant_since.value_or(now));
  m_open_starts =
      OpenStarts::Restore(handover, term.vacant_since.value_or(now));
  const core::WallTime wall = m_ports.clock.WallNow();
  for (const job::BatchId& batch : catalog.Batches()) {
    m_committer.AddStoredBatch(batch);
  }
  for (const auto& [id, entry] : catalog.Entries()) {
    if (!entry.job.id.IsEmpty() && entry.progress) {
      m_committer.AddStoredProgress(id, entry.job.queue, entry.progress->state,
                                    entry.batch);
    }
    // A cancelled job is kept until its final state is stored.
    if (entry.job.id.IsEmpty() || job::IsFinal(entry.State())) {
      const bool is_unrecorded_cancellation =
          !entry.job.id.IsEmpty() && entry.is_cancelled &&
          !(entry.progress && job::IsFinal(entry.progress->state));
      if (!is_unrecorded_cancellation) {
        continue;
      }
    }
    const auto age = std::clamp<core::Duration>(wall - entry.job.accepted_at,
                                                core::Duration::zero(),
                                                internal::kMaxJobAge);
    ActiveJob& active = Insert(
        job::Job::Create(entry.job, entry.progress ? &*entry.progress : nullptr,
                         core::Attempt(term.token.Count())),
        now - age);
    active.is_start_recorded =
        entry.progress && entry.progress->state != job::JobState::kQueued;
    active.is_inherited = active.is_start_recorded;
    if (active.is_inherited && !handover.has_current_placements &&
        (entry.job.spec.HasLongRunningSteps() || entry.progress->pools)) {
      active.job.Earlier() = entry.job.spec.HasLongRunningSteps()
                                 ? job::EarlierPlacements::Unknown()
                                 : job::EarlierPlacements();
      active.job.Pools() = job::StartedPools::Restore(std::nullopt);
      m_committer.MarkChanged(id);
      m_outdated_placements.insert(id);
    }
    if (entry.is_cancelled) {
      active.job.Cancel();
      StopWaiting(active);
      m_committer.MarkChanged(id);
      m_final_jobs.insert(id);
    } else {
      AddStoredStarts(active);
    }
  }
  Log(core::Severity::kInfo,
      "Scheduling starts with fencing token " +
          std::to_string(term.token.Count()) + ": " +
          std::to_string(m_jobs.size()) + " open jobs, " +
          std::to_string(handover.workers.size()) + " workers to reconcile.",
      {{"event", "scheduling_begins"},
       {"token", std::to_string(term.token.Count())},
       {"jobs", std::to_string(m_jobs.size())},
       {"workers", std::to_string(handover.workers.size())},
       {"open_starts", std::to_string(handover.open_starts.size())},
       {"handover", handover.fleet.machine_cooldowns ? "resigned" : "active"},
       {"handover_revision", std::to_string(stored.revision.Count())},
       {"longest_lease_ms", std::to_string(longest_lease.count())}});
  m_ports.worker_watch.Subscribe();
}

void Scheduler::EndTerm() {
  if (!m_is_active) {
    return;
  }
  m_is_active = false;
  m_has_worker_list = false;
  m_has_stored_handover = false;
  m_was_fenced = false;
  m_may_start_tasks = true;
  m_waiting_jobs.clear();
  m_jobs.clear();
  m_scheduled_jobs.clear();
  m_final_jobs.clear();
  m_workers_to_retry.clear();
  m_workers_to_poll.clear();
  m_drained_workers.clear();
  m_answered_jobs.clear();
  m_is_handover_outdated = false;
  m_next_sweep_at = {};
  m_next_placement_at = {};
  m_ended_jobs.clear();
  m_tickets.Clear();
  m_crashes.Clear();
  m_demand.Clear();
  m_late_limits.clear();
  m_job_monitor.Clear();
  m_workers_by_pool.clear();
  m_free_capacity.clear();
  m_workers.clear();
  m_inherited_workers = {};
  m_open_starts = {};
  m_machine_evidence.Clear();
  m_outdated_placements.clear();
  m_pools_to_place.clear();
  m_committer.Reset();
  m_ports.worker_watch.Unsubscribe();
  Log(core::Severity::kInfo, "Scheduling stopped on this instance.",
      {{"event", "scheduling_ends"}});
}

void Scheduler::SetQueueCatalog(const queue::QueueCatalog& catalog) {
  // A removed queue keeps its last settings for its remaining jobs.
  for (const auto& [id, queue] : catalog.Queues()) {
    m_queues[id] = queue;
  }
  m_pools = catalog.Pools();
  const core::TimePoint now = m_ports.clock.Now();
  for (auto& [id, active] : m_jobs) {
    ApplyQueue(active, now);
  }
}

ActiveJob& Scheduler::Insert(job::Job job, core::TimePoint accepted_at) {
  const core::JobId id = job.Id();
  ActiveJob& active =
      m_jobs.insert_or_assign(id, ActiveJob(std::move(job))).first->second;
  ApplyQueue(active, accepted_at);
  active.job.OpenDueOccurrences(m_ports.clock.WallNow());
  if (active.job.Accepted().spec.schedule.occurrence_count > 0) {
    m_scheduled_jobs.insert(id);
  }
  return active;
}

void Scheduler::ApplyQueue(ActiveJob& active, core::TimePoint accepted_at) {
  const auto found = m_queues.find(active.job.Accepted().queue);
  if (found == m_queues.end()) {
    return;
  }
  const queue::Queue& queue = found->second;
  StopWaiting(active);
  active.pool = queue.pool;
  active.priority = queue.priority;
  active.max_attempts = queue.max_attempts;
  active.needs_tickets = queue.tickets.has_value();
  if (active.deadline == core::TimePoint()) {
    const job::JobSpec& spec = active.job.Accepted().spec;
    const std::vector<bool> all(spec.steps.size(), true);
    active.accepted_at = accepted_at;
    active.deadline = accepted_at + queue.slack;
    if (!spec.HasLongRunningSteps()) {
      active.deadline += std::chrono::duration_cast<core::Duration>(
          queue.slack_factor * PredictCriticalPath(active.job.Accepted(), all));
    }
  }
  MarkForPlacement(active);
}

void Scheduler::AddJob(const job::AcceptedJob& accepted) {
  if (!m_is_active || m_jobs.count(accepted.id) > 0 ||
      m_ended_jobs.count(accepted.id) > 0) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const auto age = std::clamp<core::Duration>(
      m_ports.clock.WallNow() - accepted.accepted_at, core::Duration::zero(),
      std::chrono::seconds(1));
  ActiveJob& active =
      Insert(job::Job::Create(accepted, nullptr, core::Attempt(0)), now - age);
  active.times.seen_at = now;
  m_run_monitor.HandleArrival(active.deadline <
                              now + RemainingCriticalPath(active));
  m_demand.Add(active.pool, EstimateCoreSeconds(accepted), now);
}

void Scheduler::CancelJob(const core::JobId& id) {
  ActiveJob* active = FindJob(id);
  if (active == nullptr || job::IsFinal(active->job.State())) {
    return;
  }
  active->job.Cancel();
  StopWaiting(*active);
  active->cancelled_at = m_ports.clock.Now();
  m_committer.MarkChanged(id);
  m_final_jobs.insert(id);
  Log(core::Severity::kInfo, "Job " + id.Text() + " was cancelled.",
      {{"event", "job_cancelled"},
       {"job", id.Text()},
       {"revision", std::to_string(m_store_view.revision.Count())},
       {"view_age_ms", ViewAgeMs()}});
  StopRuns(*active);
}

ActiveJob* Scheduler::FindJob(const core::JobId& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : &found->second;
}

// The scheduling cycle.

void Scheduler::RunCycle(core::TimePoint confirmed_at) {
  if (!m_is_active) {
    return;
  }
  LogStartPermission();
  if (m_next_sweep_at <= m_ports.clock.Now()) {
    Sweep(confirmed_at);
  }
  PlaceTasks();
  SendPolls();
  CaptureHandover();
  const auto read = [this](const core::JobId& id) {
    ActiveJob* active = FindJob(id);
    if (active == nullptr) {
      return std::optional<job::ProgressWrite>();
    }
    active->has_answered_starts = false;
    return std::optional(job::ProgressWrite{id, active->job.Accepted().queue,
                                            active->job.CaptureProgress()});
  };
  std::optional<job::Commit> commit =
      m_committer.NextCommit(m_term.token, m_ports.clock.Now(), read);
  if (commit) {
    m_ports.store.Write(std::move(*commit));
  }
  if (std::exchange(m_may_remove_jobs, false)) {
    RemoveEndedJobs();
  }
}

void Scheduler::Sweep(core::TimePoint confirmed_at) {
  const core::TimePoint now = m_ports.clock.Now();
  m_next_sweep_at = now + kSweepInterval;
  m_may_poll_any = true;
  m_may_remove_jobs = true;
  EndWorkersWithoutMachine(confirmed_at);
  if (!m_open_starts.IsEmpty()) {
    SettleOpenStarts(confirmed_at);
  }
  ExpireWorkers(confirmed_at);
  if (m_may_have_silent_workers) {
    FreezeLeasesOfSilentWorkers();
  }
  LogReports();
  const core::WallTime wall = m_ports.clock.WallNow();
  for (const core::JobId& id : m_scheduled_jobs) {
    ActiveJob* active = FindJob(id);
    if (active != nullptr && active->job.OpenDueOccurrences(wall)) {
      MarkForPlacement(*active);
      m_committer.MarkChanged(id);
    }
  }
  RetryCommands();
  StoreAnsweredStarts();
  if (m_next_placement_at <= now) {
    m_next_placement_at = now + kPlacementRetryInterval;
    UpdateAllCapacity();
    for (const auto& [pool, waiting] : m_waiting_jobs) {
      if (!waiting.Entries().empty()) {
        m_pools_to_place.insert(pool);
      }
    }
  }
}

void Scheduler::Handle(const job::CommitReply& reply) {
  if (!m_is_active) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const bool is_leader = m_committer.Handle(
      reply, now,
      [this](const core::JobId& id, job::JobState state) {
        if (ActiveJob* active = FindJob(id); active != nullptr) {
          HandleProgressStored(*active, state);
        }
      },
      [this, now](const core::InstanceId& id, core::RunEndNumber number) {
        Worker* worker = FindWorker(id);
        // A number above received_end belongs to an earlier incarnation.
        if (worker != nullptr && worker->recorded_end < number &&
            !(worker->received_end < number)) {
          worker->recorded_end = number;
          const bool is_urgent =
              !worker->Runs().empty() || worker->has_unlisted_ends;
          worker->next_poll_at = is_urgent ? now : now + kAcknowledgeDelay;
          m_workers_to_poll.insert(id);
        }
      });
  m_may_remove_jobs = true;
  if (reply.outcome == job::StoreOutcome::kDone) {
    if (const auto handover = m_committer.TakeStoredHandover(); handover) {
      HandleHandoverStored(*handover, reply.revision);
    }
  } else {
    Log(core::Severity::kWarning,
        "Commit " + std::to_string(reply.sequence) + " failed: " +
            std::string(job::StoreOutcomeName(reply.outcome)) + ".",
        {{"event", "commit_not_done"},
         {"outcome", std::string(job::StoreOutcomeName(reply.outcome))}});
  }
  m_was_fenced = m_was_fenced || !is_leader;
}

void Scheduler::RemoveEndedJobs() {
  for (auto next = m_final_jobs.begin(); next != m_final_jobs.end();) {
    const core::JobId& id = *next;
    ActiveJob* active = FindJob(id);
    const bool may_change = active != nullptr && (m_committer.IsChanged(id) ||
                                                  active->job.HasRuns());
    if (may_change) {
      ++next;
      continue;
    }
    m_tickets.RemoveJob(id);
    m_ended_jobs.insert(id);
    m_scheduled_jobs.erase(id);
    if (active != nullptr) {
      StopWaiting(*active);
      m_jobs.erase(id);
    }
    next = m_final_jobs.erase(next);
  }
}

std::string Scheduler::ViewAgeMs() const {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            m_ports.clock.Now() - m_store_view.complete_at)
                            .count());
}

void Scheduler::Log(core::Severity severity,
                    std::string message,
                    std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(severity)) {
    m_ports.logger.Write({core::Component::kScheduling, severity,
                          std::move(message), std::move(fields)});
  }
}

}  // namespace crocusmast::scheduling
