#ifndef TEST_SCHEDULING_BURST_MODEL_H_
#define TEST_SCHEDULING_BURST_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <vector>

#include "crocusmast/scheduling/job_order.h"

namespace test {

namespace core = crocusmast::core;
namespace scheduling = crocusmast::scheduling;

/** @brief How the jobs of a burst were served; all are shares of 1. */
struct BurstResult {
  double served = 0;
  double served_of_largest_tenth = 0;
  double served_of_next_fifth = 0;
  /** @brief Credit earned of what was owed, by the job interface's worth of a
   * job: 0.3, and 0.7 by its work against the mean; late 0.07 of it. */
  double credit = 0;
  /** @brief Run time that was spent on expired jobs. */
  double expired_work = 0;
  /** @brief Seconds from the end of the burst until no late job waits. */
  double recovery_s = 0;
  bool is_all_ended = true;

  friend std::ostream& operator<<(std::ostream& out,
                                  const BurstResult& result) {
    return out << "served " << result.served << ", of the largest tenth "
               << result.served_of_largest_tenth << ", of the next fifth "
               << result.served_of_next_fifth << ", credit " << result.credit
               << ", work on expired jobs " << result.expired_work
               << ", recovered after " << result.recovery_s << " s";
  }
};

/**
 * @brief A pool that jobs of one to three steps share while they arrive at half
 * of its capacity, and at eight times that rate for four seconds.
 */
class BurstModel {
 public:
  /** @brief Tells whether the tasks of the left job are placed first. */
  using Order = std::function<bool(const scheduling::JobUrgency& left,
                                   const scheduling::JobUrgency& right,
                                   core::TimePoint now)>;

  /**
   * @brief Returns the mean of several plays.
   * @param seeds Number of plays.
   * @param estimate_factor Estimated run times, as multiples of the real ones.
   * @param expired_share_percent Share of the pool up to which tasks of expired
   * jobs are started.
   * @param outage_seconds Time from the middle of the burst in which no task is
   * started, as while the store is away.
   * @param order The order of the jobs.
   */
  static BurstResult Mean(unsigned seeds,
                          double estimate_factor,
                          std::uint64_t expired_share_percent,
                          double outage_seconds,
                          const Order& order) {
    BurstResult mean;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      BurstModel model(seed, estimate_factor, expired_share_percent,
                       outage_seconds);
      const BurstResult result = model.Play(order);
      mean.served += result.served / seeds;
      mean.served_of_largest_tenth += result.served_of_largest_tenth / seeds;
      mean.served_of_next_fifth += result.served_of_next_fifth / seeds;
      mean.credit += result.credit / seeds;
      mean.expired_work += result.expired_work / seeds;
      mean.recovery_s += result.recovery_s / seeds;
      mean.is_all_ended = mean.is_all_ended && result.is_all_ended;
    }
    return mean;
  }

 private:
  static constexpr std::chrono::milliseconds kTick{20};
  static constexpr int kSlots = 66;
  static constexpr double kTrafficSeconds = 25;
  static constexpr double kBurstBegin = 3;
  static constexpr double kBurstEnd = 7;
  static constexpr double kJobsPerSecond = 4.5;
  static constexpr double kBurstFactor = 8;
  static constexpr double kPlaySeconds = 80;

  struct Job {
    double arrival = 0;
    int steps = 1;
    int width = 1;
    double run_seconds = 0;
    double objective = 0;
    int step = 0;
    int ready = 0;
    int running = 0;
    bool is_started = false;
    double ended_at = -1;

    double Work() const { return steps * width * run_seconds; }
    bool IsServed() const {
      return ended_at >= 0 && ended_at <= arrival + objective;
    }
  };

  BurstModel(unsigned seed,
             double estimate_factor,
             std::uint64_t expired_share_percent,
             double outage_seconds)
      : m_random(seed),
        m_estimate_factor(estimate_factor),
        m_expired_share_percent(expired_share_percent),
        m_outage_seconds(outage_seconds) {
    std::lognormal_distribution<double> width(1.9, 0.6);
    double now = 0;
    while (now < kTrafficSeconds) {
      const bool is_burst = kBurstBegin <= now && now < kBurstEnd;
      now += std::exponential_distribution<double>(
          kJobsPerSecond * (is_burst ? kBurstFactor : 1.0))(m_random);
      Job job;
      job.arrival = now;
      const double steps = Uniform(0, 1);
      job.steps = steps < 0.5 ? 1 : steps < 0.9 ? 2 : 3;
      job.width = std::clamp(static_cast<int>(width(m_random)), 1, 32);
      job.run_seconds = 0.64 * Uniform(0.7, 1.4);
      job.objective = 0.6 + 2 * job.steps * job.run_seconds;
      job.ready = job.width;
      m_jobs.push_back(job);
    }
  }

