#include "crocusmast/routing/share_borrower.h"

#include <algorithm>

namespace crocusmast::routing {

ShareBorrower::Account& ShareBorrower::Open(const ShareKey& key) {
  const auto [place, is_new] = m_accounts.try_emplace(key);
  if (is_new) {
    place->second.session = ShareSession(m_next_session++);
  }
  m_touched.insert(key);
  return place->second;
}

bool ShareBorrower::TryAcquire(const ShareKey& key, core::TimePoint now) {
  Account& account = Open(key);
  if (account.in_use >= account.ceiling) {
    return false;
  }
  ++account.in_use;
  if (account.in_use + account.waiting >= account.ceiling) {
    account.busy_at = now;
  }
  return true;
}

void ShareBorrower::Release(const ShareKey& key) {
  Account& account = Open(key);
  if (account.in_use > 0) {
    --account.in_use;
  }
}

void ShareBorrower::SetWaiting(const ShareKey& key, std::uint64_t waiting) {
  if (waiting > 0 || m_accounts.count(key) > 0) {
    Open(key).waiting = waiting;
  }
}

bool ShareBorrower::Take(const ShareGrant& grant) {
  Account& account = Open(grant.key);
  if (grant.session != account.session || !(account.seen < grant.number)) {
    return false;
  }
  const bool has_more = account.ceiling < grant.ceiling.Count();
  account.seen = grant.number;
  account.ceiling = grant.ceiling.Count();
  return has_more;
}

void ShareBorrower::ChangeLender(const ShareKey& key) {
  Account& account = Open(key);
  account.session = ShareSession(m_next_session++);
  account.seen = GrantNumber();
  account.must_tell = true;
}

void ShareBorrower::ReturnIdle(Account& account, core::TimePoint now) {
  const std::uint64_t needed = account.in_use + account.waiting;
  if (needed >= account.ceiling) {
    account.busy_at = now;
  } else if (account.busy_at + kShareIdle <= now) {
    account.ceiling = needed;
    account.busy_at = now;
  }
}

std::optional<ShareWant> ShareBorrower::NewsOf(const ShareKey& key,
                                               Account& account,
                                               core::TimePoint now) {
  const std::uint64_t occupied = std::max(account.ceiling, account.in_use);
  const std::uint64_t needed = account.in_use + account.waiting;
  const std::uint64_t wanted = std::max(needed, occupied);
  const bool is_due =
      account.waiting > 0 && account.told_at + kShareRetell <= now;
  const bool has_news =
      account.must_tell || is_due || occupied != account.told_occupied ||
      wanted != account.told_wanted || account.seen != account.told_seen;
  if (!has_news) {
    return std::nullopt;
  }
  account.must_tell = false;
  account.told_occupied = occupied;
  account.told_wanted = wanted;
  account.told_seen = account.seen;
  account.told_at = now;
  return ShareWant{key, core::Slots(occupied), core::Slots(wanted),
                   account.seen, account.session};
}

std::vector<ShareWant> ShareBorrower::TakeNews(core::TimePoint now) {
  std::vector<ShareWant> news;
  for (const ShareKey& key : m_touched) {
    Account& account = m_accounts[key];
    ReturnIdle(account, now);
    if (std::optional<ShareWant> want = NewsOf(key, account, now)) {
      news.push_back(*std::move(want));
    }
  }
  m_touched.clear();
  return news;
}

void ShareBorrower::TouchAll() {
  for (const auto& [key, account] : m_accounts) {
    const bool has_idle = account.in_use < account.ceiling;
    if (has_idle || account.waiting > 0) {
      m_touched.insert(key);
    }
  }
}

core::Slots ShareBorrower::InUse(const ShareKey& key) const {
  const auto found = m_accounts.find(key);
  return core::Slots(found == m_accounts.end() ? 0 : found->second.in_use);
}

std::vector<ShareKey> ShareBorrower::Keys() const {
  std::vector<ShareKey> keys;
  keys.reserve(m_accounts.size());
  for (const auto& [key, account] : m_accounts) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace crocusmast::routing
