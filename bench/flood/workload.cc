#include "bench/flood/workload.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/adapters/json_reader.h"

namespace bench::flood {
namespace internal {

namespace core = crocusmast::core;
using crocusmast::adapters::internal::Json;
using crocusmast::adapters::internal::JsonObjectReader;
using crocusmast::adapters::internal::ParseStrictJson;

constexpr double kSlots = 8;
constexpr double kMsPerSecond = 1000;

std::string ReadFile(const std::string& name) {
  std::ifstream file(name);
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

core::Result<std::vector<Pool>> ReadPools(const std::string& name) {
  BOOST_LEAF_AUTO(
      json, ParseStrictJson(ReadFile(name), name, core::Operation::kReadFile));
  std::vector<Pool> pools;
  for (const Json& item : json) {
    const JsonObjectReader reader(item, name, core::Operation::kReadFile);
    BOOST_LEAF_AUTO(pool, reader.Text("pool"));
    BOOST_LEAF_AUTO(targets, reader.Number("targets"));
    BOOST_LEAF_AUTO(service_time, reader.Number("service_ms"));
    pools.push_back({pool, targets, std::chrono::milliseconds(service_time)});
  }
  return pools;
}

void SetRates(Workload& workload, double utilization) {
  for (const Pool& pool : workload.pools) {
    double weights = 0;
    for (const Stream& stream : workload.streams) {
      weights += stream.pool == pool.name ? stream.entry.weight : 0;
    }
    const double capacity = static_cast<double>(pool.targets) * kSlots *
                            kMsPerSecond /
                            static_cast<double>(pool.service_time.count());
    for (Stream& stream : workload.streams) {
      if (stream.pool == pool.name) {
        stream.rate = utilization * capacity * stream.entry.weight / weights;
      }
    }
  }
}

}  // namespace internal

crocusmast::core::Result<Workload> ReadWorkload(const std::string& folder,
                                                double utilization) {
  namespace core = crocusmast::core;
  Workload workload;
  BOOST_LEAF_AUTO(files,
                  crocusmast::adapters::ParseConfigurationFiles(
                      {internal::ReadFile(folder + "/plans.json"),
                       internal::ReadFile(folder + "/allowances.json")}));
  workload.lists = std::move(files.lists);
  BOOST_LEAF_ASSIGN(workload.pools,
                    internal::ReadPools(folder + "/pools.json"));
  BOOST_LEAF_AUTO(mix, ReadMix(folder + "/mix.json"));
  for (const MixEntry& entry : mix) {
    BOOST_LEAF_AUTO(plan, core::PlanId::Create(entry.plan));
    BOOST_LEAF_AUTO(kind, core::KindId::Create(entry.kind));
    const auto allowance = workload.lists.FindAllowance(plan, kind);
    workload.streams.push_back({entry, allowance->pool.Text(), 0});
  }
  internal::SetRates(workload, utilization);
  return workload;
}

}  // namespace bench::flood