  double Uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(m_random);
  }

  static core::Duration ToDuration(double seconds) {
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(seconds));
  }
  static core::TimePoint ToTime(double seconds) {
    return core::TimePoint(std::chrono::hours(1)) + ToDuration(seconds);
  }

  scheduling::JobUrgency UrgencyOf(const Job& job, double factor) const {
    scheduling::JobUrgency urgency;
    urgency.is_started = job.is_started;
    urgency.accepted_at = ToTime(job.arrival);
    urgency.objective = ToDuration(job.objective);
    urgency.remaining =
        ToDuration((job.steps - job.step) * job.run_seconds * factor);
    return urgency;
  }

  BurstResult Play(const Order& order) {
    BurstResult result;
    double work = 0;
    double expired_work = 0;
    for (double now = 0; now < kPlaySeconds;
         now += std::chrono::duration<double>(kTick).count()) {
      EndRuns(now);
      std::vector<Job*> waiting;
      for (Job& job : m_jobs) {
        if (job.arrival <= now && job.ready > 0) {
          waiting.push_back(&job);
        }
      }
      std::stable_sort(waiting.begin(), waiting.end(),
                       [&](const Job* left, const Job* right) {
                         return order(UrgencyOf(*left, m_estimate_factor),
                                      UrgencyOf(*right, m_estimate_factor),
                                      ToTime(now));
                       });
      for (Job* job : waiting) {
        const auto timeliness = [&](double factor) {
          return scheduling::JobRank::Of(UrgencyOf(*job, factor), ToTime(now))
              .timeliness;
        };
        const bool counts_as_expired =
            timeliness(m_estimate_factor) == scheduling::Timeliness::kExpired;
        const bool is_expired =
            timeliness(1.0) == scheduling::Timeliness::kExpired;
        while (job->ready > 0 && !IsOutage(now) &&
               MayStart(counts_as_expired)) {
          Start(*job, now);
          work += job->run_seconds;
          expired_work += is_expired ? job->run_seconds : 0;
        }
        if (timeliness(1.0) != scheduling::Timeliness::kInTime) {
          result.recovery_s = std::max(result.recovery_s, now - kBurstEnd);
        }
      }
    }
    result.expired_work = expired_work / work;
    Count(result);
    return result;
  }

  bool IsOutage(double now) const {
    constexpr double kBegin = (kBurstBegin + kBurstEnd) / 2;
    return kBegin <= now && now < kBegin + m_outage_seconds;
  }

  bool MayStart(bool is_expired) const {
    const auto running = static_cast<std::uint64_t>(m_runs.size());
    return running < kSlots &&
           (!is_expired || running * 100 < kSlots * m_expired_share_percent);
  }

  void Start(Job& job, double now) {
    --job.ready;
    ++job.running;
    job.is_started = true;
    m_runs.emplace(now + job.run_seconds * Uniform(0.85, 1.15), &job);
  }

  void EndRuns(double now) {
    while (!m_runs.empty() && m_runs.begin()->first <= now) {
      Job& job = *m_runs.begin()->second;
      m_runs.erase(m_runs.begin());
      if (--job.running > 0 || job.ready > 0) {
        continue;
      }
      if (++job.step == job.steps) {
        job.ended_at = now;
      } else {
        job.ready = job.width;
      }
    }
  }

  void Count(BurstResult& result) {
    std::sort(m_jobs.begin(), m_jobs.end(),
              [](const Job& left, const Job& right) {
                return right.Work() < left.Work();
              });
    double mean_work = 0;
    for (const Job& job : m_jobs) {
      mean_work += job.Work() / static_cast<double>(m_jobs.size());
    }
    const std::size_t tenth = m_jobs.size() / 10;
    double owed = 0;
    double earned = 0;
    for (const Job& job : m_jobs) {
      const double worth = std::min(4.0, 0.3 + 0.7 * job.Work() / mean_work);
      const bool is_late =
          job.ended_at >= 0 &&
          job.ended_at <=
              job.arrival + scheduling::kExpiryFactor * job.objective;
      owed += worth;
      earned += job.IsServed() ? worth : is_late ? 0.07 * worth : 0;
      result.is_all_ended = result.is_all_ended && job.ended_at >= 0;
    }
    result.credit = earned / owed;
    result.served = ShareServed(0, m_jobs.size());
    result.served_of_largest_tenth = ShareServed(0, tenth);
    result.served_of_next_fifth = ShareServed(tenth, 3 * tenth);
  }

  double ShareServed(std::size_t begin, std::size_t end) const {
    double served = 0;
    for (std::size_t index = begin; index < end; ++index) {
      served += m_jobs[index].IsServed() ? 1 : 0;
    }
    return served / static_cast<double>(end - begin);
  }

  std::mt19937 m_random;
  const double m_estimate_factor;
  const std::uint64_t m_expired_share_percent;
  const double m_outage_seconds;
  std::vector<Job> m_jobs;
  /** @brief Active runs by the time of their end. */
  std::multimap<double, Job*> m_runs;
};

}  // namespace test

#endif  // TEST_SCHEDULING_BURST_MODEL_H_
