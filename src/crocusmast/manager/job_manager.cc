#include "crocusmast/manager/job_manager.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <unordered_set>
#include <utility>

namespace crocusmast::manager {
namespace internal {

/** @brief Interval at which finished jobs are removed from the store. */
constexpr std::chrono::seconds kCleanupInterval{5};
/**
 * @brief Maximum number of jobs removed per call: the store accepts 32 keys in
 * a call, and a job has three.
 */
constexpr std::size_t kMaxRemovedPerCall = 10;

}  // namespace internal

JobManager::JobManager(JobManagerSettings settings,
                       const JobManagerPorts& ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_elector(m_settings.self,
                m_settings.claim_delay,
                ports.leases,
                ports.clock,
                ports.logger),
      m_resignation({ports.store, ports.clock, ports.logger, ports.meter}),
      m_scheduler({ports.workers, ports.store, ports.worker_watch,
                   ports.tickets, ports.clock, ports.logger, ports.meter}),
      m_machine_port(ports.machines,
                     ports.clock,
                     m_settings.machine_command_cooldown),
      m_upkeep({m_machine_port, m_scheduler, ports.clock, ports.logger}),
      m_balancer({m_machine_port, m_scheduler, m_scheduler, ports.clock,
                  ports.logger}),
      m_request_handler({ports.store, ports.responses, ports.clock,
                         ports.logger, ports.meter},
                        m_job_catalog) {}

void JobManager::Handle(Message&& message) {
  std::visit(
      [this](auto&& content) { On(std::forward<decltype(content)>(content)); },
      std::move(message));
}

void JobManager::Tick() {
  if (!m_is_stopping || m_resignation.IsPending()) {
    m_elector.Tick();
  }
  if (m_resignation.IsPending()) {
    m_resignation.Tick();
    FinishResignation();
  }
  m_request_handler.Tick();
  UpdateReadiness();
  RemoveFinishedJobs();
  UpdateLeadership();
  ManageMachines();
  m_scheduler.RunCycle(m_elector.ConfirmedAt());
}

void JobManager::OnRingEmpty() {
  UpdateLeadership();
  m_scheduler.RunCycle(m_elector.ConfirmedAt());
}

// A lost reply leaves the scheduler waiting for it. The next term reads the
// store, the workers and the machines anew.
void JobManager::OnMessagesLost() {
  Log(core::Severity::kError,
      "Messages to the manager were lost because a queue was full.",
      {{"event", "messages_lost"}});
  if (!m_is_stopping) {
    BeginResignation();
    if (!m_resignation.IsPending()) {
      m_elector.StepDown("messages were lost");
      UpdateLeadership();
    }
  }
}

void JobManager::BeginResignation() {
  if (!m_scheduler.IsActive()) {
    return;
  }
  job::HandoverState handover = m_scheduler.FinalHandoverState();
  handover.fleet.machine_cooldowns = m_machine_port.RemainingCooldowns();
  m_elector.StopActing();
  UpdateLeadership();
  m_resignation.Begin(m_token, std::move(handover));
}

void JobManager::FinishResignation() {
  if (m_resignation.IsPending()) {
    return;
  }
  if (m_is_stopping) {
    m_elector.Resign();
    m_has_resigned.store(true);
  } else {
    m_elector.ReleaseLease();
  }
}

void JobManager::ManageMachines() {
  if (m_scheduler.HasStoredHandover()) {
    m_machine_port.EnableCommands();
  }
  const bool is_lease_valid = m_elector.IsLeaseValid();
  const bool has_new_pool_sizes = m_balancer.RunCycle(
      is_lease_valid, [this](const core::MachineId& machine) {
        return m_upkeep.IsReserved(machine);
      });
  m_scheduler.SetLateLimits(m_balancer.LimitsOfLateJobs());
  const bool has_new_wave_progress =
      m_upkeep.RunCycle(is_lease_valid, [this](const core::MachineId& machine) {
        return m_balancer.IsMoving(machine);
      });
  if (m_scheduler.IsActive()) {
    std::set<core::InstanceId> drained = m_balancer.DrainedWorkers();
    drained.merge(m_upkeep.DrainedWorkers());
    m_scheduler.ReleaseDrainedWorkers(drained);
  }
  if (has_new_pool_sizes || has_new_wave_progress) {
    m_scheduler.SetFleetHandover(
        {m_upkeep.Progress(), m_balancer.PoolSizes(), std::nullopt});
  }
  if (m_scheduler.NeedsMachineList(m_machine_port.ListRequestedAt())) {
    m_machine_port.RequestMachineList();
  }
  if (auto record = m_machine_port.NextRecord(); record) {
    m_scheduler.SetCommandedMachines(std::move(*record));
  }
}

template <typename Content>
void JobManager::On(Content&& content) {
  using Type = std::decay_t<Content>;
  if constexpr (std::is_same_v<Type, intake::CallerRequest> ||
                std::is_same_v<Type, job::JobWriteReply> ||
                std::is_same_v<Type, job::JobReadReply>) {
    m_request_handler.Handle(std::forward<Content>(content));
  } else if constexpr (std::is_same_v<Type, leadership::LeaseGrantReply> ||
                       std::is_same_v<Type, leadership::LeadershipClaimReply> ||
                       std::is_same_v<Type, leadership::LeaseRenewalReply>) {
    m_elector.Handle(content);
  } else if constexpr (std::is_same_v<Type, upkeep::WaveStatusReply> ||
                       std::is_same_v<Type, upkeep::WaveRequested> ||
                       std::is_same_v<Type, upkeep::WaveRemoved>) {
    m_upkeep.Handle(std::forward<Content>(content));
  } else {
    m_scheduler.Handle(std::forward<Content>(content));
  }
}

void JobManager::On(StartReplyReceived&& message) {
  m_scheduler.HandleStartReply(message.reply);
}

void JobManager::On(StopReplyReceived&& message) {
  m_scheduler.HandleStopReply(message.reply);
}

void JobManager::On(CpuShareReplyReceived&& message) {
  m_scheduler.HandleCpuShareReply(message.reply);
}

void JobManager::On(upkeep::MachineListReceived&& list) {
  m_scheduler.Handle(list);
  m_balancer.Handle(list);
  m_upkeep.Handle(std::move(list));
}

void JobManager::On(job::CommitReply&& reply) {
  m_scheduler.Handle(reply);
  if (const auto record = m_scheduler.TakeStoredCommandedMachines(); record) {
    m_machine_port.HandleStored(*record);
    m_balancer.RequestAnnouncedMoves(m_elector.IsLeaseValid());
  }
}

void JobManager::On(upkeep::MachineCommandReply&& reply) {
  m_machine_port.Handle(reply);
  m_balancer.Handle(reply);
  m_upkeep.Handle(reply);
}

void JobManager::On(ShutdownRequested&& message) {
  m_is_stopping = true;
  UpdateReadiness();
  BeginResignation();
  FinishResignation();
  UpdateLeadership();
}

void JobManager::On(job::HandoverReply&& reply) {
  if (m_resignation.IsPending()) {
    m_resignation.Handle(reply);
    FinishResignation();
  }
}

void JobManager::On(QueueCatalogLoaded&& loaded) {
  if (m_queue_catalog &&
      !(m_queue_catalog->Version() < loaded.catalog->Version())) {
    return;
  }
  m_queue_catalog = std::move(loaded.catalog);
  m_request_handler.SetQueueCatalog(*m_queue_catalog);
  m_scheduler.SetQueueCatalog(*m_queue_catalog);
  m_ports.meter.Add(core::Counter::kConfigurationsAdopted, 1);
  Log(core::Severity::kInfo,
      "Version " + std::to_string(m_queue_catalog->Version().Count()) +
          " of the configuration is in force: " +
          std::to_string(m_queue_catalog->Queues().size()) + " queues.",
      {{"event", "configuration_adopted"},
       {"version", std::to_string(m_queue_catalog->Version().Count())}});
}

void JobManager::On(StoreConnectionChanged&& message) {
  const auto view_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_ports.clock.Now() - m_store_view.complete_at);
  Log(message.is_up ? core::Severity::kInfo : core::Severity::kWarning,
      message.is_up ? "The store connection is restored."
                    : "The store connection is lost: " + message.detail + ".",
      {{"event", message.is_up ? "store_regained" : "store_lost"},
       {"view_age_ms", std::to_string(view_age.count())}});
}

void JobManager::On(StoreListReceived&& list) {
  SetStoreView(list.revision, list.complete_at);
  bool has_leader = false;
  std::unordered_set<core::JobId> listed_ids;
  std::set<job::BatchId> listed_batches;
  for (StoreEvent& event : list.events) {
    if (const auto* job = std::get_if<job::JobEvent>(&event)) {
      // A batch may still contain jobs that have been removed.
      const auto* progress = std::get_if<job::ProgressStored>(job);
      if (progress == nullptr || !progress->batch) {
        listed_ids.insert(job::JobIdOf(*job));
      }
    } else if (const auto* batch = std::get_if<job::BatchStored>(&event)) {
      listed_batches.insert(batch->id);
    }
    has_leader =
        has_leader || std::holds_alternative<leadership::LeaderObserved>(event);
    Apply(std::move(event));
  }
  if (!has_leader) {
    m_elector.Handle(leadership::LeadershipVacant{list.revision});
  }
  m_job_catalog.RetainOnly(listed_ids, listed_batches);
  if (list.handover) {
    m_stored_handover = std::move(*list.handover);
    m_stored_handover_revision = list.revision;
  }
  UpdateReadiness();
}

void JobManager::On(StoreChangesReceived&& changes) {
  SetStoreView(changes.revision, changes.complete_at);
  for (StoreEvent& event : changes.events) {
    Apply(std::move(event));
  }
  UpdateReadiness();
}

void JobManager::SetStoreView(core::Revision revision,
                              core::TimePoint complete_at) {
  m_store_view.revision = std::max(m_store_view.revision, revision);
  m_store_view.complete_at = std::max(m_store_view.complete_at, complete_at);
  m_view_complete_at.store(m_store_view.complete_at);
  m_scheduler.SetStoreView(m_store_view);
  m_request_handler.SetJobsCompleteAt(m_store_view.complete_at);
}

void JobManager::Apply(StoreEvent&& event) {
  if (auto* job = std::get_if<job::JobEvent>(&event)) {
    ApplyJob(std::move(*job));
  } else if (const auto* stored = std::get_if<job::BatchStored>(&event)) {
    m_job_catalog.Apply(*stored);
  } else if (const auto* removed = std::get_if<job::BatchRemoved>(&event)) {
    m_job_catalog.Apply(*removed);
  } else if (const auto* leader =
                 std::get_if<leadership::LeaderObserved>(&event)) {
    m_elector.Handle(*leader);
  } else {
    m_elector.Handle(std::get<leadership::LeadershipVacant>(event));
  }
}

void JobManager::ApplyJob(job::JobEvent&& event) {
  const core::JobId id = job::JobIdOf(event);
  if (std::holds_alternative<job::CancellationStored>(event)) {
    m_scheduler.CancelJob(id);
  }
  const bool is_new = std::holds_alternative<job::JobStored>(event);
  m_job_catalog.Apply(std::move(event), m_ports.clock.Now());
  const job::JobEntry* entry = is_new ? m_job_catalog.Find(id) : nullptr;
  if (entry != nullptr && !job::IsFinal(entry->State())) {
    m_scheduler.AddJob(entry->job);
  }
}

void JobManager::UpdateLeadership() {
  if (m_scheduler.IsActive() && m_scheduler.WasFenced()) {
    m_elector.OnSuperseded("a leader with a higher token was observed");
  }
  const core::FencingToken token =
      m_elector.MayAct() ? m_elector.Token() : core::FencingToken();
  if (m_scheduler.IsActive() && m_token != token) {
    m_scheduler.EndTerm();
    m_ports.store.SetFastPolling(false);
    m_machine_port.EndTerm();
    m_upkeep.EndTerm();
    m_balancer.EndTerm();
  }
  const bool is_waiting = !m_scheduler.IsActive() &&
                          token != core::FencingToken() && m_queue_catalog;
  if (is_waiting && m_refresh_requested_for != token) {
    m_refresh_requested_for = token;
    m_ports.store.SetFastPolling(true);
    m_ports.store.Refresh();
  }
  // A list read at or after the revision of this leader's claim contains
  // everything that an earlier leader stored.
  const bool may_begin =
      is_waiting && token.Count() <= m_stored_handover_revision.Count();
  if (may_begin) {
    m_token = token;
    m_scheduler.SetQueueCatalog(*m_queue_catalog);
    m_scheduler.BeginTerm({token,
                           leadership::kSchedulingLease.renew_deadline -
                               leadership::kSchedulingLease.duration,
                           m_elector.VacantSince(m_stored_handover.revision),
                           m_settings.max_worker_lease},
                          m_job_catalog, m_stored_handover);
    m_machine_port.BeginTerm(token, m_stored_handover);
    LogBlockedMachines();
    m_upkeep.BeginTerm(token, m_stored_handover.handover.fleet.waves);
    m_balancer.BeginTerm(token, m_stored_handover.handover.fleet.pools);
  }
}

void JobManager::LogBlockedMachines() const {
  const std::optional<std::size_t> blocked = m_machine_port.CountBlocked();
  const std::string count = blocked ? std::to_string(*blocked) : "all";
  Log(core::Severity::kInfo,
      "Machines that may not be commanded yet, because an earlier leader may "
      "have commanded them: " +
          count + ".",
      {{"event", "machines_blocked"}, {"machines", count}});
}

void JobManager::UpdateReadiness() {
  const bool is_ready =
      !m_is_stopping && m_queue_catalog &&
      m_ports.clock.Now() < m_store_view.complete_at + kMaxStoreStaleness;
  if (is_ready != m_is_ready) {
    m_is_ready = is_ready;
    m_ports.readiness.SetReady(is_ready);
    Log(core::Severity::kInfo,
        is_ready ? "Ready for requests." : "Not ready for requests.",
        {{"event", is_ready ? "ready" : "not_ready"}});
  }
}

void JobManager::RemoveFinishedJobs() {
  const core::TimePoint now = m_ports.clock.Now();
  if (!m_scheduler.IsActive() || now < m_next_cleanup_at) {
    return;
  }
  m_next_cleanup_at = now + internal::kCleanupInterval;
  std::vector<core::JobId> finished;
  for (const auto& [id, entry] : m_job_catalog.Entries()) {
    if (entry.progress && job::IsFinal(entry.progress->state) &&
        entry.ended_at + scheduling::kEndedJobRetention < now &&
        finished.size() < internal::kMaxRemovedPerCall) {
      finished.push_back(id);
    }
  }
  if (!finished.empty()) {
    m_ports.store.Remove(m_token, finished);
  }
}

void JobManager::Log(core::Severity severity,
                     std::string sentence,
                     std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(severity)) {
    m_ports.logger.Write({core::Component::kDaemon, severity,
                          std::move(sentence), std::move(fields)});
  }
}

}  // namespace crocusmast::manager
