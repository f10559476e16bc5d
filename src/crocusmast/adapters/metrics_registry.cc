#include "crocusmast/adapters/metrics_registry.h"

#include <sys/resource.h>

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusmast::adapters {
namespace internal {

namespace histogram = boost::histogram;

constexpr auto kCounterCount = static_cast<std::size_t>(core::Counter::kCount);
constexpr auto kTimingCount = static_cast<std::size_t>(core::Timing::kCount);
constexpr auto kSizeCount = static_cast<std::size_t>(core::Size::kCount);
constexpr int kBucketCount = 40;
constexpr double kMinSeconds = 50e-6;
constexpr double kMaxSeconds = 60.0;
constexpr int kSizeBucketCount = 18;
constexpr double kMinBytes = 64.0;
constexpr double kMaxBytes = 16.0 * 1024 * 1024;

constexpr std::array<std::string_view, kCounterCount> kCounterNames{
    "requests_answered_total",
    "requests_refused_total",
    "requests_unknown_total",
    "requests_forwarded_total",
    "requests_retried_total",
    "duplicates_stopped_total",
    "circuits_opened_total",
    "configurations_adopted_total",
    "store_calls_total",
    "store_failures_total",
    "store_bytes_total",
    "membership_calls_total",
    "membership_bytes_total",
    "peer_messages_sent_total",
    "peer_bytes_sent_total",
    "peer_control_bytes_sent_total",
    "peer_messages_received_total",
    "peer_bytes_received_total",
    "peer_messages_rejected_total",
    "peer_messages_dropped_total",
    "replies_dropped_total",
    "handovers_stored_total",
    "handovers_failed_total",
    "workers_crashed_total",
    "tasks_given_up_total",
    "starts_awaited_total",
};

constexpr std::array<std::string_view, kTimingCount> kTimingNames{
    "request_seconds",
    "target_call_seconds",
    "queue_wait_seconds",
    "ring_wait_seconds{duty=\"manager\"}",
    "ring_wait_seconds{duty=\"network\"}",
    "event_loop_lag_seconds",
    "store_call_seconds{kind=\"watch\"}",
    "store_call_seconds{kind=\"list\"}",
    "store_call_seconds{kind=\"write\"}",
    "cancel_settled_seconds",
    "run_phase_seconds{phase=\"start_wait\"}",
    "run_phase_seconds{phase=\"start_reply\"}",
    "run_phase_seconds{phase=\"run\"}",
    "run_phase_seconds{phase=\"end_report\"}",
    "start_waited_seconds",
};

constexpr std::array<std::string_view, kSizeCount> kSizeNames{
    "store_watch_reply_bytes"};

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using BucketCount = histogram::accumulators::count<std::uint64_t, true>;
using Histogram = histogram::histogram<std::tuple<Axis>,
                                       histogram::dense_storage<BucketCount>>;

Histogram MakeTimingHistogram() {
  return histogram::make_histogram_with(
      histogram::dense_storage<BucketCount>(),
      Axis(static_cast<unsigned>(kBucketCount), kMinSeconds, kMaxSeconds));
}

Histogram MakeSizeHistogram() {
  return histogram::make_histogram_with(
      histogram::dense_storage<BucketCount>(),
      Axis(static_cast<unsigned>(kSizeBucketCount), kMinBytes, kMaxBytes));
}

double ProcessCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kSecondsPerMicrosecond = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kSecondsPerMicrosecond * static_cast<double>(usage.ru_utime.tv_usec +
                                                      usage.ru_stime.tv_usec);
}

}  // namespace internal

/** @brief Counters, histograms and gauges. */
struct MetricsRegistry::State {
  std::array<std::atomic<std::uint64_t>, internal::kCounterCount> counters{};
  std::vector<internal::Histogram> histograms;
  std::array<std::atomic<std::uint64_t>, internal::kTimingCount>
      total_nanoseconds{};
  std::vector<internal::Histogram> size_histograms;
  std::array<std::atomic<std::uint64_t>, internal::kSizeCount> total_bytes{};
  mutable std::mutex mutex;
  std::vector<std::pair<std::string, ReadGauge>> gauges;
};

