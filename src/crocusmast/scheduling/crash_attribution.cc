#include "crocusmast/scheduling/crash_attribution.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusmast::scheduling {
namespace internal {

bool IsSameStep(const job::TaskId& left, const job::TaskId& right) {
  return left.job == right.job && left.key.occurrence == right.key.occurrence &&
         left.key.step == right.key.step;
}

/** @brief Tells whether a run may have started without its worker being known
 * to have survived it. */
bool IsStarting(const execution::Worker& worker,
                const execution::AssignedRun& run) {
  const bool was_sent = run.command_sent_at != core::TimePoint();
  return was_sent && !run.is_stopping &&
         !CrashAttribution::HasSurvivedStart(worker, run);
}

/** @brief Tells whether a poll has shown that the start of a run was not
 * executed by then. */
bool IsStartAwaited(const execution::Worker& worker,
                    const execution::AssignedRun& run) {
  return run.has_single_start && !run.is_confirmed &&
         run.start_sent_at < worker.runs_known_at;
}

std::size_t CountStarting(const execution::Worker& worker) {
  return static_cast<std::size_t>(std::count_if(
      worker.Runs().begin(), worker.Runs().end(), [&worker](const auto& entry) {
        return IsStarting(worker, entry.second);
      }));
}

/** @brief Removes entries that are due, then the one that is due first if there
 * are too many. */
template <typename Map, typename TimeOf>
void Prune(Map& entries, core::TimePoint now, TimeOf time_of) {
  for (auto next = entries.begin(); next != entries.end();) {
    next = time_of(next->second) <= now ? entries.erase(next) : std::next(next);
  }
  if (entries.size() > kMaxRememberedWorkers) {
    entries.erase(
        std::min_element(entries.begin(), entries.end(),
                         [&time_of](const auto& left, const auto& right) {
                           return time_of(left.second) < time_of(right.second);
                         }));
  }
}

}  // namespace internal

using execution::AssignedRun;
using execution::RunKey;
using execution::Worker;

void CrashAttribution::Clear() {
  m_starting_suspects.clear();
  m_silences.clear();
  m_uncertain.clear();
}

bool CrashAttribution::HasSurvivedStart(const Worker& worker,
                                        const AssignedRun& run) {
  return run.active_since &&
         !(worker.AliveAt() < *run.active_since + kStartProbation);
}

bool CrashAttribution::IsSuspect(const job::TaskId& task) const {
  const job::Job* job = m_find_job(task.job);
  if (job == nullptr) {
    return false;
  }
  if (job->IsSuspect(task.key)) {
    return true;
  }
  return std::any_of(
      m_uncertain.begin(), m_uncertain.end(), [&](const auto& entry) {
        const std::vector<RunKey>& runs = entry.second.blame.runs;
        return std::any_of(runs.begin(), runs.end(), [&](const RunKey& run) {
          return run.task == task || (internal::IsSameStep(run.task, task) &&
                                      !job->HasSurvivor(task.key));
        });
      });
}

bool CrashAttribution::MustWait(const job::TaskId& task) const {
  const job::Job* job = m_find_job(task.job);
  if (job == nullptr || job->HasSurvivor(task.key)) {
    return false;
  }
  return std::any_of(m_starting_suspects.begin(), m_starting_suspects.end(),
                     [&task](const auto& entry) {
                       return std::any_of(
                           entry.second.begin(), entry.second.end(),
                           [&task](const RunKey& run) {
                             return internal::IsSameStep(run.task, task);
                           });
                     });
}

bool CrashAttribution::IsBetterForSuspect(const Worker& left,
                                          const Worker& right) {
  const auto rank = [](const Worker& worker) {
    return std::make_tuple(internal::CountStarting(worker) > 0,
                           worker.Runs().size());
  };
  return rank(left) < rank(right);
}

void CrashAttribution::BeginRun(const core::InstanceId& worker,
                                const RunKey& key) {
  if (IsSuspect(key.task)) {
    m_starting_suspects[worker].insert(key);
  }
}

bool CrashAttribution::EndProbation(const core::InstanceId& worker,
                                    const RunKey& key) {
  const auto found = m_starting_suspects.find(worker);
  if (found == m_starting_suspects.end()) {
    return false;
  }
  const bool was_suspect = found->second.erase(key) > 0;
  if (found->second.empty()) {
    m_starting_suspects.erase(found);
  }
  return was_suspect;
}

void CrashAttribution::ClearTask(const job::TaskId& task) {
  for (auto& [worker, crash] : m_uncertain) {
    std::vector<RunKey>& runs = crash.blame.runs;
    runs.erase(
        std::remove_if(runs.begin(), runs.end(),
                       [&task](const RunKey& run) { return run.task == task; }),
        runs.end());
  }
}

