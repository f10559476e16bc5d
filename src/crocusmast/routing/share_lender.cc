#include "crocusmast/routing/share_lender.h"

#include <algorithm>
#include <utility>

namespace crocusmast::routing {

ShareLender::ShareLender(ShareKey key,
                         core::TimePoint open_at,
                         std::set<core::InstanceId> awaited)
    : m_key(std::move(key)),
      m_open_at(open_at),
      m_awaited(std::move(awaited)) {}

std::vector<AddressedGrant> ShareLender::SetLimit(core::Slots limit) {
  m_limit = limit.Count();
  return Balance();
}

std::vector<AddressedGrant> ShareLender::Take(const core::InstanceId& borrower,
                                              const ShareWant& want,
                                              core::TimePoint now) {
  const bool was_last = m_awaited.erase(borrower) > 0 && m_awaited.empty();
  m_is_open = m_is_open || was_last || m_open_at <= now;
  Loan& loan = m_loans[borrower];
  if (want.session < loan.session) {
    return {};
  }
  if (loan.session < want.session) {
    const std::uint64_t occupied = want.occupied.Count();
    loan = Loan{occupied, occupied, 0, GrantNumber(), want.session};
  }
  loan.wanted = want.wanted.Count();
  const bool has_missed_grant = want.seen < loan.number;
  if (has_missed_grant) {
    return {Current(borrower, loan)};
  }
  loan.occupied = want.occupied.Count();
  loan.ceiling = std::min(loan.ceiling, loan.occupied);
  return Balance();
}

std::vector<AddressedGrant> ShareLender::Drop(
    const core::InstanceId& borrower) {
  m_loans.erase(borrower);
  return Balance();
}

std::vector<AddressedGrant> ShareLender::Advance(core::TimePoint now) {
  if (m_is_open || now < m_open_at) {
    return {};
  }
  m_is_open = true;
  return Balance();
}

core::Slots ShareLender::Occupied() const {
  std::uint64_t occupied = 0;
  for (const auto& [borrower, loan] : m_loans) {
    occupied += loan.occupied;
  }
  return core::Slots(occupied);
}

std::vector<core::InstanceId> ShareLender::Borrowers() const {
  std::vector<core::InstanceId> borrowers;
  for (const auto& [borrower, loan] : m_loans) {
    borrowers.push_back(borrower);
  }
  return borrowers;
}

std::vector<AddressedGrant> ShareLender::Balance() {
  std::vector<AddressedGrant> grants;
  if (m_is_open) {
    LendFree(grants);
    Recall(grants);
  }
  return grants;
}

std::uint64_t ShareLender::EvenPart() const {
  std::uint64_t active = 0;
  for (const auto& [borrower, loan] : m_loans) {
    active += loan.wanted > 0 ? 1 : 0;
  }
  return active == 0 ? m_limit : std::max<std::uint64_t>(m_limit / active, 1);
}

void ShareLender::LendFree(std::vector<AddressedGrant>& grants) {
  std::uint64_t occupied = Occupied().Count();
  std::vector<std::pair<std::uint64_t, core::InstanceId>> wanting;
  for (const auto& [borrower, loan] : m_loans) {
    if (loan.occupied < loan.wanted) {
      wanting.emplace_back(loan.occupied, borrower);
    }
  }
  std::sort(wanting.begin(), wanting.end());
  for (std::size_t index = 0; index < wanting.size() && occupied < m_limit;
       ++index) {
    Loan& loan = m_loans[wanting[index].second];
    const std::uint64_t takers = wanting.size() - index;
    const std::uint64_t free = m_limit - occupied;
    const std::uint64_t part = (free + takers - 1) / takers;
    const std::uint64_t lent = std::min(loan.wanted - loan.occupied, part);
    grants.push_back(Grant(wanting[index].second, loan, loan.occupied + lent));
    occupied += lent;
  }
}

bool ShareLender::HasUnmetWant(std::uint64_t even_part) const {
  for (const auto& [borrower, loan] : m_loans) {
    if (loan.occupied < std::min(loan.wanted, even_part)) {
      return true;
    }
  }
  return Occupied().Count() > m_limit;
}

void ShareLender::Recall(std::vector<AddressedGrant>& grants) {
  const std::uint64_t even_part = EvenPart();
  if (!HasUnmetWant(even_part)) {
    return;
  }
  for (auto& [borrower, loan] : m_loans) {
    if (loan.ceiling > even_part) {
      grants.push_back(Grant(borrower, loan, even_part));
    }
  }
}

AddressedGrant ShareLender::Grant(const core::InstanceId& borrower,
                                  Loan& loan,
                                  std::uint64_t ceiling) {
  loan.number = GrantNumber(loan.number.Count() + 1);
  loan.ceiling = ceiling;
  loan.occupied = std::max(loan.occupied, ceiling);
  return Current(borrower, loan);
}

AddressedGrant ShareLender::Current(const core::InstanceId& borrower,
                                    const Loan& loan) const {
  return AddressedGrant{borrower, ShareGrant{m_key, core::Slots(loan.ceiling),
                                             loan.number, loan.session}};
}

}  // namespace crocusmast::routing
