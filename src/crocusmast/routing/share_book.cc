#include "crocusmast/routing/share_book.h"

#include <algorithm>
#include <string>
#include <utility>

#include "crocusmast/membership/rendezvous.h"

namespace crocusmast::routing {

ShareBook::ShareBook(core::InstanceId self, ShareSession first_session)
    : m_self(std::move(self)),
      m_borrower(first_session),
      m_lists(std::make_shared<const configuration::Lists>()) {}

void ShareBook::SetLists(std::shared_ptr<const configuration::Lists> lists,
                         core::TimePoint now) {
  m_lists = std::move(lists);
  ChangeLenders(now);
  SetLimits(now);
}

void ShareBook::SetEntries(const std::vector<core::InstanceId>& entries,
                           core::TimePoint now) {
  for (const core::InstanceId& old : m_entries) {
    if (std::find(entries.begin(), entries.end(), old) == entries.end()) {
      m_gone_at[old] = now;
    }
  }
  for (const core::InstanceId& entry : entries) {
    m_gone_at.erase(entry);
  }
  // With the first view it is not known who lent and borrowed before.
  const bool is_first = m_entries.empty();
  m_awaited = std::set<core::InstanceId>(m_entries.begin(), m_entries.end());
  if (!is_first) {
    m_awaited.insert(entries.begin(), entries.end());
  }
  m_entries = entries;
  ChangeLenders(now);
}

core::InstanceId ShareBook::LenderOf(const ShareKey& key) const {
  const std::string name = key.plan.Text() + "/" + key.kind.Text();
  const std::vector<core::InstanceId> best =
      membership::RankByRendezvous(name, m_entries, 1);
  return best.empty() ? m_self : best.front();
}

void ShareBook::ChangeLenders(core::TimePoint now) {
  for (const auto& [row_key, row] : m_lists->Rows()) {
    if (row_key.kind.IsEmpty()) {
      continue;
    }
    const ShareKey key{row_key.plan, row_key.kind};
    const core::InstanceId lender = LenderOf(key);
    core::InstanceId& known = m_lender_of[key];
    if (known == lender) {
      continue;
    }
    known = lender;
    m_lenders.erase(key);
    if (lender == m_self) {
      m_lenders.emplace(key, ShareLender(key, now + kLenderHold, m_awaited));
      m_opens_at = now + kLenderHold;
    }
    m_borrower.ChangeLender(key);
  }
  SetLimits(now);
}

void ShareBook::SetLimits(core::TimePoint now) {
  for (auto place = m_lenders.begin(); place != m_lenders.end(); ++place) {
    const ShareKey& key = place->first;
    const std::optional<configuration::Allowance> allowance =
        m_lists->FindAllowance(key.plan, key.kind);
    const std::uint64_t limit =
        allowance
            ? std::min(allowance->slots.Count(), allowance->connections.Count())
            : 0;
    Collect(place->second.SetLimit(core::Slots(limit)));
  }
  DropGone(now);
}

void ShareBook::Take(const core::InstanceId& borrower,
                     const ShareWant& want,
                     core::TimePoint now) {
  const auto lender = m_lenders.find(want.key);
  if (lender != m_lenders.end()) {
    Collect(lender->second.Take(borrower, want, now));
  }
}

void ShareBook::DropGone(core::TimePoint now) {
  for (auto gone = m_gone_at.begin(); gone != m_gone_at.end();) {
    if (now < gone->second + kLenderHold) {
      ++gone;
      continue;
    }
    for (auto& [key, lender] : m_lenders) {
      Collect(lender.Drop(gone->first));
    }
    gone = m_gone_at.erase(gone);
  }
}

// Lenders that took over at the same time open at the same time.
void ShareBook::OpenLenders(core::TimePoint now) {
  if (!m_opens_at || now < *m_opens_at) {
    return;
  }
  m_opens_at.reset();
  for (auto& [key, lender] : m_lenders) {
    Collect(lender.Advance(now));
  }
}

void ShareBook::Settle(core::TimePoint now) {
  DropGone(now);
  OpenLenders(now);
  for (ShareWant& want : m_borrower.TakeNews(now)) {
    const auto lender = m_lender_of.find(want.key);
    if (lender == m_lender_of.end()) {
      continue;
    }
    if (lender->second == m_self) {
      Take(m_self, want, now);
    } else {
      m_wants.push_back(AddressedWant{lender->second, std::move(want)});
    }
  }
}

void ShareBook::Collect(std::vector<AddressedGrant> grants) {
  for (AddressedGrant& grant : grants) {
    if (grant.borrower != m_self) {
      m_grants.push_back(std::move(grant));
    } else if (m_borrower.Take(grant.grant)) {
      m_raised.push_back(grant.grant.key);
    }
  }
}

std::vector<AddressedWant> ShareBook::TakeWants() {
  return std::exchange(m_wants, {});
}

std::vector<AddressedGrant> ShareBook::TakeGrants() {
  return std::exchange(m_grants, {});
}

std::vector<ShareKey> ShareBook::TakeRaised() {
  return std::exchange(m_raised, {});
}

}  // namespace crocusmast::routing