void CrashAttribution::HandleSilence(const Worker& worker,
                                     core::TimePoint now) {
  const core::InstanceId& id = worker.Record().id;
  m_silences[id] = {now, worker.Record().Rack(), IsReserved(id)};
  internal::Prune(m_silences, now, [](const Silence& silence) {
    return silence.since + kUncertainCrashRetention;
  });
}

void CrashAttribution::HandleReply(const Worker& worker) {
  m_silences.erase(worker.Record().id);
  m_uncertain.erase(worker.Record().id);
}

bool CrashAttribution::IsCorrelated(const Worker& worker,
                                    core::TimePoint now) const {
  const std::string rack = worker.Record().Rack();
  const auto own = m_silences.find(worker.Record().id);
  const core::TimePoint since =
      own == m_silences.end() ? now : own->second.since;
  const auto others = std::count_if(
      m_silences.begin(), m_silences.end(), [&](const auto& entry) {
        const Silence& silence = entry.second;
        return entry.first != worker.Record().id && !silence.is_explained &&
               silence.rack == rack &&
               silence.since < since + kCorrelationWindow &&
               since < silence.since + kCorrelationWindow;
      });
  return static_cast<std::size_t>(others) >= kCorrelatedWorkers;
}

bool CrashAttribution::IsSameUnit(const job::TaskId& left,
                                  const job::TaskId& right) const {
  const job::Job* job = m_find_job(left.job);
  return left == right || (internal::IsSameStep(left, right) &&
                           job != nullptr && job->StepOf(left.key).is_gang);
}

Blame CrashAttribution::FindBlame(const Worker& worker,
                                  core::TimePoint now) const {
  Blame blame;
  if (worker.Record().is_draining || worker.is_cordoned) {
    return blame;
  }
  const bool has_confirmed_start = std::any_of(
      worker.Runs().begin(), worker.Runs().end(), [&worker](const auto& entry) {
        return entry.second.active_since &&
               internal::IsStarting(worker, entry.second);
      });
  std::vector<RunKey> suspects;
  std::vector<RunKey> unproven;
  std::vector<RunKey> proven;
  for (const auto& [key, run] : worker.Runs()) {
    const job::Job* job = m_find_job(key.task.job);
    if (job == nullptr || job->Find(key.task.key) == nullptr ||
        !internal::IsStarting(worker, run) ||
        internal::IsStartAwaited(worker, run) ||
        (has_confirmed_start && !run.active_since)) {
      continue;
    }
    if (IsSuspect(key.task)) {
      suspects.push_back(key);
    } else if (!job->HasSurvivedStart(key.task.key)) {
      unproven.push_back(key);
    } else {
      proven.push_back(key);
    }
  }
  const bool has_other_cause = !suspects.empty() && !unproven.empty();
  blame.runs = std::move(suspects);
  blame.runs.insert(blame.runs.end(), unproven.begin(), unproven.end());
  if (blame.runs.empty()) {
    blame.runs = std::move(proven);
  }
  const bool is_one_unit = std::all_of(
      blame.runs.begin(), blame.runs.end(), [this, &blame](const RunKey& run) {
        return IsSameUnit(run.task, blame.runs.front().task);
      });
  if (!has_confirmed_start) {
    blame.evidence = job::CrashEvidence::kUnconfirmed;
  } else if (has_other_cause || IsCorrelated(worker, now)) {
    blame.evidence = job::CrashEvidence::kWeak;
  } else if (is_one_unit) {
    blame.evidence = job::CrashEvidence::kAlone;
  }
  return blame;
}

void CrashAttribution::HandleLeaseExpiry(const Worker& worker,
                                         core::TimePoint now) {
  Blame blame = FindBlame(worker, now);
  if (blame.runs.empty()) {
    return;
  }
  m_uncertain[worker.Record().id] = {worker.Record().incarnation,
                                     std::move(blame),
                                     now + kUncertainCrashRetention};
  internal::Prune(m_uncertain, now,
                  [](const UncertainCrash& crash) { return crash.forget_at; });
}

void CrashAttribution::Forget(core::TimePoint now) {
  internal::Prune(m_uncertain, now,
                  [](const UncertainCrash& crash) { return crash.forget_at; });
}

std::optional<Blame> CrashAttribution::Settle(const core::InstanceId& worker,
                                              core::Incarnation seen) {
  const auto found = m_uncertain.find(worker);
  if (found == m_uncertain.end()) {
    return std::nullopt;
  }
  const UncertainCrash crash = std::move(found->second);
  m_uncertain.erase(found);
  const bool is_confirmed =
      crash.incarnation < seen && !crash.blame.runs.empty();
  return is_confirmed ? std::optional(crash.blame) : std::nullopt;
}

}  // namespace crocusmast::scheduling
