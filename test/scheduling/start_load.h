#ifndef TEST_SCHEDULING_START_LOAD_H_
#define TEST_SCHEDULING_START_LOAD_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "test/scheduling/scheduler_fixture.h"

namespace test {

/**
 * @brief A steady load of short tasks on a fleet, in virtual time.
 *
 * Each event reaches the scheduler by itself and is followed by a cycle, as on
 * a leader that keeps up with its load. Only the processor time of the
 * scheduler is measured.
 */
class StartLoad {
 public:
  static constexpr std::uint64_t kWorkerProcessor = 16000;
  static constexpr std::uint64_t kTaskProcessor = 2200;
  static constexpr std::uint32_t kTasksPerJob = 8;
  static constexpr std::chrono::milliseconds kRunTime{800};

  /** @brief What differs between loads. */
  struct Settings {
    std::uint32_t workers = 0;
    /** @brief Starts a second; 2,000 need 3,520 cores. */
    std::uint32_t start_rate = 2000;
    /** @brief Time from a commit to its reply. */
    std::chrono::milliseconds commit_reply_delay{8};
    /** @brief The tasks of a job run for kRunTime and up to this much more or
     * less, so that they end one after the other. */
    std::chrono::milliseconds run_time_spread{0};
  };

  explicit StartLoad(const Settings& settings) : m_settings(settings) {
    m_fixture.BeginTerm();
    std::vector<execution::WorkerRecord> records;
    for (std::uint32_t index = 0; index < settings.workers; ++index) {
      records.push_back(
          MakeWorker("w-" + std::to_string(index), 1, kWorkerProcessor));
    }
    m_fixture.SetWorkers(std::move(records));
    TakeCommands();
  }

  /** @brief Lets some time of the load pass. */
  void Run(core::Duration time) {
    const core::TimePoint until = m_fixture.clock.Now() + time;
    while (m_fixture.clock.Now() < until) {
      m_fixture.ReceiveStoreState();
      if (m_next_job_at <= m_fixture.clock.Now()) {
        m_next_job_at = m_fixture.clock.Now() + JobInterval();
        AddJob();
      } else if (!m_events.empty() &&
                 m_events.top().at <= m_fixture.clock.Now()) {
        const Event event = m_events.top();
        m_events.pop();
        Deliver(event);
      } else {
        const core::TimePoint next =
            m_events.empty() ? m_next_job_at
                             : std::min(m_next_job_at, m_events.top().at);
        m_fixture.clock.Advance(next - m_fixture.clock.Now());
      }
    }
  }

  std::uint64_t Starts() const { return m_starts; }
  /** @brief Times from the arrival of a job to its first start command, in the
   * order of the starts. */
  const std::vector<core::Duration>& StartWaits() const {
    return m_start_waits;
  }
  /** @brief Processor time of the scheduler so far. */
  std::chrono::nanoseconds Spent() const { return m_spent; }

 private:
  enum class Kind { kStartReply, kPollReply, kCommitReply };
  struct Event {
    core::TimePoint at;
    std::uint64_t sequence = 0;
    Kind kind = Kind::kStartReply;
    /** @brief Index of the command that is answered. */
    std::size_t index = 0;

    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(right.at, right.sequence) <
             std::pair(left.at, left.sequence);
    }
  };
  struct SimulatedRun {
    execution::StartCommand start;
    core::TimePoint ends_at;
  };
  struct SimulatedWorker {
    std::vector<SimulatedRun> runs;
    std::vector<execution::EndedRunReport> ended;
    std::uint64_t last_end = 0;
    /** @brief Index of the last poll, which waits while is_polled is set. */
    std::size_t poll = 0;
    bool is_polled = false;
  };

  core::Duration JobInterval() const {
    return core::Duration(std::chrono::seconds(kTasksPerJob)) /
           m_settings.start_rate;
  }
  core::Duration RunTimeOf(const execution::StartCommand& start) const {
    return kRunTime + m_settings.run_time_spread *
                          (2 * static_cast<int>(start.task.key.index) -
                           static_cast<int>(kTasksPerJob)) /
                          static_cast<int>(kTasksPerJob);
  }
  static constexpr std::chrono::milliseconds kReplyDelay{2};

