#include "crocusmast/scheduling/ticket_book.h"

#include <algorithm>
#include <utility>

namespace crocusmast::scheduling {

const std::string* TicketBook::Find(const StepId& step,
                                    const core::InstanceId& worker,
                                    core::Incarnation incarnation,
                                    core::TimePoint now) const {
  const auto known = m_steps.find(step);
  if (known == m_steps.end()) {
    return nullptr;
  }
  const auto verdict = known->second.verdicts.find(worker);
  const bool is_valid = verdict != known->second.verdicts.end() &&
                        verdict->second.is_allowed &&
                        verdict->second.incarnation == incarnation &&
                        now < verdict->second.valid_until;
  return is_valid ? &verdict->second.ticket : nullptr;
}

std::size_t TicketBook::CountAsking() const {
  return static_cast<std::size_t>(
      std::count_if(m_steps.begin(), m_steps.end(),
                    [](const auto& one) { return !one.second.asked.empty(); }));
}

std::vector<core::InstanceId> TicketBook::Ask(
    const StepId& step,
    const std::vector<TicketCandidate>& candidates,
    core::TimePoint now) {
  Step& known = m_steps[step];
  if (!known.asked.empty() || now < known.ask_at ||
      CountAsking() >= kMaxAsking) {
    return {};
  }
  std::vector<core::InstanceId> chosen;
  for (const TicketCandidate& candidate : candidates) {
    const auto verdict = known.verdicts.find(candidate.worker);
    const bool is_known =
        verdict != known.verdicts.end() &&
        verdict->second.incarnation == candidate.incarnation &&
        (!verdict->second.is_allowed || now < verdict->second.valid_until);
    if (!is_known && chosen.size() < kMaxAsked) {
      chosen.push_back(candidate.worker);
      known.asked.emplace(candidate.worker, candidate.incarnation);
    }
  }
  return chosen;
}

void TicketBook::Take(const TicketsAnswered& answer, core::TimePoint now) {
  const auto found = m_steps.find(answer.step);
  if (found == m_steps.end()) {
    return;
  }
  Step& step = found->second;
  const auto asked = std::exchange(step.asked, {});
  if (!answer.is_answered) {
    step.ask_at = now + kAskRetry;
    return;
  }
  for (const auto& [worker, incarnation] : asked) {
    step.verdicts[worker] = Verdict{incarnation, false, "", {}};
  }
  for (const TicketGrant& grant : answer.allowed) {
    const auto worker = asked.find(grant.worker);
    if (worker != asked.end()) {
      step.verdicts[grant.worker] =
          Verdict{worker->second, true, grant.ticket,
                  now + answer.validity - kTicketReserve};
    }
  }
}

void TicketBook::Drop(const StepId& step, const core::InstanceId& worker) {
  const auto known = m_steps.find(step);
  if (known != m_steps.end()) {
    known->second.verdicts.erase(worker);
  }
}

void TicketBook::Forget(const core::JobId& job) {
  const auto first = m_steps.lower_bound(StepId{job, 0, 0});
  auto last = first;
  while (last != m_steps.end() && last->first.job == job) {
    ++last;
  }
  m_steps.erase(first, last);
}

}  // namespace crocusmast::scheduling
