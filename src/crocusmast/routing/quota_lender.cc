#include "crocusmast/routing/quota_lender.h"

#include <algorithm>
#include <utility>

namespace crocusmast::routing {

QuotaLender::QuotaLender(QuotaKey key,
                         core::TimePoint granting_starts_at,
                         std::set<core::InstanceId> expected_borrowers)
    : m_key(std::move(key)),
      m_granting_starts_at(granting_starts_at),
      m_expected_borrowers(std::move(expected_borrowers)) {}

std::vector<OutgoingGrant> QuotaLender::SetLimit(core::Slots limit) {
  m_limit = limit.Count();
  return Balance();
}

std::vector<OutgoingGrant> QuotaLender::HandleDemand(
    const core::InstanceId& borrower,
    const QuotaDemand& demand,
    core::TimePoint now) {
  const bool was_last_expected =
      m_expected_borrowers.erase(borrower) > 0 && m_expected_borrowers.empty();
  m_is_granting =
      m_is_granting || was_last_expected || m_granting_starts_at <= now;
  Loan& loan = m_loans[borrower];
  if (demand.session < loan.session) {
    return {};
  }
  if (loan.session < demand.session) {
    // A new session begins with the slots that the borrower keeps.
    const std::uint64_t occupied = demand.occupied.Count();
    loan = Loan{occupied, occupied, 0, GrantNumber(), demand.session};
  }
  loan.wanted = demand.wanted.Count();
  // A demand that was sent before the latest grant arrived does not include the
  // granted slots. The grant is sent again, in case it was lost.
  const bool has_unapplied_grant = demand.last_applied_grant < loan.number;
  if (has_unapplied_grant) {
    return {CurrentGrant(borrower, loan)};
  }
  loan.occupied = demand.occupied.Count();
  loan.ceiling = std::min(loan.ceiling, loan.occupied);
  return Balance();
}

std::vector<OutgoingGrant> QuotaLender::RemoveBorrower(
    const core::InstanceId& borrower) {
  m_loans.erase(borrower);
  return Balance();
}

std::vector<OutgoingGrant> QuotaLender::Advance(core::TimePoint now) {
  if (m_is_granting || now < m_granting_starts_at) {
    return {};
  }
  m_is_granting = true;
  return Balance();
}

core::Slots QuotaLender::Occupied() const {
  std::uint64_t occupied = 0;
  for (const auto& [borrower, loan] : m_loans) {
    occupied += loan.occupied;
  }
  return core::Slots(occupied);
}

std::vector<core::InstanceId> QuotaLender::Borrowers() const {
  std::vector<core::InstanceId> borrowers;
  for (const auto& [borrower, loan] : m_loans) {
    borrowers.push_back(borrower);
  }
  return borrowers;
}

std::vector<OutgoingGrant> QuotaLender::Balance() {
  std::vector<OutgoingGrant> grants;
  if (m_is_granting) {
    GrantFreeSlots(grants);
    ReclaimExcess(grants);
  }
  return grants;
}

std::uint64_t QuotaLender::FairShare() const {
  std::uint64_t active_borrowers = 0;
  for (const auto& [borrower, loan] : m_loans) {
    active_borrowers += loan.wanted > 0 ? 1 : 0;
  }
  return active_borrowers == 0
             ? m_limit
             : std::max<std::uint64_t>(m_limit / active_borrowers, 1);
}

// Divides the free slots among the borrowers that want more, beginning with
// those that occupy the fewest.
void QuotaLender::GrantFreeSlots(std::vector<OutgoingGrant>& grants) {
  std::uint64_t occupied = Occupied().Count();
  std::vector<std::pair<std::uint64_t, core::InstanceId>> unsatisfied;
  for (const auto& [borrower, loan] : m_loans) {
    if (loan.occupied < loan.wanted) {
      unsatisfied.emplace_back(loan.occupied, borrower);
    }
  }
  std::sort(unsatisfied.begin(), unsatisfied.end());
  for (std::size_t index = 0; index < unsatisfied.size() && occupied < m_limit;
       ++index) {
    Loan& loan = m_loans[unsatisfied[index].second];
    const std::uint64_t remaining_borrowers = unsatisfied.size() - index;
    const std::uint64_t free = m_limit - occupied;
    const std::uint64_t portion =
        (free + remaining_borrowers - 1) / remaining_borrowers;
    const std::uint64_t lent = std::min(loan.wanted - loan.occupied, portion);
    grants.push_back(
        IssueGrant(unsatisfied[index].second, loan, loan.occupied + lent));
    occupied += lent;
  }
}

bool QuotaLender::NeedsReclaim(std::uint64_t fair_share) const {
  for (const auto& [borrower, loan] : m_loans) {
    if (loan.occupied < std::min(loan.wanted, fair_share)) {
      return true;
    }
  }
  return Occupied().Count() > m_limit;
}

void QuotaLender::ReclaimExcess(std::vector<OutgoingGrant>& grants) {
  const std::uint64_t fair_share = FairShare();
  if (!NeedsReclaim(fair_share)) {
    return;
  }
  for (auto& [borrower, loan] : m_loans) {
    if (loan.ceiling > fair_share) {
      grants.push_back(IssueGrant(borrower, loan, fair_share));
    }
  }
}

OutgoingGrant QuotaLender::IssueGrant(const core::InstanceId& borrower,
                                      Loan& loan,
                                      std::uint64_t ceiling) {
  loan.number = GrantNumber(loan.number.Count() + 1);
  loan.ceiling = ceiling;
  loan.occupied = std::max(loan.occupied, ceiling);
  return CurrentGrant(borrower, loan);
}

OutgoingGrant QuotaLender::CurrentGrant(const core::InstanceId& borrower,
                                        const Loan& loan) const {
  return OutgoingGrant{borrower, QuotaGrant{m_key, core::Slots(loan.ceiling),
                                            loan.number, loan.session}};
}

}  // namespace crocusmast::routing
