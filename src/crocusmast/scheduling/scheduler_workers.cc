#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"
#include "crocusmast/scheduling/worker_eligibility.h"

// Membership of workers, and reconciliation with earlier leadership terms.

namespace crocusmast::scheduling {

using execution::Worker;

void Scheduler::Handle(WorkerListReceived&& list) {
  if (!m_is_active) {
    return;
  }
  std::set<core::InstanceId> listed_ids;
  for (execution::WorkerRecord& worker : list.workers) {
    listed_ids.insert(worker.id);
    Handle(WorkerUpdated{std::move(worker)});
  }
  for (const auto& [id, worker] : m_workers) {
    if (listed_ids.count(id) == 0) {
      Handle(WorkerRemoved{id});
    }
  }
  m_has_worker_list = true;
  StoreHandover();
}

void Scheduler::Handle(WorkerUpdated&& update) {
  if (!m_is_active) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const core::InstanceId id = update.worker.id;
  const core::PoolId pool = update.worker.pool;
  Worker* known = FindWorker(id);
  const bool is_new_worker = known == nullptr;
  bool is_new_incarnation = is_new_worker;
  if (known == nullptr) {
    known = m_workers
                .emplace(
                    id, std::make_unique<Worker>(std::move(update.worker), now))
                .first->second.get();
    m_workers_by_pool[pool].push_back(known);
    // This leader has sent it no command that may still be executed, since it
    // keeps workers for that long. Those that join later get a token when they
    // are stored, like later incarnations: one that was erased has seen others.
    if (!m_has_worker_list || m_inherited_workers.Find(id) != nullptr) {
      known->SetToken(m_term.token);
    }
  } else if (known->Record().incarnation < update.worker.incarnation) {
    const core::PoolId before = known->Record().pool;
    BeginIncarnation(*known, std::move(update.worker), "it has restarted");
    MoveToPool(*known, before);
    is_new_incarnation = true;
  } else {
    const bool was_draining = known->Record().is_draining;
    const bool was_listed = known->IsListed();
    const core::PoolId before = known->Record().pool;
    known->Update(std::move(update.worker), now);
    MoveToPool(*known, before);
    if (!was_draining && known->Record().is_draining) {
      Log(core::Severity::kInfo, "Worker " + id.Text() + " is draining.",
          {{"event", "worker_leaving"}, {"worker", id.Text()}});
    }
    GiveUpUnsentRunsOverCapacity(*known);
    if (!was_listed) {
      known->next_poll_at = std::min(known->next_poll_at, now);
    }
    if (!was_listed && known->Runs().empty()) {
      // The handover state may have left it out meanwhile.
      known->is_recorded_in_store = false;
      if (m_has_worker_list) {
        StoreHandover();
      }
    }
  }
  m_pools_to_place.insert(pool);
  m_workers_to_poll.insert(id);
  UpdateCapacity(*known);
  if (!is_new_incarnation) {
    return;
  }
  if (is_new_worker) {
    SettleCrash(id, known->Record().incarnation);
  }
  Log(core::Severity::kInfo, "Worker " + id.Text() + " has joined.",
      {{"event", "worker_joined"},
       {"worker", id.Text()},
       {"pool", pool.Text()},
       {"incarnation", std::to_string(known->Record().incarnation.Count())}});
  // Commands to earlier incarnations, of this leader or of an earlier one, may
  // be executed by this one: it is polled before it is used.
  known->is_reconciled = is_new_worker &&
                         m_inherited_workers.Find(id) == nullptr &&
                         !(m_has_predecessor &&
                           now < m_term_began_at + execution::kMaxCommandDelay);
  UpdateCapacity(*known);
  if (m_has_worker_list) {
    StoreHandover();
  }
}

void Scheduler::MoveToPool(Worker& worker, const core::PoolId& from) {
  const core::PoolId& to = worker.Record().pool;
  if (from == to) {
    return;
  }
  m_free_capacity[from].Remove(worker);
  std::vector<Worker*>& before = m_workers_by_pool[from];
  before.erase(std::remove(before.begin(), before.end(), &worker),
               before.end());
  m_workers_by_pool[to].push_back(&worker);
}

void Scheduler::UpdateCapacity(Worker& worker) {
  m_free_capacity[worker.Record().pool].Update(
      worker, IsUsable(worker, m_ports.clock.Now()));
}

void Scheduler::UpdateAllCapacity() {
  for (const auto& [id, worker] : m_workers) {
    UpdateCapacity(*worker);
  }
  for (auto& [pool, capacity] : m_free_capacity) {
    capacity.TightenMaxFree();
  }
}

void Scheduler::Handle(const WorkerRemoved& removal) {
  Worker* worker = FindWorker(removal.worker);
  if (worker != nullptr && worker->IsListed()) {
    worker->MarkUnlisted();
    Log(core::Severity::kInfo,
        "Worker " + removal.worker.Text() + " left the membership list.",
        {{"event", "worker_unlisted"},
         {"worker", removal.worker.Text()},
         {"runs", std::to_string(worker->Runs().size())}});
  }
}

job::HandoverState Scheduler::MakeHandover(bool stays_active) const {
  const core::TimePoint now = m_ports.clock.Now();
  const auto remaining = [now](core::TimePoint until) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(until - now, core::Duration::zero()));
  };
  job::HandoverState handover;
  handover.leader = m_term.token;
  handover.fleet = m_fleet_handover;
  handover.has_current_placements = m_outdated_placements.empty();
  for (const auto& [id, worker] : m_workers) {
    // An empty worker that is cordoned or unlisted gets no further runs.
    const InheritedWorkers::Worker* inherited = m_inherited_workers.Find(id);
    const bool is_empty = worker->Runs().empty() && inherited == nullptr;
    if (is_empty && (worker->is_cordoned || !worker->IsListed())) {
      continue;
    }
    std::chrono::milliseconds lease =
        remaining(worker->RunsEndAt(m_term.max_worker_lease));
    if (inherited != nullptr) {
      lease = std::max(lease, remaining(inherited->leased_until));
    }
    const bool may_grant_leases =
        stays_active && !(worker->is_lease_frozen && worker->failed_polls > 0);
    handover.workers.push_back(
        {id, worker->Record().incarnation, worker->Record().pool,
         may_grant_leases ? std::max(lease, LongestLease()) : lease});
  }
  for (const auto& [id, inherited] : m_inherited_workers.All()) {
    if (m_workers.count(id) == 0) {
      handover.workers.push_back({id, inherited.incarnation, inherited.pool,
                                  remaining(inherited.leased_until)});
    }
  }
  OpenStarts open = m_open_starts;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [key, run] : worker->Runs()) {
      // The job's record has the starts in flight of a leader that stays.
      const bool is_in_flight = run.unanswered_start_until <= now;
      if (run.HasOpenStart(now) && !(stays_active && is_in_flight)) {
        open.Add(OpenStart::Of(id, key, run, m_term.max_worker_lease));
      }
    }
  }
  open.AppendTo(now, handover.open_starts);
  handover.has_all_open_starts = !stays_active;
  return handover;
}

