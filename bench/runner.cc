#include "bench/runner.h"

#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "crocusmast/core/bounded_ring.h"

namespace bench {
namespace internal {

using Clock = std::chrono::steady_clock;
using crocusmast::core::BoundedRing;

constexpr std::size_t kRingCapacity = 1 << 20;
constexpr std::chrono::seconds kRingTimeout{1};

/** @brief A request and its scheduled start. */
struct ScheduledRequest {
  LoadRequest request;
  Clock::time_point starts_at;
};

/** @brief A completed request. */
struct CompletedRequest {
  LoadRequest request;
  LoadOutcome outcome = LoadOutcome::kLost;
  std::chrono::nanoseconds latency{};
};

/** @brief Generates requests and their start times; repeatable for a seed. */
class RequestGenerator {
 public:
  RequestGenerator(const RunSettings& settings,
                   const std::vector<MixEntry>& mix)
      : m_settings(settings), m_mix(mix), m_random(settings.seed) {
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const MixEntry& entry : mix) {
      weights.push_back(entry.weight);
    }
    m_entry_distribution =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }

  LoadRequest Next() {
    const std::string id = m_settings.id_prefix + "-" +
                           std::to_string(m_settings.seed) + "-" +
                           std::to_string(m_count++);
    return LoadRequest{id, &m_mix[m_entry_distribution(m_random)]};
  }

  std::chrono::nanoseconds NextGap() {
    std::exponential_distribution<double> gap(m_settings.rate);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(gap(m_random)));
  }

 private:
  const RunSettings& m_settings;
  const std::vector<MixEntry>& m_mix;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::size_t> m_entry_distribution;
  std::uint64_t m_count = 0;
};

void SendAll(Sender& sender,
             BoundedRing<ScheduledRequest>& scheduled,
             BoundedRing<CompletedRequest>& completed) {
  while (true) {
    std::optional<ScheduledRequest> item = scheduled.PopFor(kRingTimeout);
    if (!item) {
      if (scheduled.IsClosed()) {
        return;
      }
      continue;
    }
    const LoadOutcome outcome = sender.Send(item->request);
    completed.PushFor(CompletedRequest{item->request, outcome,
                                       Clock::now() - item->starts_at},
                      kRingTimeout);
  }
}

void Collect(BoundedRing<CompletedRequest>& completed,
             OutcomeLog& log,
             Report& report) {
  while (true) {
    const std::optional<CompletedRequest> item = completed.PopFor(kRingTimeout);
    if (item) {
      report.Add(item->request, item->outcome, item->latency);
      log.Write(item->request, item->outcome);
    } else if (completed.IsClosed()) {
      return;
    }
  }
}

void GenerateRequests(const RunSettings& settings,
                      RequestGenerator& generator,
                      BoundedRing<ScheduledRequest>& scheduled) {
  const Clock::time_point end = Clock::now() + settings.duration;
  Clock::time_point next = Clock::now();
  while (next < end) {
    if (settings.rate > 0) {
      next += generator.NextGap();
      std::this_thread::sleep_until(next);
    } else {
      next = Clock::now();
    }
    scheduled.PushFor(ScheduledRequest{generator.Next(), next}, kRingTimeout);
  }
}

}  // namespace internal

void Run(const RunSettings& settings,
         const std::vector<MixEntry>& mix,
         OutcomeLog& log,
         Report& report) {
  using internal::BoundedRing;
  BoundedRing<internal::ScheduledRequest> scheduled(
      settings.rate > 0 ? internal::kRingCapacity : settings.threads);
  BoundedRing<internal::CompletedRequest> completed(internal::kRingCapacity);
  std::vector<std::thread> senders;
  for (std::size_t index = 0; index < settings.threads; ++index) {
    SenderSettings sender_settings = settings.sender;
    sender_settings.first_address = index;
    senders.emplace_back([sender_settings, &scheduled, &completed] {
      internal::SendAll(*MakeHttpSender(sender_settings), scheduled, completed);
    });
  }
  std::thread collector([&] { internal::Collect(completed, log, report); });
  internal::RequestGenerator generator(settings, mix);
  internal::GenerateRequests(settings, generator, scheduled);
  scheduled.Close();
  for (std::thread& sender : senders) {
    sender.join();
  }
  completed.Close();
  collector.join();
}

}  // namespace bench
