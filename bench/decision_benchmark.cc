// Compares the cost of one routing decision with a naive linear scan, for
// growing numbers of targets.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "crocusmast/routing/target_table.h"

namespace {

namespace core = crocusmast::core;
namespace fleet = crocusmast::fleet;
namespace routing = crocusmast::routing;

constexpr std::uint64_t kSlots = 8;

template <typename Id>
Id MakeId(const std::string& text) {
  return Id::Create(text).value();
}

std::vector<fleet::InstanceRecord> MakeTargets(std::int64_t count) {
  std::vector<fleet::InstanceRecord> targets;
  for (std::int64_t index = 0; index < count; ++index) {
    fleet::InstanceRecord record;
    record.id = MakeId<core::InstanceId>("target-" + std::to_string(index));
    record.incarnation = core::Incarnation(1);
    record.pool = MakeId<core::PoolId>("pool");
    record.slots = core::Slots(kSlots);
    targets.push_back(record);
  }
  return targets;
}

routing::AttemptReport Answered() {
  routing::AttemptReport report;
  report.delivery = crocusmast::request::DeliveryStatus::kAnswered;
  return report;
}

void ChooseFromTable(benchmark::State& state) {
  const core::TimePoint start{std::chrono::hours(1)};
  const core::TimePoint now = start + routing::kTakeoverDelay;
  routing::TargetTable table;
  table.SetTargets(MakeTargets(state.range(0)), start);
  const auto pool = MakeId<core::PoolId>("pool");
  const routing::TargetCriteria criteria{
      pool, crocusmast::request::Urgency::kNormal, nullptr, nullptr};
  for (auto _ : state) {
    const auto choice = table.Choose(criteria, now);
    table.Finish(*choice, Answered(), now);
  }
}

/** @brief The state of a target for the naive scan. */
struct ScanTarget {
  core::InstanceId id;
  std::uint64_t in_flight = 0;
};

void ChooseByScan(benchmark::State& state) {
  std::vector<ScanTarget> targets;
  for (const fleet::InstanceRecord& record : MakeTargets(state.range(0))) {
    targets.push_back({record.id, 0});
  }
  for (auto _ : state) {
    ScanTarget* best = nullptr;
    for (ScanTarget& target : targets) {
      if (target.in_flight < kSlots &&
          (best == nullptr || target.in_flight < best->in_flight)) {
        best = &target;
      }
    }
    ++best->in_flight;
    benchmark::DoNotOptimize(best);
    --best->in_flight;
  }
}

}  // namespace

BENCHMARK(ChooseFromTable)->Arg(50)->Arg(500)->Arg(4500);
BENCHMARK(ChooseByScan)->Arg(50)->Arg(500)->Arg(4500);
BENCHMARK_MAIN();