std::chrono::milliseconds Scheduler::LongestLease() const {
  // A leader that stays active may grant its last lease right before it stops,
  // and start its last task kMaxStartViewAge after it was last confirmed.
  const core::Duration polled = m_term.deposed_leader_grace +
                                execution::WithClockDrift(kWorkerLeaseLength);
  const core::Duration started =
      kMaxStartViewAge + execution::WithClockDrift(m_term.max_worker_lease);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(polled, started));
}

void Scheduler::FreezeLeasesOfSilentWorkers() {
  const core::TimePoint now = m_ports.clock.Now();
  bool has_frozen = false;
  for (const auto& [id, worker] : m_workers) {
    if (worker->failed_polls > 0 && !worker->is_lease_frozen &&
        worker->silent_since + kLeaseFreezeDelay <= now) {
      worker->is_lease_frozen = true;
      has_frozen = true;
    }
  }
  if (has_frozen && m_has_worker_list) {
    StoreHandover();
  }
}

job::HandoverState Scheduler::FinalHandoverState() const {
  return MakeHandover(false);
}

void Scheduler::CaptureHandover() {
  // It describes every worker, so it is captured once for each commit, however
  // many events have changed it.
  if (m_is_handover_outdated && !m_committer.IsInFlight()) {
    m_is_handover_outdated = false;
    m_committer.SetHandover(MakeHandover(true));
  }
}