  static std::chrono::nanoseconds ProcessorTime() {
    std::timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

  template <typename Action>
  void Measure(Action action) {
    const std::chrono::nanoseconds begin = ProcessorTime();
    action();
    m_fixture.scheduler.RunCycle(m_fixture.clock.Now());
    m_spent += ProcessorTime() - begin;
    TakeCommands();
  }

  void AddJob() {
    const std::string digits = std::to_string(m_jobs++);
    const job::AcceptedJob added =
        MakeJob(std::string(16 - digits.size(), '0') + digits,
                {MakeStep(kTasksPerJob, kTaskProcessor)});
    m_arrivals.emplace(added.id, m_fixture.clock.Now());
    Measure([&] { m_fixture.scheduler.AddJob(added); });
  }

  void Schedule(core::Duration delay, Kind kind, std::size_t index) {
    m_events.push({m_fixture.clock.Now() + delay, ++m_sequence, kind, index});
  }

  void TakeCommands() {
    RecordingWorkerPort& port = m_fixture.worker_port;
    for (execution::StartCommand& start : port.starts) {
      ++m_starts;
      if (const auto arrival = m_arrivals.find(start.task.job);
          arrival != m_arrivals.end()) {
        m_start_waits.push_back(m_fixture.clock.Now() - arrival->second);
        m_arrivals.erase(arrival);
      }
      m_sent_starts.push_back(std::move(start));
      Schedule(kReplyDelay, Kind::kStartReply, m_sent_starts.size() - 1);
    }
    port.starts.clear();
    for (execution::PollCommand& poll : port.polls) {
      SimulatedWorker& worker = m_simulated[poll.to.worker];
      m_polls.push_back(std::move(poll));
      m_waiting_since.push_back(m_fixture.clock.Now());
      worker.poll = m_polls.size() - 1;
      worker.is_polled = true;
      Schedule(kReplyDelay, Kind::kPollReply, worker.poll);
      Schedule(kReplyDelay + m_polls.back().max_wait, Kind::kPollReply,
               worker.poll);
    }
    port.polls.clear();
    for (; m_fixture.replied_commits + m_pending_commits <
           m_fixture.store.commits.size();
         ++m_pending_commits) {
      Schedule(m_settings.commit_reply_delay, Kind::kCommitReply, 0);
    }
  }

  void Deliver(const Event& event) {
    switch (event.kind) {
      case Kind::kStartReply: {
        const execution::StartCommand& start = m_sent_starts[event.index];
        SimulatedWorker& worker = m_simulated[start.to.worker];
        const core::Duration run_time = RunTimeOf(start);
        worker.runs.push_back({start, m_fixture.clock.Now() + run_time});
        if (worker.is_polled) {
          Schedule(run_time, Kind::kPollReply, worker.poll);
        }
        Measure([&] {
          m_fixture.ReplyToStart(start, execution::WorkerCallOutcome::kDone);
        });
        break;
      }
      case Kind::kPollReply:
        ReplyToPoll(event.index);
        break;
      case Kind::kCommitReply:
        ReplyToCommit();
        break;
    }
  }

  void ReplyToCommit() {
    const job::Commit& commit =
        m_fixture.store.commits[m_fixture.replied_commits++];
    --m_pending_commits;
    job::CommitReply reply;
    reply.sequence = commit.sequence;
    reply.outcome = job::StoreOutcome::kDone;
    reply.revision = core::Revision(++m_fixture.revision);
    Measure([&] { m_fixture.scheduler.Handle(reply); });
  }

  void ReplyToPoll(std::size_t index) {
    const execution::PollCommand& poll = m_polls[index];
    SimulatedWorker& worker = m_simulated[poll.to.worker];
    if (!worker.is_polled || worker.poll != index) {
      return;
    }
    const core::TimePoint now = m_fixture.clock.Now();
    EndRuns(worker, now);
    const auto recorded = [&poll](const execution::EndedRunReport& end) {
      return !(poll.recorded < end.number);
    };
    worker.ended.erase(
        std::remove_if(worker.ended.begin(), worker.ended.end(), recorded),
        worker.ended.end());
    core::TimePoint next_end = core::TimePoint::max();
    execution::PollReply reply;
    for (const SimulatedRun& run : worker.runs) {
      reply.running.push_back({run.start.task, run.start.attempt, "", 50, {}});
      next_end = std::min(next_end, run.ends_at);
    }
    const bool has_waited = poll.max_wait.count() == 0 ||
                            m_waiting_since[index] + poll.max_wait <= now;
    if (worker.ended.empty() && !has_waited) {
      if (next_end != core::TimePoint::max()) {
        Schedule(next_end - now, Kind::kPollReply, index);
      }
      return;
    }
    worker.is_polled = false;
    reply.worker = poll.to.worker;
    reply.incarnation = poll.to.incarnation;
    reply.sequence = poll.sequence;
    reply.outcome = execution::WorkerCallOutcome::kDone;
    reply.clock = execution::WorkerTime(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch()));
    reply.ended = worker.ended;
    Measure([&] { m_fixture.scheduler.Handle(reply); });
  }

  static void EndRuns(SimulatedWorker& worker, core::TimePoint now) {
    for (std::size_t next = 0; next < worker.runs.size();) {
      if (now < worker.runs[next].ends_at) {
        ++next;
        continue;
      }
      worker.ended.push_back(SchedulerFixture::EndedRun(
          worker.runs[next].start, ++worker.last_end, job::RunOutcome::kDone));
      worker.runs.erase(worker.runs.begin() +
                        static_cast<std::ptrdiff_t>(next));
    }
  }

  const Settings m_settings;
  SchedulerFixture m_fixture;
  /** @brief Arrivals of the jobs without a start command. */
  std::map<core::JobId, core::TimePoint> m_arrivals;
  std::vector<core::Duration> m_start_waits;
  core::TimePoint m_next_job_at;
  std::uint64_t m_jobs = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_sequence = 0;
  std::size_t m_pending_commits = 0;
  std::chrono::nanoseconds m_spent{};
  std::map<core::InstanceId, SimulatedWorker> m_simulated;
  std::vector<execution::StartCommand> m_sent_starts;
  std::vector<execution::PollCommand> m_polls;
  std::vector<core::TimePoint> m_waiting_since;
  std::priority_queue<Event> m_events;
};

}  // namespace test

#endif  // TEST_SCHEDULING_START_LOAD_H_
