#include "crocusmast/adapters/rows_json.h"

#include <optional>
#include <utility>

namespace crocusmast::adapters::internal {

using configuration::Allowance;
using configuration::Plan;
using configuration::PlanLists;
using configuration::Row;
using configuration::RowChange;
using core::Operation;

core::Result<Plan> ReadPlan(const Json& json, const std::string& source) {
  const JsonObjectReader reader(json, source, Operation::kParseLists);
  BOOST_LEAF_CHECK(
      reader.CheckFields({"plan", "customer", "availability", "headroom"}));
  BOOST_LEAF_AUTO(id, reader.ReadId<core::PlanId>("plan"));
  BOOST_LEAF_AUTO(customer, reader.Text("customer"));
  BOOST_LEAF_AUTO(availability, reader.Number("availability"));
  BOOST_LEAF_AUTO(headroom, reader.Number("headroom"));
  return Plan{std::move(id), std::move(customer), core::Percent(availability),
              core::Percent(headroom)};
}

core::Result<Allowance> ReadAllowance(const Json& json,
                                      const std::string& source) {
  const JsonObjectReader reader(json, source, Operation::kParseLists);
  BOOST_LEAF_CHECK(reader.CheckFields(
      {"plan", "kind", "pool", "instances", "slots", "connections"}));
  BOOST_LEAF_AUTO(plan, reader.ReadId<core::PlanId>("plan"));
  BOOST_LEAF_AUTO(kind, reader.ReadId<core::KindId>("kind"));
  BOOST_LEAF_AUTO(pool, reader.ReadId<core::PoolId>("pool"));
  BOOST_LEAF_AUTO(instances, reader.Number("instances"));
  BOOST_LEAF_AUTO(slots, reader.Number("slots"));
  BOOST_LEAF_AUTO(connections, reader.Number("connections"));
  return Allowance{std::move(plan),    std::move(kind),
                   std::move(pool),    core::InstanceCount(instances),
                   core::Slots(slots), core::Connections(connections)};
}

core::Result<PlanLists> ReadPlanLists(const Json& plans,
                                      const Json& allowances) {
  const JsonObjectReader plan_reader(plans, "plans", Operation::kParseLists);
  const JsonObjectReader allowance_reader(allowances, "allowances",
                                          Operation::kParseLists);
  BOOST_LEAF_AUTO(plan_rows, plan_reader.Array("plans"));
  BOOST_LEAF_AUTO(allowance_rows, allowance_reader.Array("allowances"));
  std::vector<Row> rows;
  for (std::size_t index = 0; index < plan_rows->size(); ++index) {
    BOOST_LEAF_AUTO(plan, ReadPlan((*plan_rows)[index],
                                   "plans row " + std::to_string(index + 1)));
    rows.emplace_back(std::move(plan));
  }
  for (std::size_t index = 0; index < allowance_rows->size(); ++index) {
    BOOST_LEAF_AUTO(allowance, ReadAllowance((*allowance_rows)[index],
                                             "allowances row " +
                                                 std::to_string(index + 1)));
    rows.emplace_back(std::move(allowance));
  }
  return PlanLists::Create(rows);
}

Json WriteRow(const Row& row) {
  if (const Plan* plan = std::get_if<Plan>(&row)) {
    return Json{{"plan", plan->id.Text()},
                {"customer", plan->customer},
                {"availability", plan->availability.Count()},
                {"headroom", plan->headroom.Count()}};
  }
  const Allowance& allowance = std::get<Allowance>(row);
  return Json{{"plan", allowance.plan.Text()},
              {"kind", allowance.kind.Text()},
              {"pool", allowance.pool.Text()},
              {"instances", allowance.instances.Count()},
              {"slots", allowance.slots.Count()},
              {"connections", allowance.connections.Count()}};
}

Json WriteRows(const PlanLists& lists, bool of_plans) {
  Json rows = Json::array();
  for (const auto& [key, row] : lists.Rows()) {
    if (key.kind.IsEmpty() == of_plans) {
      rows.push_back(WriteRow(row));
    }
  }
  return rows;
}

namespace {

core::Result<std::optional<Row>> ReadOptionalRow(const Json& json) {
  if (json.is_null()) {
    return std::optional<Row>();
  }
  if (json.is_object() && json.contains("kind")) {
    BOOST_LEAF_AUTO(allowance, ReadAllowance(json, "changed row"));
    return std::optional<Row>(std::move(allowance));
  }
  BOOST_LEAF_AUTO(plan, ReadPlan(json, "changed row"));
  return std::optional<Row>(std::move(plan));
}

}  // namespace

core::Result<std::vector<RowChange>> ReadRowChanges(const Json& json) {
  if (!json.is_array()) {
    return core::Fail(Operation::kDecodeMessage, "change",
                      "rows are not an array");
  }
  std::vector<RowChange> rows;
  for (const Json& pair : json) {
    if (!pair.is_array() || pair.size() != 2) {
      return core::Fail(Operation::kDecodeMessage, "change",
                        "a row change is not a pair");
    }
    BOOST_LEAF_AUTO(before, ReadOptionalRow(pair[0]));
    BOOST_LEAF_AUTO(after, ReadOptionalRow(pair[1]));
    if (!before && !after) {
      return core::Fail(
          Operation::kDecodeMessage, "change",
          "a row change has neither a row before nor a row after");
    }
    const configuration::RowKey key =
        configuration::KeyOf(after ? *after : *before);
    rows.push_back(RowChange{key, std::move(before), std::move(after)});
  }
  return rows;
}

Json WriteRowChanges(const std::vector<RowChange>& rows) {
  Json json = Json::array();
  for (const RowChange& row : rows) {
    json.push_back(Json::array({row.before ? WriteRow(*row.before) : Json(),
                                row.after ? WriteRow(*row.after) : Json()}));
  }
  return json;
}

}  // namespace crocusmast::adapters::internal
