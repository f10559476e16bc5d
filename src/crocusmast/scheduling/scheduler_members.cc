#include <algorithm>
#include <utility>

#include "crocusmast/scheduling/scheduler.h"

// Which workers there are, and what is left of earlier holds on them.

namespace crocusmast::scheduling {

using execution::Worker;

void Scheduler::Handle(WorkersListed&& listed) {
  if (!m_is_active) {
    return;
  }
  std::set<core::InstanceId> named;
  for (execution::WorkerRecord& worker : listed.workers) {
    named.insert(worker.id);
    Handle(WorkerSeen{std::move(worker)});
  }
  for (const auto& [id, worker] : m_workers) {
    if (named.count(id) == 0) {
      Handle(WorkerUnlisted{id});
    }
  }
  m_has_members = true;
  StoreNotes();
}

void Scheduler::Handle(WorkerSeen&& seen) {
  if (!m_is_active) {
    return;
  }
  const core::TimePoint now = m_ports.clock.Now();
  const core::InstanceId id = seen.worker.id;
  const core::PoolId pool = seen.worker.pool;
  Worker* known = FindWorker(id);
  bool is_new_life = known == nullptr;
  if (known == nullptr) {
    known =
        m_workers
            .emplace(id, std::make_unique<Worker>(std::move(seen.worker), now))
            .first->second.get();
    m_by_pool[pool].push_back(known);
  } else if (known->Record().incarnation < seen.worker.incarnation) {
    EndLife(*known, "it has started anew");
    known->Update(std::move(seen.worker), now);
    is_new_life = true;
  } else {
    const bool was_draining = known->Record().is_draining;
    known->Update(std::move(seen.worker), now);
    if (!was_draining && known->Record().is_draining) {
      Log(core::Severity::kInfo, "Worker " + id.Text() + " is leaving.",
          {{"event", "worker_leaving"}, {"worker", id.Text()}});
    }
  }
  m_open_pools.insert(pool);
  if (!is_new_life) {
    return;
  }
  Log(core::Severity::kInfo, "Worker " + id.Text() + " has joined.",
      {{"event", "worker_joined"},
       {"worker", id.Text()},
       {"pool", pool.Text()},
       {"incarnation", std::to_string(known->Record().incarnation.Count())}});
  const auto unsettled = m_unsettled.find(id);
  const bool may_hold_runs =
      unsettled != m_unsettled.end() &&
      !(unsettled->second.incarnation < known->Record().incarnation);
  known->is_adopted = !may_hold_runs;
  if (unsettled != m_unsettled.end() && !may_hold_runs) {
    Settle(id, "a later life of it has joined");
  }
  if (m_has_members) {
    StoreNotes();
  }
}

void Scheduler::Handle(const WorkerUnlisted& unlisted) {
  Worker* worker = FindWorker(unlisted.worker);
  if (worker != nullptr && worker->IsListed()) {
    worker->Unlist();
    Log(core::Severity::kInfo,
        "Worker " + unlisted.worker.Text() + " is no longer listed.",
        {{"event", "worker_unlisted"},
         {"worker", unlisted.worker.Text()},
         {"runs", std::to_string(worker->Runs().size())}});
  }
}

job::HolderNotes Scheduler::MakeNotes(bool acts_on) const {
  const core::TimePoint now = m_ports.clock.Now();
  const auto left = [now](core::TimePoint until) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(until - now, core::Duration::zero()));
  };
  // The last lease of a holder that acts on is given right before it stops.
  const std::chrono::milliseconds longest =
      m_reign.deposed_acting +
      kHold * (100 + execution::kSlowClockPercent + 1) / 100;
  job::HolderNotes notes;
  notes.fleet = m_fleet_notes;
  for (const auto& [id, worker] : m_workers) {
    // Nothing runs on a worker that was emptied for good, nor will.
    const bool is_empty = worker->Runs().empty() && m_unsettled.count(id) == 0;
    if (is_empty && (worker->is_cordoned || !worker->IsListed())) {
      continue;
    }
    const auto unsettled = m_unsettled.find(id);
    std::chrono::milliseconds lease = left(worker->LapsedAt());
    if (unsettled != m_unsettled.end()) {
      lease = std::max(lease, left(unsettled->second.until));
    }
    notes.workers.push_back({id, worker->Record().incarnation,
                             worker->Record().pool,
                             acts_on ? std::max(lease, longest) : lease});
  }
  for (const auto& [id, unsettled] : m_unsettled) {
    if (m_workers.count(id) == 0) {
      notes.workers.push_back(
          {id, unsettled.incarnation, unsettled.pool, left(unsettled.until)});
    }
  }
  return notes;
}

job::HolderNotes Scheduler::LastNotes() const {
  return MakeNotes(false);
}

void Scheduler::StoreNotes() {
  job::HolderNotes notes = MakeNotes(true);
  m_noted_workers = notes.workers;
  m_committer.SetNotes(std::move(notes));
}

void Scheduler::TakeNotesStored() {
  m_has_stored_notes = m_has_stored_notes || !m_noted_workers.empty();
  for (const job::GrantedWorker& noted : std::exchange(m_noted_workers, {})) {
    Worker* worker = FindWorker(noted.worker);
    if (worker != nullptr &&
        worker->Record().incarnation == noted.incarnation &&
        !worker->is_noted) {
      worker->is_noted = true;
      m_open_pools.insert(noted.pool);
    }
  }
}

void Scheduler::SetFleetNotes(job::FleetNotes notes) {
  m_fleet_notes = std::move(notes);
  if (m_is_active && m_has_members) {
    StoreNotes();
  }
}

Worker* Scheduler::FindWorker(const core::InstanceId& id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : found->second.get();
}

void Scheduler::Settle(const core::InstanceId& id, const char* evidence) {
  const auto unsettled = m_unsettled.find(id);
  if (unsettled == m_unsettled.end()) {
    return;
  }
  Log(core::Severity::kInfo,
      "What the earlier holder had on worker " + id.Text() +
          " is known: " + evidence + ".",
      {{"event", "worker_settled"}, {"worker", id.Text()}});
  m_open_pools.insert(unsettled->second.pool);
  m_unsettled.erase(unsettled);
}

bool Scheduler::IsPoolSettled(const core::PoolId& pool) const {
  return std::none_of(
      m_unsettled.begin(), m_unsettled.end(),
      [&pool](const auto& one) { return one.second.pool == pool; });
}

void Scheduler::ExpireWorkers(core::TimePoint confirmed_at) {
  std::vector<core::InstanceId> settled;
  for (const auto& [id, unsettled] : m_unsettled) {
    if (unsettled.until <= confirmed_at) {
      settled.push_back(id);
    }
  }
  for (const core::InstanceId& id : settled) {
    if (Worker* worker = FindWorker(id); worker != nullptr) {
      worker->is_adopted = true;
    }
    Settle(id, "every lease that it may have had has lapsed");
  }
  for (auto next = m_workers.begin(); next != m_workers.end();) {
    Worker& worker = *next->second;
    if (!worker.Runs().empty() && worker.HasLapsed(confirmed_at)) {
      EndLife(worker, "its lease has lapsed");
    }
    const bool is_over = !worker.IsListed() && worker.Runs().empty() &&
                         m_unsettled.count(next->first) == 0;
    if (!is_over) {
      ++next;
      continue;
    }
    std::vector<Worker*>& pool = m_by_pool[worker.Record().pool];
    pool.erase(std::remove(pool.begin(), pool.end(), &worker), pool.end());
    next = m_workers.erase(next);
  }
}

}  // namespace crocusmast::scheduling
