#ifndef CROCUSMAST_EXECUTION_WORKER_H_
#define CROCUSMAST_EXECUTION_WORKER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/execution/assigned_run.h"
#include "crocusmast/execution/commands.h"
#include "crocusmast/execution/worker_record.h"

namespace crocusmast::execution {

/**
 * @brief How much slower than real time a worker's clock may run, in per cent.
 *
 * Guaranteed by the worker interface.
 */
inline constexpr int kMaxClockDriftPercent = 2;

/**
 * @brief Returns the real time that a slow worker clock may take to advance.
 *
 * One per cent is added, because a clock that is 2 per cent slow takes 1 / 0.98
 * of the time, which is more than 1.02.
 * @param time The time that passes on the worker's clock.
 */
core::Duration WithClockDrift(core::Duration time);

/** @brief No incarnation of a worker existed at some time. */
struct Absence {
  core::TimePoint at;
  /** @brief Its machine has another worker by now, so that none will exist. */
  bool is_final = false;
};

/**
 * @brief One worker: its resources, its lease, and the runs assigned to it.
 *
 * Invariants: a run's resources are reserved from the start command until the
 * worker reports its end; no run of the known incarnation outlives the latest
 * lease requested for the worker.
 *
 * All incarnations of a worker have one id and one address, so that a call to
 * one of them may be executed by a later one. What keeps that safe:
 * - Each incarnation is addressed with a fencing token of its own, above those
 *   of all earlier ones, and with nothing before it has one.
 * - Its first call is a poll. Once it has replied, it rejects all calls to
 *   earlier incarnations, and no other call was executed by it before but
 *   those that the reply shows.
 * - A run that a call to one incarnation may have started, or may still start,
 *   on a later one is held: its task starts nowhere else. It is let go when a
 *   reply of an incarnation that rejects the call shows that it does not run,
 *   or when the call can't be executed any more and the longest lease that any
 *   incarnation may have granted has expired. The end of the known incarnation
 *   or of its lease is no reason.
 */
class Worker {
 public:
  /**
   * @brief Creates a worker from its membership record.
   * @param record The membership record.
   * @param now The current time.
   */
  Worker(WorkerRecord record, core::TimePoint now);

  /** @brief Returns the latest membership record. */
  const WorkerRecord& Record() const { return m_record; }

  /** @brief Tells whether its present incarnation may be sent commands. */
  bool IsAddressable() const { return m_token != core::FencingToken(); }

  /**
   * @brief Sets the fencing token of its present incarnation, once.
   * @param token A token above those of all commands to earlier incarnations.
   */
  void SetToken(core::FencingToken token);

  /**
   * @brief Returns the destination of a command that is sent now.
   * @param now The current time.
   */
  CommandDestination Address(core::TimePoint now);

  /**
   * @brief Tells whether a command that was sent to any of its incarnations may
   * still be executed.
   * @param now The current time.
   */
  bool MayReceiveLateCommands(core::TimePoint now) const {
    return now < m_addressed_at + kMaxCommandDelay;
  }

  /**
   * @brief Holds the runs that a later incarnation may run or start, because
   * the present one or its lease has ended.
   * @param now The current time.
   * @param max_lease The longest lease that a worker grants.
   * @param absence When no incarnation existed, if that is known: runs that
   * were confirmed before have ended.
   * @return The other runs, which have ended.
   */
  std::vector<RunKey> HoldRuns(
      core::TimePoint now,
      std::chrono::milliseconds max_lease,
      const std::optional<Absence>& absence = std::nullopt);

  /**
   * @brief Holds one run, whose start may still be executed.
   * @param key The run; assigned.
   * @param max_lease The longest lease that a worker grants.
   */
  void HoldRun(const RunKey& key, std::chrono::milliseconds max_lease);

  /**
   * @brief Extends the time of the held runs, because a later incarnation
   * exists that may have begun them until now.
   * @param now The current time.
   * @param max_lease The longest lease that a worker grants.
   */
  void ExtendHeldRuns(core::TimePoint now, std::chrono::milliseconds max_lease);

  /**
   * @brief Returns the held runs that have ended for certain.
   * @param now The current time.
   */
  std::vector<RunKey> ExpiredHeldRuns(core::TimePoint now);

