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
inline constexpr int kSlowClockPercent = 2;

/** @brief One run as its worker's aggregate knows it. */
struct HeldRun {
  /** @brief What it takes; its processor time is 0 for a filler. */
  job::Room room;
  /** @brief It takes what the others leave. */
  bool is_filler = false;
  /** @brief The worker has said that it runs. */
  bool is_confirmed = false;
  /** @brief An order for it went without an answer. */
  bool is_uncertain = false;
  /** @brief It has been told to stop. */
  bool is_stopping = false;
  /** @brief It was told the share at which fillers may work here. */
  bool is_paced = false;
  /** @brief The worker has taken the order to stop. */
  bool is_stop_taken = false;
  /** @brief Looks with a higher number must name it. */
  std::uint64_t confirmed_after = 0;
  /** @brief When the order under way was sent. */
  core::TimePoint ordered_at;
  /** @brief An order is under way. */
  bool is_asked = false;
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
  void Unlist() { m_is_listed = false; }

  /**
   * @brief Takes in what the worker's clock showed.
   * @param clock The clock.
   * @param now When the answer came.
   */
  void ReadClock(WorkerTime clock, core::TimePoint now);

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
  void AssumeLease(core::TimePoint until) {
    m_lapsed_at = std::max(m_lapsed_at, until);
  }

  /** @brief Returns the end of the longest lease asked for. */
  WorkerTime LeaseUntil() const { return m_lease_until; }

  /**
   * @brief Tells whether nothing can run here any more.
   * @param now The time.
   */
  bool HasLapsed(core::TimePoint now) const { return m_lapsed_at <= now; }

  /** @brief Returns when surely nothing can run here any more. */
  core::TimePoint LapsedAt() const { return m_lapsed_at; }

  /** @brief Returns what is free. */
  job::Room Free() const;

  /**
   * @brief Takes room for a run.
   * @param key The run.
   * @param run What it takes.
   */
  void Add(const RunKey& key, const HeldRun& run);

  /**
   * @brief Returns a run.
   * @param key The run.
   * @return The run, or null.
   */
  HeldRun* Find(const RunKey& key);

  /**
   * @brief Gives a run's room back.
   * @param key The run.
   * @return True if it was held.
   */
  bool Remove(const RunKey& key);

  /** @brief Returns the runs that may be going on. */
  const std::map<RunKey, HeldRun>& Runs() const { return m_runs; }

  /** @brief Returns the names of these runs. */
  std::vector<RunKey> Keys() const;

  /**
   * @brief Counts the tasks of a step here.
   * @param task A task of the step.
   */
  std::uint32_t CountStep(const job::TaskId& task) const;

  /** @brief The ends up to here are recorded. */
  core::EndNumber recorded;
  /** @brief The ends up to here have been taken in. */
  core::EndNumber taken;
  /** @brief The worker has been told that the ends up to here are recorded. */
  core::EndNumber acknowledged;
  /** @brief What the look under way says is recorded. */
  core::EndNumber acknowledging;
  /** @brief A look is under way. */
  bool is_looking = false;
  /** @brief The number of the newest look. */
  std::uint64_t look_sequence = 0;
  /** @brief It has answered a look of this holder. */
  bool is_adopted = false;
  /** @brief No look is sent before. */
  core::TimePoint look_not_before;
  /** @brief The store names it as a worker that this holder may use. */
  bool is_noted = false;
  /** @brief No new work goes here before. */
  core::TimePoint avoided_until;
  /** @brief Looks in a row that went wrong. */
  std::uint32_t failed_looks = 0;
  /** @brief Runs in a row that failed. */
  std::uint32_t failed_runs = 0;
  /** @brief Set aside for upkeep or a move: no new work. */
  bool is_cordoned = false;
  /** @brief The share at which fillers may work here. */
  core::Percent filler_share{100};

 private:
  void BeginLife(WorkerRecord record, core::TimePoint now);

  WorkerRecord m_record;
  bool m_is_listed = true;
  WorkerTime m_clock;
  core::TimePoint m_clock_read_at;
  WorkerTime m_lease_until;
  core::TimePoint m_lapsed_at;
  std::map<RunKey, HeldRun> m_runs;
  job::Room m_used;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_H_
