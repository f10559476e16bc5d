#include "crocusmast/routing/quota_borrower.h"

#include <algorithm>

namespace crocusmast::routing {

QuotaBorrower::QuotaState& QuotaBorrower::GetQuota(const QuotaKey& key) {
  const auto [it, is_new] = m_quotas.try_emplace(key);
  if (is_new) {
    it->second.session = QuotaSession(m_next_session++);
  }
  m_dirty.insert(key);
  return it->second;
}

bool QuotaBorrower::TryAcquire(const QuotaKey& key, core::TimePoint now) {
  QuotaState& quota = GetQuota(key);
  if (quota.in_use >= quota.ceiling) {
    return false;
  }
  ++quota.in_use;
  if (quota.in_use + quota.waiting >= quota.ceiling) {
    quota.last_busy_at = now;
  }
  return true;
}

void QuotaBorrower::Release(const QuotaKey& key) {
  QuotaState& quota = GetQuota(key);
  if (quota.in_use > 0) {
    --quota.in_use;
  }
}

void QuotaBorrower::SetWaiting(const QuotaKey& key, std::uint64_t waiting) {
  if (waiting > 0 || m_quotas.count(key) > 0) {
    GetQuota(key).waiting = waiting;
  }
}

bool QuotaBorrower::HandleGrant(const QuotaGrant& grant) {
  QuotaState& quota = GetQuota(grant.key);
  if (grant.session != quota.session ||
      !(quota.last_applied_grant < grant.number)) {
    return false;
  }
  const bool is_raised = quota.ceiling < grant.ceiling.Count();
  quota.last_applied_grant = grant.number;
  quota.ceiling = grant.ceiling.Count();
  return is_raised;
}

void QuotaBorrower::ChangeLender(const QuotaKey& key) {
  QuotaState& quota = GetQuota(key);
  quota.session = QuotaSession(m_next_session++);
  quota.last_applied_grant = GrantNumber();
  quota.must_send = true;
}

void QuotaBorrower::ReleaseIdle(QuotaState& quota, core::TimePoint now) {
  const std::uint64_t needed = quota.in_use + quota.waiting;
  if (needed >= quota.ceiling) {
    quota.last_busy_at = now;
  } else if (quota.last_busy_at + kIdleQuotaTimeout <= now) {
    quota.ceiling = needed;
    quota.last_busy_at = now;
  }
}

std::optional<QuotaDemand> QuotaBorrower::MakeDemand(const QuotaKey& key,
                                                     QuotaState& quota,
                                                     core::TimePoint now) {
  const std::uint64_t occupied = std::max(quota.ceiling, quota.in_use);
  const std::uint64_t needed = quota.in_use + quota.waiting;
  const std::uint64_t wanted = std::max(needed, occupied);
  const bool is_resend_due =
      quota.waiting > 0 && quota.sent_at + kDemandResendInterval <= now;
  const bool should_send = quota.must_send || is_resend_due ||
                           occupied != quota.sent_occupied ||
                           wanted != quota.sent_wanted ||
                           quota.last_applied_grant != quota.sent_applied_grant;
  if (!should_send) {
    return std::nullopt;
  }
  quota.must_send = false;
  quota.sent_occupied = occupied;
  quota.sent_wanted = wanted;
  quota.sent_applied_grant = quota.last_applied_grant;
  quota.sent_at = now;
  return QuotaDemand{key, core::Slots(occupied), core::Slots(wanted),
                     quota.last_applied_grant, quota.session};
}

std::vector<QuotaDemand> QuotaBorrower::TakeDemands(core::TimePoint now) {
  std::vector<QuotaDemand> demands;
  for (const QuotaKey& key : m_dirty) {
    QuotaState& quota = m_quotas[key];
    ReleaseIdle(quota, now);
    if (std::optional<QuotaDemand> demand = MakeDemand(key, quota, now)) {
      demands.push_back(*std::move(demand));
    }
  }
  m_dirty.clear();
  return demands;
}

void QuotaBorrower::MarkAllDirty() {
  for (const auto& [key, quota] : m_quotas) {
    const bool has_idle_slots = quota.in_use < quota.ceiling;
    if (has_idle_slots || quota.waiting > 0) {
      m_dirty.insert(key);
    }
  }
}

core::Slots QuotaBorrower::InUse(const QuotaKey& key) const {
  const auto found = m_quotas.find(key);
  return core::Slots(found == m_quotas.end() ? 0 : found->second.in_use);
}

std::vector<QuotaKey> QuotaBorrower::Keys() const {
  std::vector<QuotaKey> keys;
  keys.reserve(m_quotas.size());
  for (const auto& [key, quota] : m_quotas) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace crocusmast::routing