  /**
   * @brief Returns when all runs have ended for certain if every command is
   * executed at once, by whichever incarnation.
   * @param max_lease The longest lease that a worker grants.
   */
  core::TimePoint RunsEndAt(std::chrono::milliseconds max_lease) const;

  /** @brief Tells whether runs are assigned and all of them are held. */
  bool HasOnlyHeldRuns() const;
  /** @brief Tells whether any run is held. */
  bool HasHeldRuns() const;
  /** @brief Returns when its present incarnation became known. */
  core::TimePoint JoinedAt() const { return m_joined_at; }
  /** @brief Tells whether the membership list contains the worker. */
  bool IsListed() const { return m_is_listed; }

  /**
   * @brief Updates the membership record; ignores one of an older incarnation,
   * and one that this incarnation wrote before the known one.
   * @param record The membership record.
   * @param now The current time.
   * @return True if a new incarnation began, which discards all runs but held
   * ones.
   */
  bool Update(WorkerRecord record, core::TimePoint now);

  /** @brief Marks the worker as removed from the membership list. */
  void MarkUnlisted() { m_is_listed = false; }

  /**
   * @brief Sets the estimate of the worker's clock to a reading.
   * @param clock The clock reading in the worker's reply.
   * @param now When the reply arrived.
   */
  void UpdateClock(WorkerTime clock, core::TimePoint now);

  /**
   * @brief Extends the lease; it counts as granted as soon as it is requested.
   * @param length The length of the lease from now.
   * @param now The current time.
   * @return The end of the lease on the worker's clock.
   */
  WorkerTime ExtendLease(std::chrono::milliseconds length, core::TimePoint now);

  /**
   * @brief Accounts for a lease that an earlier leader may have granted.
   * @param until When that lease has certainly expired.
   */
  void AssumeLeaseUntil(core::TimePoint until) {
    m_lease_expires_at = std::max(m_lease_expires_at, until);
  }

  /**
   * @brief Updates the clock by a reply that may have been overtaken, or sent
   * by a later incarnation, whose clock starts anew: a reading below an earlier
   * one is ignored.
   * @param clock The clock reading in the worker's reply.
   * @param now The current time.
   */
  void AdvanceClock(WorkerTime clock, core::TimePoint now);

  /**
   * @brief Registers that a command with the latest lease end is sent; it
   * extends the lease of all that runs on the incarnation that executes it.
   * @param now The current time.
   */
  void MarkLeaseRequested(core::TimePoint now) { m_lease_requested_at = now; }

  /** @brief Returns the highest reading of the worker's clock in a reply. */
  WorkerTime AliveAt() const { return m_alive_at; }

  /** @brief Returns the latest lease end requested, on the worker's clock. */
  WorkerTime LeaseUntil() const { return m_lease_until; }

  /**
   * @brief Tells whether every lease has expired, so that no run is active.
   * @param now The current time.
   */
  bool HasLeaseExpired(core::TimePoint now) const {
    return m_lease_expires_at <= now;
  }

  /** @brief Returns when every lease has certainly expired. */
  core::TimePoint LeaseExpiresAt() const { return m_lease_expires_at; }

  /** @brief Returns the resources that no run reserves. */
  job::Resources FreeResources() const;

  /**
   * @brief Tells whether the capacity covers a further run beside the assigned
   * ones; false for every run if they exceed it in any component.
   * @param required The resources that the run reserves.
   */
  bool CanFit(const job::Resources& required) const;

  /** @brief Returns the resources that are free once all finite runs have
   * ended. */
  job::Resources FreeWithoutFiniteRuns() const;

  /** @brief Tells whether the assigned runs exceed the capacity, which may
   * shrink while the worker has runs. */
  bool IsOverCapacity() const;

  /**
   * @brief Assigns a run and reserves its resources.
   * @param key The run.
   * @param run Its resources and state.
   */
  void Add(const RunKey& key, const AssignedRun& run);

  /**
   * @brief Finds an assigned run.
   * @param key The run.
   * @return The run, or null.
   */
  AssignedRun* Find(const RunKey& key);

