#include "crocusmast/configuration/row.h"

namespace crocusmast::configuration {
namespace internal {

std::string DescribePlan(const Plan& plan) {
  return "customer=" + plan.customer +
         " availability=" + std::to_string(plan.availability.Count()) +
         " headroom=" + std::to_string(plan.headroom.Count());
}

std::string DescribeAllowance(const Allowance& allowance) {
  return "pool=" + allowance.pool.Text() +
         " instances=" + std::to_string(allowance.instances.Count()) +
         " slots=" + std::to_string(allowance.slots.Count()) +
         " connections=" + std::to_string(allowance.connections.Count());
}

}  // namespace internal

RowKey KeyOf(const Row& row) {
  if (const Plan* plan = std::get_if<Plan>(&row)) {
    return RowKey{plan->id, {}};
  }
  const Allowance& allowance = std::get<Allowance>(row);
  return RowKey{allowance.plan, allowance.kind};
}

std::string Describe(const RowKey& key) {
  if (key.kind.IsEmpty()) {
    return "plans[" + key.plan.Text() + "]";
  }
  return "allowances[" + key.plan.Text() + "/" + key.kind.Text() + "]";
}

std::string Describe(const std::optional<Row>& row) {
  if (!row) {
    return "no row";
  }
  if (const Plan* plan = std::get_if<Plan>(&*row)) {
    return internal::DescribePlan(*plan);
  }
  return internal::DescribeAllowance(std::get<Allowance>(*row));
}

}  // namespace crocusmast::configuration
