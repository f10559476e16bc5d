#ifndef CROCUSMAST_EXECUTION_WORKER_H_
#define CROCUSMAST_EXECUTION_WORKER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/execution/orders.h"
#include "crocusmast/execution/worker_record.h"

namespace crocusmast::execution {

/** @brief A worker's clock may be this many per cent slow; from its contract.
 */
inline constexpr int kMaxClockDriftPercent = 2;

/** @brief One run as its worker's aggregate knows it. */
struct AssignedRun {
  /** @brief What it takes; its processor time is 0 for a filler. */
  job::Room resources;
  /** @brief It takes what the others leave. */
  bool is_filler = false;
  /** @brief The worker has said that it runs. */
  bool is_confirmed = false;
  /** @brief An order for it went without an answer. */
  bool has_unanswered_start = false;
  /** @brief It has been told to stop. */
  bool is_stopping = false;
  /** @brief It was told the share at which fillers may work here. */
  bool has_cpu_share = false;
  /** @brief The worker has taken the order to stop. */
  bool is_stop_acknowledged = false;
  /** @brief Looks with a higher number must name it. */
  std::uint64_t confirmed_at_poll = 0;
  /** @brief When the order under way was sent. */
  core::TimePoint ordered_at;
  /** @brief An order is under way. */
  bool is_command_pending = false;
};

/** @brief Names one run of a task. */
struct RunKey {
  job::TaskId task;
  core::Attempt attempt;

  friend bool operator<(const RunKey& left, const RunKey& right) {
    return left.task == right.task ? left.attempt < right.attempt
                                   : left.task < right.task;
  }
};

/**
 * @brief One worker: its room, its lease, and the runs that may be on it.
 *
 * Its rules: room is taken from the order until the end is listed; nothing runs
 * after the last lease ever asked for has surely lapsed; a new life holds
 * nothing of the one before.
 */
class Worker {
 public:
  /**
   * @brief Makes a worker from its entry.
   * @param record The entry.
   * @param now The time.
   */
  Worker(WorkerRecord record, core::TimePoint now);

  /** @brief Returns the newest entry. */
  const WorkerRecord& Record() const { return m_record; }
  /** @brief Tells whether the membership list names it. */
  bool IsListed() const { return m_is_listed; }

  /**
   * @brief Takes in a newer entry.
   * @param record The entry.
   * @param now The time.
   * @return True if a new life began, which holds nothing of before.
   */
  bool Update(WorkerRecord record, core::TimePoint now);

  /** @brief Takes in that the membership list no longer names it. */
  void MarkUnlisted() { m_is_listed = false; }

  /**
   * @brief Takes in what the worker's clock showed.
   * @param clock The clock.
   * @param now When the answer came.
   */
  void UpdateClock(WorkerTime clock, core::TimePoint now);

  /**
   * @brief Asks for a lease, and remembers it as given.
   * @param hold How long.
   * @param now The time.
   * @return The end of the lease on the worker's clock.
   */
  WorkerTime ExtendLease(std::chrono::milliseconds hold, core::TimePoint now);

  /**
   * @brief Takes in that somebody else may have given a lease.
   * @param until When it has surely ended.
   */
  void AssumeLeaseUntil(core::TimePoint until) {
    m_lease_expires_at = std::max(m_lease_expires_at, until);
  }

  /** @brief Returns the end of the longest lease asked for. */
  WorkerTime LeaseUntil() const { return m_lease_until; }

  /**
   * @brief Tells whether nothing can run here any more.
   * @param now The time.
   */
  bool HasLeaseExpired(core::TimePoint now) const {
    return m_lease_expires_at <= now;
  }

  /** @brief Returns when surely nothing can run here any more. */
  core::TimePoint LeaseExpiresAt() const { return m_lease_expires_at; }

  /** @brief Returns what is free. */
  job::Room FreeResources() const;

  /**
   * @brief Takes room for a run.
   * @param key The run.
   * @param run What it takes.
   */
  void Add(const RunKey& key, const AssignedRun& run);

  /**
   * @brief Returns a run.
   * @param key The run.
   * @return The run, or null.
   */
  AssignedRun* Find(const RunKey& key);

  /**
   * @brief Gives a run's room back.
   * @param key The run.
   * @return True if it was held.
   */
  bool Remove(const RunKey& key);

  /** @brief Returns the runs that may be going on. */
  const std::map<RunKey, AssignedRun>& Runs() const { return m_runs; }

  /** @brief Returns the names of these runs. */
  std::vector<RunKey> Keys() const;

  /**
   * @brief Counts the tasks of a step here.
   * @param task A task of the step.
   */
  std::uint32_t CountTasksOfStep(const job::TaskId& task) const;

  /** @brief The ends up to here are recorded. */
  core::EndNumber recorded_end;
  /** @brief The ends up to here have been taken in. */
  core::EndNumber received_end;
  /** @brief The worker has been told that the ends up to here are recorded. */
  core::EndNumber acknowledged_end;
  /** @brief What the look under way says is recorded. */
  core::EndNumber acknowledging_end;
  /** @brief A look is under way. */
  bool is_poll_pending = false;
  /** @brief The number of the newest look. */
  std::uint64_t poll_sequence = 0;
  /** @brief It has answered a look of this holder. */
  bool is_reconciled = false;
  /** @brief No look is sent before. */
  core::TimePoint next_poll_at;
  /** @brief The store names it as a worker that this holder may use. */
  bool is_recorded_in_store = false;
  /** @brief No new work goes here before. */
  core::TimePoint backoff_until;
  /** @brief Looks in a row that went wrong. */
  std::uint32_t failed_polls = 0;
  /** @brief Runs in a row that failed. */
  std::uint32_t failed_runs = 0;
  /** @brief Set aside for upkeep or a move: no new work. */
  bool is_cordoned = false;
  /** @brief The share at which fillers may work here. */
  core::Percent best_effort_share{100};

 private:
  void BeginIncarnation(WorkerRecord record, core::TimePoint now);

  WorkerRecord m_record;
  bool m_is_listed = true;
  WorkerTime m_clock;
  core::TimePoint m_clock_read_at;
  WorkerTime m_lease_until;
  core::TimePoint m_lease_expires_at;
  std::map<RunKey, AssignedRun> m_runs;
  job::Room m_used;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_H_
