#include "bench/report.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bench {
namespace internal {

namespace histogram = boost::histogram;

constexpr int kBucketCount = 800;
constexpr double kMinLatencyMs = 0.01;
constexpr double kMaxLatencyMs = 100000;
constexpr double kNanosecondsPerMs = 1e6;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram = decltype(histogram::make_histogram(Axis()));

LatencyHistogram MakeLatencyHistogram() {
  return histogram::make_histogram(
      Axis(kBucketCount, kMinLatencyMs, kMaxLatencyMs));
}

double Quantile(const LatencyHistogram& latencies, double quantile) {
  const double total = histogram::algorithm::sum(latencies);
  double cumulative = latencies.at(-1);
  for (int index = 0; index < latencies.axis(0).size(); ++index) {
    cumulative += latencies.at(index);
    if (total > 0 && cumulative >= quantile * total) {
      return latencies.axis(0).bin(index).upper();
    }
  }
  return total > 0 ? kMaxLatencyMs : 0;
}

}  // namespace internal

/** @brief The outcomes and latencies of one plan's requests. */
struct Report::PlanTotals {
  std::array<std::uint64_t, kLoadOutcomes> outcomes{};
  internal::LatencyHistogram answered = internal::MakeLatencyHistogram();
};

Report::Report() = default;
Report::~Report() = default;

void Report::Add(const LoadRequest& request,
                 LoadOutcome outcome,
                 std::chrono::nanoseconds latency) {
  for (const std::string& name : {request.entry->plan, std::string("all")}) {
    std::unique_ptr<PlanTotals>& plan = m_plans[name];
    if (plan == nullptr) {
      plan = std::make_unique<PlanTotals>();
    }
    ++plan->outcomes[static_cast<std::size_t>(outcome)];
    if (outcome == LoadOutcome::kAnswered) {
      plan->answered(static_cast<double>(latency.count()) /
                     internal::kNanosecondsPerMs);
    }
  }
}

std::string Report::FormatTable(double seconds) const {
  constexpr int kNameWidth = 18;
  constexpr int kColumnWidth = 10;
  std::ostringstream out;
  out << std::left << std::setw(kNameWidth) << "plan" << std::right;
  for (std::size_t index = 0; index < kLoadOutcomes; ++index) {
    out << std::setw(kColumnWidth)
        << LoadOutcomeName(static_cast<LoadOutcome>(index));
  }
  out << std::setw(kColumnWidth) << "per s" << std::setw(kColumnWidth)
      << "p50 ms" << std::setw(kColumnWidth) << "p90 ms"
      << std::setw(kColumnWidth) << "p99 ms"
      << "\n"
      << std::fixed << std::setprecision(2);
  for (const auto& [name, plan] : m_plans) {
    out << std::left << std::setw(kNameWidth) << name << std::right;
    for (const std::uint64_t count : plan->outcomes) {
      out << std::setw(kColumnWidth) << count;
    }
    out << std::setw(kColumnWidth)
        << static_cast<double>(plan->outcomes[0]) / seconds;
    for (const double quantile : {0.5, 0.9, 0.99}) {
      out << std::setw(kColumnWidth)
          << internal::Quantile(plan->answered, quantile);
    }
    out << "\n";
  }
  return out.str();
}

std::string Report::FormatJson(double seconds) const {
  nlohmann::json plans = nlohmann::json::object();
  for (const auto& [name, plan] : m_plans) {
    nlohmann::json row;
    for (std::size_t index = 0; index < kLoadOutcomes; ++index) {
      row[LoadOutcomeName(static_cast<LoadOutcome>(index))] =
          plan->outcomes[index];
    }
    row["per_second"] = static_cast<double>(plan->outcomes[0]) / seconds;
    row["p50_ms"] = internal::Quantile(plan->answered, 0.5);
    row["p90_ms"] = internal::Quantile(plan->answered, 0.9);
    row["p99_ms"] = internal::Quantile(plan->answered, 0.99);
    plans[name] = std::move(row);
  }
  return nlohmann::json{{"seconds", seconds}, {"plans", plans}}.dump(2) + "\n";
}

}  // namespace bench