void Scheduler::HandleHandoverStored(const job::HandoverState& handover,
                                     core::Revision revision) {
  m_may_poll_any = true;
  // Commits need the leader's claim, so that their revisions are above its
  // token and below the token of any successor.
  const core::FencingToken token(revision.Count());
  m_has_stored_handover = m_has_stored_handover || !handover.workers.empty();
  for (const job::LeasedWorker& stored : handover.workers) {
    Worker* worker = FindWorker(stored.worker);
    if (worker == nullptr ||
        worker->Record().incarnation != stored.incarnation) {
      continue;
    }
    const bool may_thaw = worker->is_lease_frozen &&
                          worker->failed_polls == 0 &&
                          LongestLease() <= stored.lease_remaining;
    if (!worker->IsAddressable() && !(m_term.token < token)) {
      StoreHandover();
      continue;
    }
    worker->SetToken(token);
    if (may_thaw || !worker->is_recorded_in_store) {
      worker->is_lease_frozen = worker->is_lease_frozen && !may_thaw;
      worker->is_recorded_in_store = true;
      UpdateCapacity(*worker);
      m_pools_to_place.insert(stored.pool);
    }
  }
}

void Scheduler::SetFleetHandover(job::FleetHandover handover) {
  m_fleet_handover = std::move(handover);
  if (m_is_active && m_has_worker_list) {
    StoreHandover();
  }
}

Worker* Scheduler::FindWorker(const core::InstanceId& id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : found->second.get();
}

void Scheduler::MarkReconciled(const core::InstanceId& id, const char* reason) {
  const std::optional<InheritedWorkers::Worker> reconciled =
      m_inherited_workers.Remove(id);
  if (!reconciled) {
    return;
  }
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_ports.clock.Now() - m_term_began_at);
  Log(core::Severity::kInfo,
      "Reconciled worker " + id.Text() +
          " with the previous leader's runs: " + reason + ".",
      {{"event", "worker_settled"},
       {"worker", id.Text()},
       {"pool", reconciled->pool.Text()},
       {"evidence", reason},
       {"incarnation", std::to_string(reconciled->incarnation.Count())},
       {"lease_left_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           reconciled->leased_until - m_ports.clock.Now())
                           .count())},
       {"waited_ms", std::to_string(waited.count())}});
  m_pools_to_place.insert(reconciled->pool);
}

void Scheduler::ExpireWorkers(core::TimePoint confirmed_at) {
  m_crashes.Forget(m_ports.clock.Now());
  const core::Duration vacancy =
      m_term_began_at - m_term.vacant_since.value_or(m_term_began_at);
  for (const core::InstanceId& id : m_inherited_workers.Expired(confirmed_at)) {
    Worker* worker = FindWorker(id);
    // A worker that replies to the first poll tells the ends of its runs, which
    // must not be run again.
    const bool may_reply = worker == nullptr
                               ? !m_has_worker_list
                               : worker->IsListed() && !worker->failed_polls;
    // The rest of its ends follows in its next replies.
    const bool is_replying =
        worker != nullptr && worker->has_unlisted_ends &&
        (worker->failed_polls == 0 || !worker->HasLeaseExpired(confirmed_at));
    if (is_replying) {
      continue;
    }
    if (may_reply &&
        confirmed_at < m_inherited_workers.Find(id)->leased_until + vacancy) {
      continue;
    }
    MarkReconciled(id, "all leases it may have held have expired");
  }
  m_may_have_silent_workers = false;
  for (auto next = m_workers.begin(); next != m_workers.end();) {
    Worker& worker = *next->second;
    m_may_have_silent_workers =
        m_may_have_silent_workers || worker.failed_polls > 0;
    if (!worker.Runs().empty() && !worker.HasOnlyHeldRuns() &&
        worker.HasLeaseExpired(confirmed_at)) {
      EndIncarnation(worker, {IncarnationEnd::Evidence::kLeaseExpired,
                              "its lease has expired"});
    }
    for (const execution::RunKey& key : worker.ExpiredHeldRuns(confirmed_at)) {
      EndRun(worker, key,
             {job::RunOutcome::kLost,
              "every lease that any incarnation may have granted has expired",
              "", true});
    }
    const bool is_removable =
        !worker.IsListed() && worker.Runs().empty() &&
        m_inherited_workers.Find(next->first) == nullptr &&
        !worker.MayReceiveLateCommands(m_ports.clock.Now()) &&
        !m_crashes.IsUncertain(next->first);
    if (!is_removable) {
      ++next;
      continue;
    }
    m_free_capacity[worker.Record().pool].Remove(worker);
    std::vector<Worker*>& pool = m_workers_by_pool[worker.Record().pool];
    pool.erase(std::remove(pool.begin(), pool.end(), &worker), pool.end());
    next = m_workers.erase(next);
  }
}

}  // namespace crocusmast::scheduling
