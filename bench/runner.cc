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

constexpr std::size_t kQueue = 1 << 20;
constexpr std::chrono::seconds kWait{1};

/** @brief A request and when it is meant to start. */
struct Job {
  LoadRequest request;
  Clock::time_point starts_at;
};

/** @brief A request's end. */
struct Done {
  LoadRequest request;
  LoadOutcome outcome = LoadOutcome::kLost;
  std::chrono::nanoseconds latency{};
};

/** @brief Picks requests and their times, the same for the same seed. */
class Schedule {
 public:
  Schedule(const RunSettings& settings, const std::vector<MixEntry>& mix)
      : m_settings(settings), m_mix(mix), m_random(settings.seed) {
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const MixEntry& entry : mix) {
      weights.push_back(entry.weight);
    }
    m_pick =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }

  LoadRequest Next() {
    const std::string id = m_settings.id_prefix + "-" +
                           std::to_string(m_settings.seed) + "-" +
                           std::to_string(m_count++);
    return LoadRequest{id, &m_mix[m_pick(m_random)]};
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
  std::discrete_distribution<std::size_t> m_pick;
  std::uint64_t m_count = 0;
};

void SendAll(Sender& sender, BoundedRing<Job>& jobs, BoundedRing<Done>& done) {
  while (true) {
    std::optional<Job> job = jobs.PopFor(kWait);
    if (!job) {
      if (jobs.IsClosed()) {
        return;
      }
      continue;
    }
    const LoadOutcome outcome = sender.Send(job->request);
    done.PushFor(Done{job->request, outcome, Clock::now() - job->starts_at},
                 kWait);
  }
}

void Collect(BoundedRing<Done>& done, OutcomeLog& log, Report& report) {
  while (true) {
    const std::optional<Done> item = done.PopFor(kWait);
    if (item) {
      report.Add(item->request, item->outcome, item->latency);
      log.Write(item->request, item->outcome);
    } else if (done.IsClosed()) {
      return;
    }
  }
}

void Feed(const RunSettings& settings,
          Schedule& schedule,
          BoundedRing<Job>& jobs) {
  const Clock::time_point end = Clock::now() + settings.length;
  Clock::time_point next = Clock::now();
  while (next < end) {
    if (settings.rate > 0) {
      next += schedule.NextGap();
      std::this_thread::sleep_until(next);
    } else {
      next = Clock::now();
    }
    jobs.PushFor(Job{schedule.Next(), next}, kWait);
  }
}

}  // namespace internal

void Run(const RunSettings& settings,
         const std::vector<MixEntry>& mix,
         OutcomeLog& log,
         Report& report) {
  using internal::BoundedRing;
  BoundedRing<internal::Job> jobs(settings.rate > 0 ? internal::kQueue
                                                    : settings.threads);
  BoundedRing<internal::Done> done(internal::kQueue);
  std::vector<std::thread> senders;
  for (std::size_t index = 0; index < settings.threads; ++index) {
    SenderSettings chosen = settings.sender;
    chosen.first = index;
    senders.emplace_back([chosen, &jobs, &done] {
      internal::SendAll(*MakeHttpSender(chosen), jobs, done);
    });
  }
  std::thread collector([&] { internal::Collect(done, log, report); });
  internal::Schedule schedule(settings, mix);
  internal::Feed(settings, schedule, jobs);
  jobs.Close();
  for (std::thread& sender : senders) {
    sender.join();
  }
  done.Close();
  collector.join();
}

}  // namespace bench