  /**
   * @brief Removes a run and releases its resources.
   * @param key The run.
   * @return True if the run was assigned to this worker.
   */
  bool Remove(const RunKey& key);

  /** @brief Returns the assigned runs, which may be active. */
  const std::map<RunKey, AssignedRun>& Runs() const { return m_runs; }

  /** @brief Returns a copy of the keys of the assigned runs. */
  std::vector<RunKey> Keys() const;

  /**
   * @brief Counts the runs of a step's tasks on this worker.
   * @param task A task of the step.
   */
  std::uint32_t CountTasksOfStep(const job::TaskId& task) const;

  /** @brief Ended runs up to this number are recorded in the store. */
  core::RunEndNumber recorded_end;
  /** @brief Ended runs up to this number have been processed. */
  core::RunEndNumber received_end;
  /** @brief The worker was told that ends up to this number are recorded. */
  core::RunEndNumber acknowledged_end;
  /** @brief The recorded number that the poll in flight carries. */
  core::RunEndNumber acknowledging_end;
  /** @brief A poll is in flight. */
  bool is_poll_pending = false;
  /** @brief When the latest poll was sent. */
  core::TimePoint poll_sent_at;
  /** @brief Send time of the last poll whose reply listed all runs of this
   * incarnation. */
  core::TimePoint runs_known_at;
  /** @brief The latest poll waits at the worker until a run ends. */
  bool is_poll_waiting = false;
  /** @brief Sequence number of the latest poll. */
  std::uint64_t poll_sequence = 0;
  /** @brief Its last reply left out ended runs. */
  bool has_unlisted_ends = false;
  /** @brief It has replied to a poll, or no earlier command can reach it: all
   * runs that it may have from earlier terms or incarnations are known. */
  bool is_reconciled = false;
  /** @brief Earliest time of the next poll. */
  core::TimePoint next_poll_at;
  /** @brief The stored handover state lists it, so it may be sent commands. */
  bool is_recorded_in_store = false;
  /** @brief No task is placed here before this time. */
  core::TimePoint backoff_until;
  /** @brief Consecutive polls that failed. */
  std::uint32_t failed_polls = 0;
  /** @brief When the first of them failed. */
  core::TimePoint silent_since;
  /** @brief No lease is granted, as the handover state tells a successor. */
  bool is_lease_frozen = false;
  /** @brief Consecutive runs that failed. */
  std::uint32_t failed_runs = 0;
  /** @brief Cordoned for maintenance or a move: no task is placed here. */
  bool is_cordoned = false;
  /** @brief Share of processor time that each best-effort run may use. */
  core::Percent best_effort_share{100};

 private:
  void BeginIncarnation(WorkerRecord record, core::TimePoint now);

  WorkerRecord m_record;
  /** @brief Fencing token of commands to the present incarnation; 0 for none
   * yet. */
  core::FencingToken m_token;
  /** @brief When the last command was sent to any incarnation. */
  core::TimePoint m_addressed_at;
  core::TimePoint m_joined_at;
  bool m_is_listed = true;
  /** @brief Latest reading of the worker's clock. */
  WorkerTime m_clock;
  /** @brief When that reading arrived. */
  core::TimePoint m_clock_read_at;
  /** @brief Highest reading of the worker's clock in a reply; replies may
   * overtake each other. */
  WorkerTime m_alive_at;
  /** @brief Latest lease end requested, on the worker's clock. */
  WorkerTime m_lease_until;
  /** @brief When every lease has certainly expired. */
  core::TimePoint m_lease_expires_at;
  /** @brief When a lease was last requested, of whichever incarnation. */
  core::TimePoint m_lease_requested_at;
  std::map<RunKey, AssignedRun> m_runs;
  /** @brief False if no run is held, so that they need not be visited. */
  bool m_may_have_held_runs = false;
  /** @brief Resources that the assigned runs reserve, without those that
   * reserve the whole worker. */
  job::Resources m_used;
  /** @brief The part of them that long-running runs reserve. */
  job::Resources m_used_by_long_running;
  /** @brief Number of assigned runs that reserve the whole worker. */
  std::size_t m_whole_worker_runs = 0;
};

}  // namespace crocusmast::execution

#endif  // CROCUSMAST_EXECUTION_WORKER_H_
