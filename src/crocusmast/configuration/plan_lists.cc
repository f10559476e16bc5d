#include "crocusmast/configuration/plan_lists.h"

#include <string>
#include <utility>

namespace crocusmast::configuration {
namespace internal {

using core::Fail;
using core::Operation;
using core::Result;

constexpr std::uint64_t kMaxAvailability = 100;
constexpr std::uint64_t kMaxHeadroom = 500;
constexpr std::size_t kMaxCustomerLength = 128;

/** @brief Allowed range of a field, both ends included. */
struct Bounds {
  std::uint64_t min;
  std::uint64_t max;
};

Result<void> CheckField(const RowKey& key,
                        const char* field,
                        std::uint64_t value,
                        Bounds bounds) {
  if (value < bounds.min || value > bounds.max) {
    return Fail(Operation::kValidateLists, Describe(key),
                std::string("field '") + field + "' is " +
                    std::to_string(value) + "; allowed are " +
                    std::to_string(bounds.min) + " to " +
                    std::to_string(bounds.max));
  }
  return {};
}

Result<void> CheckPlan(const RowKey& key, const Plan& plan) {
  BOOST_LEAF_CHECK(CheckField(key, "availability", plan.availability.Count(),
                              {1, kMaxAvailability}));
  BOOST_LEAF_CHECK(
      CheckField(key, "headroom", plan.headroom.Count(), {0, kMaxHeadroom}));
  return CheckField(key, "customer (length)", plan.customer.size(),
                    {1, kMaxCustomerLength});
}

Result<void> CheckAllowance(const RowKey& key, const Allowance& allowance) {
  const Bounds bounds{1, kMaxAllowance};
  BOOST_LEAF_CHECK(
      CheckField(key, "instances", allowance.instances.Count(), bounds));
  BOOST_LEAF_CHECK(CheckField(key, "slots", allowance.slots.Count(), bounds));
  return CheckField(key, "connections", allowance.connections.Count(), bounds);
}

Result<void> CheckRow(const RowKey& key, const Row& row) {
  if (const Plan* plan = std::get_if<Plan>(&row)) {
    return CheckPlan(key, *plan);
  }
  return CheckAllowance(key, std::get<Allowance>(row));
}

Result<void> CheckPlansExist(const std::map<RowKey, Row>& rows) {
  for (const auto& [key, row] : rows) {
    if (!key.kind.IsEmpty() && rows.count(RowKey{key.plan, {}}) == 0) {
      return Fail(Operation::kValidateLists, Describe(key),
                  "field 'plan' is '" + key.plan.Text() +
                      "', which is not in the list of plans");
    }
  }
  return {};
}

}  // namespace internal

core::Result<PlanLists> PlanLists::Create(const std::vector<Row>& rows) {
  using internal::Fail;
  using internal::Operation;
  if (rows.size() > kMaxRows) {
    return Fail(Operation::kValidateLists, "both lists",
                std::to_string(rows.size()) + " rows; allowed are " +
                    std::to_string(kMaxRows));
  }
  PlanLists lists;
  for (const Row& row : rows) {
    const RowKey key = KeyOf(row);
    BOOST_LEAF_CHECK(internal::CheckRow(key, row));
    if (!lists.m_rows.emplace(key, row).second) {
      return Fail(Operation::kValidateLists, Describe(key),
                  "the row occurs more than once");
    }
  }
  BOOST_LEAF_CHECK(internal::CheckPlansExist(lists.m_rows));
  return lists;
}

std::optional<Allowance> PlanLists::FindAllowance(
    const core::PlanId& plan,
    const core::KindId& kind) const {
  const auto found = m_rows.find(RowKey{plan, kind});
  if (kind.IsEmpty() || found == m_rows.end()) {
    return std::nullopt;
  }
  return std::get<Allowance>(found->second);
}

bool PlanLists::HasPlan(const core::PlanId& plan) const {
  return m_rows.count(RowKey{plan, {}}) > 0;
}

core::Result<PlanLists> PlanLists::WithChanges(
    const std::vector<RowChange>& changes) const {
  std::map<RowKey, Row> rows = m_rows;
  for (const RowChange& change : changes) {
    if (change.after) {
      rows.insert_or_assign(change.key, *change.after);
    } else {
      rows.erase(change.key);
    }
  }
  std::vector<Row> new_rows;
  new_rows.reserve(rows.size());
  for (const auto& [key, row] : rows) {
    new_rows.push_back(row);
  }
  return Create(new_rows);
}

std::vector<RowChange> PlanLists::DifferenceTo(const PlanLists& other) const {
  std::vector<RowChange> changes;
  for (const auto& [key, row] : m_rows) {
    const auto found = other.m_rows.find(key);
    if (found == other.m_rows.end()) {
      changes.push_back(RowChange{key, row, std::nullopt});
    } else if (!(found->second == row)) {
      changes.push_back(RowChange{key, row, found->second});
    }
  }
  for (const auto& [key, row] : other.m_rows) {
    if (m_rows.count(key) == 0) {
      changes.push_back(RowChange{key, std::nullopt, row});
    }
  }
  return changes;
}

}  // namespace crocusmast::configuration
