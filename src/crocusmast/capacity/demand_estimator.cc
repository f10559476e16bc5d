#include "crocusmast/capacity/demand_estimator.h"

#include <algorithm>

namespace crocusmast::capacity {
namespace internal {

double ToSeconds(core::Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace internal

void DemandEstimator::Add(const core::PoolId& pool,
                          double core_seconds,
                          core::TimePoint now) {
  auto& arrivals = m_arrivals[pool];
  arrivals.emplace_back(now, core_seconds);
  while (arrivals.front().first + kLongWindow < now) {
    arrivals.pop_front();
  }
}

DemandEstimator::Rates DemandEstimator::RatesOf(const core::PoolId& pool,
                                                core::TimePoint now) const {
  const auto arrivals = m_arrivals.find(pool);
  if (arrivals == m_arrivals.end()) {
    return {};
  }
  double short_window_total = 0;
  double long_window_total = 0;
  for (const auto& [at, core_seconds] : arrivals->second) {
    long_window_total += now < at + kLongWindow ? core_seconds : 0;
    short_window_total += now < at + kShortWindow ? core_seconds : 0;
  }
  const double steady = long_window_total / internal::ToSeconds(kLongWindow);
  return {
      std::max(short_window_total / internal::ToSeconds(kShortWindow), steady),
      steady};
}

}  // namespace crocusmast::capacity