std::unique_ptr<MetricsRegistry> MetricsRegistry::Create() {
  return std::unique_ptr<MetricsRegistry>(new MetricsRegistry());
}

MetricsRegistry::MetricsRegistry() : m_state(std::make_unique<State>()) {
  for (std::size_t index = 0; index < internal::kTimingCount; ++index) {
    m_state->histograms.push_back(internal::MakeTimingHistogram());
  }
  for (std::size_t index = 0; index < internal::kSizeCount; ++index) {
    m_state->size_histograms.push_back(internal::MakeSizeHistogram());
  }
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::Add(core::Counter counter, std::uint64_t amount) {
  m_state->counters[static_cast<std::size_t>(counter)].fetch_add(
      amount, std::memory_order_relaxed);
}

void MetricsRegistry::Observe(core::Timing timing, core::Duration value) {
  const auto index = static_cast<std::size_t>(timing);
  m_state->histograms[index](std::chrono::duration<double>(value).count());
  const auto nanoseconds =
      std::chrono::duration_cast<std::chrono::nanoseconds>(value).count();
  m_state->total_nanoseconds[index].fetch_add(
      static_cast<std::uint64_t>(nanoseconds > 0 ? nanoseconds : 0),
      std::memory_order_relaxed);
}

void MetricsRegistry::ObserveSize(core::Size size, std::uint64_t bytes) {
  const auto index = static_cast<std::size_t>(size);
  m_state->size_histograms[index](static_cast<double>(bytes));
  m_state->total_bytes[index].fetch_add(bytes, std::memory_order_relaxed);
}

void MetricsRegistry::AddGauge(std::string name, ReadGauge read) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  m_state->gauges.emplace_back(std::move(name), std::move(read));
}

namespace internal {

/** @brief Formats a histogram; the name may end in labels in braces. */
void FormatHistogram(std::ostream& out,
                     std::string_view full_name,
                     const Histogram& histogram_data,
                     double sum) {
  const std::string_view name = full_name.substr(0, full_name.find('{'));
  const std::string labels(full_name.substr(name.size()));
  const std::string bucket_labels =
      labels.empty() ? "{" : labels.substr(0, labels.size() - 1) + ",";
  std::uint64_t count = histogram_data.at(-1).value();
  const auto& axis = histogram_data.axis(0);
  for (int index = 0; index < axis.size(); ++index) {
    count += histogram_data.at(index).value();
    out << "crocusmast_" << name << "_bucket" << bucket_labels << "le=\""
        << axis.value(index + 1) << "\"} " << count << "\n";
  }
  count += histogram_data.at(axis.size()).value();
  out << "crocusmast_" << name << "_bucket" << bucket_labels << "le=\"+Inf\"} "
      << count << "\n"
      << "crocusmast_" << name << "_count" << labels << " " << count << "\n"
      << "crocusmast_" << name << "_sum" << labels << " " << sum << "\n";
}

}  // namespace internal

std::string MetricsRegistry::Format() const {
  constexpr double kSecondsPerNanosecond = 1e-9;
  std::ostringstream out;
  for (std::size_t index = 0; index < internal::kCounterCount; ++index) {
    out << "crocusmast_" << internal::kCounterNames[index] << " "
        << m_state->counters[index].load(std::memory_order_relaxed) << "\n";
  }
  for (std::size_t index = 0; index < internal::kTimingCount; ++index) {
    const auto nanoseconds = static_cast<double>(
        m_state->total_nanoseconds[index].load(std::memory_order_relaxed));
    internal::FormatHistogram(out, internal::kTimingNames[index],
                              m_state->histograms[index],
                              nanoseconds * kSecondsPerNanosecond);
  }
  for (std::size_t index = 0; index < internal::kSizeCount; ++index) {
    internal::FormatHistogram(
        out, internal::kSizeNames[index], m_state->size_histograms[index],
        static_cast<double>(
            m_state->total_bytes[index].load(std::memory_order_relaxed)));
  }
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  for (const auto& [name, read] : m_state->gauges) {
    out << "crocusmast_" << name << " " << read() << "\n";
  }
  out << "process_cpu_seconds_total " << internal::ProcessCpuSeconds() << "\n";
  return out.str();
}

}  // namespace crocusmast::adapters
