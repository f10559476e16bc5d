#include "crocusmast/scheduling/ticket_cache.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

const std::string* TicketCache::Find(const StepId& step,
                                     const core::InstanceId& worker,
                                     core::Incarnation incarnation,
                                     core::TimePoint now) const {
  const auto entry = m_steps.find(step);
  if (entry == m_steps.end()) {
    return nullptr;
  }
  const auto verdict = entry->second.verdicts.find(worker);
  const bool is_valid = verdict != entry->second.verdicts.end() &&
                        verdict->second.is_allowed &&
                        verdict->second.incarnation == incarnation &&
                        now < verdict->second.valid_until;
  return is_valid ? &verdict->second.ticket : nullptr;
}

std::size_t TicketCache::CountPendingRequests() const {
  return static_cast<std::size_t>(std::count_if(
      m_steps.begin(), m_steps.end(),
      [](const auto& one) { return !one.second.requested.empty(); }));
}

std::vector<core::InstanceId> TicketCache::BeginRequest(
    const StepId& step,
    const std::vector<TicketCandidate>& candidates,
    core::TimePoint now) {
  Step& entry = m_steps[step];
  if (!entry.requested.empty() || now < entry.next_request_at ||
      CountPendingRequests() >= kMaxPendingRequests) {
    return {};
  }
  std::vector<core::InstanceId> selected;
  for (const TicketCandidate& candidate : candidates) {
    const auto verdict = entry.verdicts.find(candidate.worker);
    const bool is_decided =
        verdict != entry.verdicts.end() &&
        verdict->second.incarnation == candidate.incarnation &&
        (!verdict->second.is_allowed || now < verdict->second.valid_until);
    if (!is_decided && selected.size() < kMaxWorkersPerRequest) {
      selected.push_back(candidate.worker);
      entry.requested.emplace(candidate.worker, candidate.incarnation);
    }
  }
  return selected;
}

void TicketCache::HandleReply(const TicketReply& reply, core::TimePoint now) {
  const auto found = m_steps.find(reply.step);
  if (found == m_steps.end()) {
    return;
  }
  Step& step = found->second;
  const auto requested = std::exchange(step.requested, {});
  if (!reply.is_successful) {
    step.next_request_at = now + kTicketRetryDelay;
    return;
  }
  for (const auto& [worker, incarnation] : requested) {
    step.verdicts[worker] = Verdict{incarnation, false, "", {}};
  }
  for (const TicketGrant& grant : reply.allowed) {
    const auto worker = requested.find(grant.worker);
    if (worker != requested.end()) {
      step.verdicts[grant.worker] =
          Verdict{worker->second, true, grant.ticket,
                  now + reply.validity - kTicketExpiryMargin};
    }
  }
}

void TicketCache::RemoveTicket(const StepId& step,
                               const core::InstanceId& worker) {
  const auto entry = m_steps.find(step);
  if (entry != m_steps.end()) {
    entry->second.verdicts.erase(worker);
  }
}

void TicketCache::RemoveJob(const core::JobId& job) {
  const auto first = m_steps.lower_bound(StepId{job, 0, 0});
  auto last = first;
  while (last != m_steps.end() && last->first.job == job) {
    ++last;
  }
  m_steps.erase(first, last);
}

}  // namespace crocusmast::scheduling
