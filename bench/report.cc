#include "bench/report.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bench {
namespace internal {

namespace histogram = boost::histogram;

constexpr int kBuckets = 800;
constexpr double kShortestMs = 0.01;
constexpr double kLongestMs = 100000;
constexpr double kNanosecondsPerMs = 1e6;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Times = decltype(histogram::make_histogram(Axis()));

Times MakeTimes() {
  return histogram::make_histogram(Axis(kBuckets, kShortestMs, kLongestMs));
}

double Percentile(const Times& times, double share) {
  const double total = histogram::algorithm::sum(times);
  double seen = times.at(-1);
  for (int index = 0; index < times.axis(0).size(); ++index) {
    seen += times.at(index);
    if (total > 0 && seen >= share * total) {
      return times.axis(0).bin(index).upper();
    }
  }
  return total > 0 ? kLongestMs : 0;
}

}  // namespace internal

/** @brief What one plan's requests came to. */
struct Report::Plan {
  std::array<std::uint64_t, kLoadOutcomes> outcomes{};
  internal::Times answered = internal::MakeTimes();
};

Report::Report() = default;
Report::~Report() = default;

void Report::Add(const LoadRequest& request,
                 LoadOutcome outcome,
                 std::chrono::nanoseconds latency) {
  for (const std::string& name : {request.entry->plan, std::string("all")}) {
    std::unique_ptr<Plan>& plan = m_plans[name];
    if (plan == nullptr) {
      plan = std::make_unique<Plan>();
    }
    ++plan->outcomes[static_cast<std::size_t>(outcome)];
    if (outcome == LoadOutcome::kAnswered) {
      plan->answered(static_cast<double>(latency.count()) /
                     internal::kNanosecondsPerMs);
    }
  }
}

std::string Report::FormatTable(double seconds) const {
  constexpr int kName = 18;
  constexpr int kColumn = 10;
  std::ostringstream out;
  out << std::left << std::setw(kName) << "plan" << std::right;
  for (std::size_t index = 0; index < kLoadOutcomes; ++index) {
    out << std::setw(kColumn)
        << LoadOutcomeName(static_cast<LoadOutcome>(index));
  }
  out << std::setw(kColumn) << "per s" << std::setw(kColumn) << "p50 ms"
      << std::setw(kColumn) << "p90 ms" << std::setw(kColumn) << "p99 ms"
      << "\n"
      << std::fixed << std::setprecision(2);
  for (const auto& [name, plan] : m_plans) {
    out << std::left << std::setw(kName) << name << std::right;
    for (const std::uint64_t count : plan->outcomes) {
      out << std::setw(kColumn) << count;
    }
    out << std::setw(kColumn)
        << static_cast<double>(plan->outcomes[0]) / seconds;
    for (const double share : {0.5, 0.9, 0.99}) {
      out << std::setw(kColumn) << internal::Percentile(plan->answered, share);
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
    row["p50_ms"] = internal::Percentile(plan->answered, 0.5);
    row["p90_ms"] = internal::Percentile(plan->answered, 0.9);
    row["p99_ms"] = internal::Percentile(plan->answered, 0.99);
    plans[name] = std::move(row);
  }
  return nlohmann::json{{"seconds", seconds}, {"plans", plans}}.dump(2) + "\n";
}

}  // namespace bench
