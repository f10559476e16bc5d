#include "crocusmast/routing/quota_borrower.h"

#include <algorithm>

namespace crocusmast::routing {

QuotaBorrower::Account& QuotaBorrower::GetAccount(const QuotaKey& key) {
  const auto [it, is_new] = m_accounts.try_emplace(key);
  if (is_new) {
    it->second.session = QuotaSession(m_next_session++);
  }
  m_dirty.insert(key);
  return it->second;
}

bool QuotaBorrower::TryAcquire(const QuotaKey& key, core::TimePoint now) {
  Account& account = GetAccount(key);
  if (account.in_use >= account.ceiling) {
    return false;
  }
  ++account.in_use;
  if (account.in_use + account.waiting >= account.ceiling) {
    account.last_busy_at = now;
  }
  return true;
}

void QuotaBorrower::Release(const QuotaKey& key) {
  Account& account = GetAccount(key);
  if (account.in_use > 0) {
    --account.in_use;
  }
}

void QuotaBorrower::SetWaiting(const QuotaKey& key, std::uint64_t waiting) {
  if (waiting > 0 || m_accounts.count(key) > 0) {
    GetAccount(key).waiting = waiting;
  }
}

bool QuotaBorrower::HandleGrant(const QuotaGrant& grant) {
  Account& account = GetAccount(grant.key);
  if (grant.session != account.session ||
      !(account.last_applied_grant < grant.number)) {
    return false;
  }
  const bool has_more = account.ceiling < grant.ceiling.Count();
  account.last_applied_grant = grant.number;
  account.ceiling = grant.ceiling.Count();
  return has_more;
}

void QuotaBorrower::ChangeLender(const QuotaKey& key) {
  Account& account = GetAccount(key);
  account.session = QuotaSession(m_next_session++);
  account.last_applied_grant = GrantNumber();
  account.must_send = true;
}

void QuotaBorrower::ReleaseIdle(Account& account, core::TimePoint now) {
  const std::uint64_t needed = account.in_use + account.waiting;
  if (needed >= account.ceiling) {
    account.last_busy_at = now;
  } else if (account.last_busy_at + kIdleQuotaTimeout <= now) {
    account.ceiling = needed;
    account.last_busy_at = now;
  }
}

std::optional<QuotaDemand> QuotaBorrower::MakeDemand(const QuotaKey& key,
                                                     Account& account,
                                                     core::TimePoint now) {
  const std::uint64_t occupied = std::max(account.ceiling, account.in_use);
  const std::uint64_t needed = account.in_use + account.waiting;
  const std::uint64_t wanted = std::max(needed, occupied);
  const bool is_due =
      account.waiting > 0 && account.sent_at + kDemandResendInterval <= now;
  const bool has_changed =
      account.must_send || is_due || occupied != account.sent_occupied ||
      wanted != account.sent_wanted ||
      account.last_applied_grant != account.sent_applied_grant;
  if (!has_changed) {
    return std::nullopt;
  }
  account.must_send = false;
  account.sent_occupied = occupied;
  account.sent_wanted = wanted;
  account.sent_applied_grant = account.last_applied_grant;
  account.sent_at = now;
  return QuotaDemand{key, core::Slots(occupied), core::Slots(wanted),
                     account.last_applied_grant, account.session};
}

std::vector<QuotaDemand> QuotaBorrower::TakeDemands(core::TimePoint now) {
  std::vector<QuotaDemand> demands;
  for (const QuotaKey& key : m_dirty) {
    Account& account = m_accounts[key];
    ReleaseIdle(account, now);
    if (std::optional<QuotaDemand> demand = MakeDemand(key, account, now)) {
      demands.push_back(*std::move(demand));
    }
  }
  m_dirty.clear();
  return demands;
}

void QuotaBorrower::MarkAllDirty() {
  for (const auto& [key, account] : m_accounts) {
    const bool has_idle = account.in_use < account.ceiling;
    if (has_idle || account.waiting > 0) {
      m_dirty.insert(key);
    }
  }
}

core::Slots QuotaBorrower::InUse(const QuotaKey& key) const {
  const auto found = m_accounts.find(key);
  return core::Slots(found == m_accounts.end() ? 0 : found->second.in_use);
}

std::vector<QuotaKey> QuotaBorrower::Keys() const {
  std::vector<QuotaKey> keys;
  keys.reserve(m_accounts.size());
  for (const auto& [key, account] : m_accounts) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace crocusmast::routing
