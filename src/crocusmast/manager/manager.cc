#include "crocusmast/manager/manager.h"

#include <type_traits>
#include <unordered_set>
#include <utility>

namespace crocusmast::manager {
namespace internal {

/** @brief How often ended jobs are looked for in the store. */
constexpr std::chrono::seconds kRemovePause{5};
/** @brief The most jobs removed at a time; the store takes 32 keys a call,
 * and a job has three. */
constexpr std::size_t kMaxRemoved = 10;

}  // namespace internal

Manager::Manager(ManagerSettings settings, const ManagerPorts& ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_elector(m_settings.self,
                m_settings.patience,
                ports.leases,
                ports.clock,
                ports.logger),
      m_scheduler({ports.workers, ports.store, ports.feed, ports.tickets,
                   ports.clock, ports.logger, ports.meter}),
      m_machines(ports.machines, ports.clock, m_settings.machine_order_gap),
      m_upkeep({m_machines, m_scheduler, ports.clock, ports.logger}),
      m_balancer(
          {m_machines, m_scheduler, m_scheduler, ports.clock, ports.logger}),
      m_intake(
          {ports.store, ports.answers, ports.clock, ports.logger, ports.meter},
          m_book) {}

void Manager::Handle(Message&& message) {
  std::visit([this](auto&& one) { Take(std::forward<decltype(one)>(one)); },
             std::move(message));
}

void Manager::Tick() {
  if (!m_is_stopping) {
    m_elector.Tick();
  }
  m_intake.Tick();
  UpdateReadiness();
  RemoveEnded();
  FollowLeadership();
  RunMachines();
  m_scheduler.Round(m_elector.ConfirmedAt());
}

void Manager::Drained() {
  FollowLeadership();
  m_scheduler.Round(m_elector.ConfirmedAt());
}

void Manager::RunMachines() {
  if (m_scheduler.HasStoredNotes()) {
    m_machines.Open();
  }
  const bool is_sure = m_elector.IsSure();
  const bool has_pools =
      m_balancer.Round(is_sure, [this](const core::MachineId& machine) {
        return m_upkeep.IsTaken(machine);
      });
  const bool has_waves =
      m_upkeep.Round(is_sure, [this](const core::MachineId& machine) {
        return m_balancer.IsMoving(machine);
      });
  if (has_pools || has_waves) {
    m_scheduler.SetFleetNotes(
        {m_upkeep.Notes(), m_balancer.Notes(), std::nullopt});
  }
}

template <typename Other>
void Manager::Take(Other&& other) {
  using Kind = std::decay_t<Other>;
  if constexpr (std::is_same_v<Kind, intake::CallerRequest> ||
                std::is_same_v<Kind, job::JobWritten> ||
                std::is_same_v<Kind, job::JobRead>) {
    m_intake.Handle(std::forward<Other>(other));
  } else if constexpr (std::is_same_v<Kind, leadership::LeaseGranted> ||
                       std::is_same_v<Kind, leadership::DutyClaimed> ||
                       std::is_same_v<Kind, leadership::LeaseRenewed>) {
    m_elector.Handle(other);
  } else if constexpr (std::is_same_v<Kind, upkeep::StatusWritten> ||
                       std::is_same_v<Kind, upkeep::WaveAsked> ||
                       std::is_same_v<Kind, upkeep::WaveRemoved>) {
    m_upkeep.Handle(std::forward<Other>(other));
  } else {
    m_scheduler.Handle(std::forward<Other>(other));
  }
}

void Manager::Take(StartReplied&& replied) {
  m_scheduler.HandleStart(replied.reply);
}

void Manager::Take(StopReplied&& replied) {
  m_scheduler.HandleStop(replied.reply);
}

void Manager::Take(upkeep::MachinesListed&& listed) {
  m_balancer.Handle(listed);
  m_upkeep.Handle(std::move(listed));
}

void Manager::Take(upkeep::MachineReplied&& replied) {
  m_balancer.Handle(replied);
  m_upkeep.Handle(replied);
}

void Manager::Take(StopRequested&& stop) {
  m_is_stopping = true;
  UpdateReadiness();
  if (m_scheduler.IsActive()) {
    job::HolderNotes notes = m_scheduler.LastNotes();
    notes.fleet.last_orders = m_machines.LastOrders();
    m_ports.store.HandOver(m_token, notes);
  }
  m_elector.Resign();
  FollowLeadership();
}

void Manager::Take(DirectoryRead&& read) {
  if (m_directory && !(m_directory->Version() < read.directory->Version())) {
    return;
  }
  m_directory = std::move(read.directory);
  m_intake.SetDirectory(*m_directory);
  m_scheduler.SetDirectory(*m_directory);
  m_ports.meter.Add(core::Counter::kConfigurationsAdopted, 1);
  Log(core::Severity::kInfo,
      "Version " + std::to_string(m_directory->Version().Count()) +
          " of the configuration is in force: " +
          std::to_string(m_directory->Queues().size()) + " queues.",
      {{"event", "configuration_adopted"},
       {"version", std::to_string(m_directory->Version().Count())}});
}

void Manager::Take(StoreLink&& link) {
  Log(link.is_up ? core::Severity::kInfo : core::Severity::kWarning,
      link.is_up ? "The store can be read again."
                 : "The store can't be read: " + link.detail + ".",
      {{"event", link.is_up ? "store_regained" : "store_lost"}});
}

void Manager::Take(StoreListed&& listed) {
  bool has_duty = false;
  std::unordered_set<core::JobId> named;
  for (StoreEvent& event : listed.events) {
    if (const auto* job = std::get_if<job::JobEvent>(&event)) {
      named.insert(job::IdOf(*job));
    }
    has_duty =
        has_duty || std::holds_alternative<leadership::DutyStored>(event);
    Apply(std::move(event));
  }
  if (!has_duty) {
    m_elector.Handle(leadership::DutyVacant{listed.revision});
  }
  m_book.Retain(named);
  if (listed.holder) {
    m_holder = std::move(*listed.holder);
    m_holder_revision = listed.revision;
  }
  BookIsCurrent();
}

void Manager::Take(StoreChanged&& changed) {
  for (StoreEvent& event : changed.events) {
    Apply(std::move(event));
  }
  BookIsCurrent();
}

void Manager::Apply(StoreEvent&& event) {
  if (auto* job = std::get_if<job::JobEvent>(&event)) {
    ApplyJob(std::move(*job));
  } else if (const auto* duty = std::get_if<leadership::DutyStored>(&event)) {
    m_elector.Handle(*duty);
  } else {
    m_elector.Handle(std::get<leadership::DutyVacant>(event));
  }
}

void Manager::ApplyJob(job::JobEvent&& event) {
  const core::JobId id = job::IdOf(event);
  if (std::holds_alternative<job::CancelStored>(event)) {
    m_scheduler.CancelJob(id);
  }
  const bool is_new = std::holds_alternative<job::JobStored>(event);
  m_book.Apply(std::move(event), m_ports.clock.Now());
  const job::JobEntry* entry = is_new ? m_book.Find(id) : nullptr;
  if (entry != nullptr && !job::IsFinal(entry->State())) {
    m_scheduler.AddJob(entry->job);
  }
}

void Manager::BookIsCurrent() {
  m_book_current_at = m_ports.clock.Now();
  m_intake.BookIsCurrent(m_book_current_at);
  UpdateReadiness();
}

void Manager::FollowLeadership() {
  if (m_scheduler.IsActive() && m_scheduler.WasFenced()) {
    m_elector.Deposed("a holder with a higher token has been seen");
  }
  const core::FencingToken token =
      m_elector.MayAct() ? m_elector.Token() : core::FencingToken();
  if (m_scheduler.IsActive() && m_token != token) {
    m_scheduler.End();
    m_ports.store.SetHurry(false);
    m_upkeep.End();
    m_balancer.End();
  }
  const bool is_waiting =
      !m_scheduler.IsActive() && token != core::FencingToken() && m_directory;
  if (is_waiting && m_refreshed_for != token) {
    m_refreshed_for = token;
    m_ports.store.SetHurry(true);
    m_ports.store.Refresh();
  }
  // All that an earlier holder stored lies before this holder's claim.
  const bool may_begin =
      is_waiting && token.Count() <= m_holder_revision.Count();
  if (may_begin) {
    m_token = token;
    m_scheduler.SetDirectory(*m_directory);
    m_scheduler.Begin({token, leadership::kSchedulingLease.acting -
                                  leadership::kSchedulingLease.length},
                      m_book, m_holder);
    m_machines.Begin(m_holder.notes.fleet.last_orders);
    m_upkeep.Begin(token, m_holder.notes.fleet.waves);
    m_balancer.Begin(token, m_holder.notes.fleet.pools);
  }
}

void Manager::UpdateReadiness() {
  const bool is_ready = !m_is_stopping && m_directory &&
                        m_ports.clock.Now() < m_book_current_at + kStoreSilence;
  if (is_ready != m_is_ready) {
    m_is_ready = is_ready;
    m_ports.readiness.SetReady(is_ready);
    Log(core::Severity::kInfo,
        is_ready ? "Ready for callers." : "Not ready for callers.",
        {{"event", is_ready ? "ready" : "not_ready"}});
  }
}

void Manager::RemoveEnded() {
  const core::TimePoint now = m_ports.clock.Now();
  if (!m_scheduler.IsActive() || now < m_remove_at) {
    return;
  }
  m_remove_at = now + internal::kRemovePause;
  std::vector<core::JobId> ended;
  for (const auto& [id, entry] : m_book.Entries()) {
    if (entry.progress && job::IsFinal(entry.progress->state) &&
        entry.ended_at + scheduling::kKeepEnded < now &&
        ended.size() < internal::kMaxRemoved) {
      ended.push_back(id);
    }
  }
  if (!ended.empty()) {
    m_ports.store.Remove(m_token, ended);
  }
}

void Manager::Log(core::Severity severity,
                  std::string sentence,
                  std::vector<core::LogField> fields) const {
  if (m_ports.logger.IsEnabled(severity)) {
    m_ports.logger.Write({core::Part::kDaemon, severity, std::move(sentence),
                          std::move(fields)});
  }
}

}  // namespace crocusmast::manager
