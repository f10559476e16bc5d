#include "crocusmast/routing/quota_manager.h"

#include <algorithm>
#include <string>
#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::routing {

QuotaManager::QuotaManager(core::InstanceId self, QuotaSession first_session)
    : m_self(std::move(self)),
      m_borrower(first_session),
      m_lists(std::make_shared<const configuration::PlanLists>()) {}

void QuotaManager::SetPlanLists(
    std::shared_ptr<const configuration::PlanLists> lists,
    core::TimePoint now) {
  m_lists = std::move(lists);
  ChangeLenders(now);
  SetLimits(now);
}

void QuotaManager::SetEntries(const std::vector<core::InstanceId>& entries,
                              core::TimePoint now) {
  for (const core::InstanceId& old_entry : m_entries) {
    if (std::find(entries.begin(), entries.end(), old_entry) == entries.end()) {
      m_removed_at[old_entry] = now;
    }
  }
  for (const core::InstanceId& entry : entries) {
    m_removed_at.erase(entry);
  }
  // At the first update the previous lenders and borrowers are unknown, so
  // the lenders wait for the full takeover delay.
  const bool is_first_update = m_entries.empty();
  m_expected_borrowers =
      std::set<core::InstanceId>(m_entries.begin(), m_entries.end());
  if (!is_first_update) {
    m_expected_borrowers.insert(entries.begin(), entries.end());
  }
  m_entries = entries;
  ChangeLenders(now);
}

core::InstanceId QuotaManager::LenderOf(const QuotaKey& key) const {
  const std::string name = key.plan.Text() + "/" + key.kind.Text();
  const std::vector<core::InstanceId> best =
      membership::RankByRendezvous(name, m_entries, 1);
  return best.empty() ? m_self : best.front();
}

void QuotaManager::ChangeLenders(core::TimePoint now) {
  for (const auto& [row_key, row] : m_lists->Rows()) {
    if (row_key.kind.IsEmpty()) {
      continue;
    }
    const QuotaKey key{row_key.plan, row_key.kind};
    const core::InstanceId lender = LenderOf(key);
    core::InstanceId& known_lender = m_lender_of[key];
    if (known_lender == lender) {
      continue;
    }
    known_lender = lender;
    m_lenders.erase(key);
    if (lender == m_self) {
      m_lenders.emplace(key, QuotaLender(key, now + kLenderTakeoverDelay,
                                         m_expected_borrowers));
      m_lenders_start_at = now + kLenderTakeoverDelay;
    }
    m_borrower.ChangeLender(key);
  }
  SetLimits(now);
}

void QuotaManager::SetLimits(core::TimePoint now) {
  for (auto it = m_lenders.begin(); it != m_lenders.end(); ++it) {
    const QuotaKey& key = it->first;
    const std::optional<configuration::Allowance> allowance =
        m_lists->FindAllowance(key.plan, key.kind);
    const std::uint64_t limit =
        allowance
            ? std::min(allowance->slots.Count(), allowance->connections.Count())
            : 0;
    DispatchGrants(it->second.SetLimit(core::Slots(limit)));
  }
  ReclaimFromRemovedBorrowers(now);
}

void QuotaManager::HandleDemand(const core::InstanceId& borrower,
                                const QuotaDemand& demand,
                                core::TimePoint now) {
  const auto lender = m_lenders.find(demand.key);
  if (lender != m_lenders.end()) {
    DispatchGrants(lender->second.HandleDemand(borrower, demand, now));
  }
}

void QuotaManager::ReclaimFromRemovedBorrowers(core::TimePoint now) {
  for (auto removed = m_removed_at.begin(); removed != m_removed_at.end();) {
    if (now < removed->second + kLenderTakeoverDelay) {
      ++removed;
      continue;
    }
    for (auto& [key, lender] : m_lenders) {
      DispatchGrants(lender.RemoveBorrower(removed->first));
    }
    removed = m_removed_at.erase(removed);
  }
}

// Lenders that took over at the same time start granting at the same time.
void QuotaManager::StartGranting(core::TimePoint now) {
  if (!m_lenders_start_at || now < *m_lenders_start_at) {
    return;
  }
  m_lenders_start_at.reset();
  for (auto& [key, lender] : m_lenders) {
    DispatchGrants(lender.Advance(now));
  }
}

void QuotaManager::ProcessDemands(core::TimePoint now) {
  ReclaimFromRemovedBorrowers(now);
  StartGranting(now);
  for (QuotaDemand& demand : m_borrower.TakeDemands(now)) {
    const auto lender = m_lender_of.find(demand.key);
    if (lender == m_lender_of.end()) {
      continue;
    }
    if (lender->second == m_self) {
      HandleDemand(m_self, demand, now);
    } else {
      m_demands.push_back(OutgoingDemand{lender->second, std::move(demand)});
    }
  }
}

void QuotaManager::DispatchGrants(std::vector<OutgoingGrant> grants) {
  for (OutgoingGrant& grant : grants) {
    if (grant.borrower != m_self) {
      m_grants.push_back(std::move(grant));
    } else if (m_borrower.HandleGrant(grant.grant)) {
      m_raised_quotas.push_back(grant.grant.key);
    }
  }
}

std::vector<OutgoingDemand> QuotaManager::TakeOutgoingDemands() {
  return std::exchange(m_demands, {});
}

std::vector<OutgoingGrant> QuotaManager::TakeOutgoingGrants() {
  return std::exchange(m_grants, {});
}

std::vector<QuotaKey> QuotaManager::TakeRaisedQuotas() {
  return std::exchange(m_raised_quotas, {});
}

}  // namespace crocusmast::routing
