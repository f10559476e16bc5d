#ifndef CROCUSMAST_SCHEDULING_COMMITTER_H_
#define CROCUSMAST_SCHEDULING_COMMITTER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/job_store.h"
#include "crocusmast/scheduling/batch_index.h"

namespace crocusmast::scheduling {

/**
 * @brief The most entries that the jobs of one commit may use.
 *
 * The store accepts 32 conditions, writes and deletions per transaction. Five
 * are reserved: the claim, the last commit's revision as condition and write,
 * the handover state, and the commanded machines.
 */
inline constexpr std::size_t kMaxCommitEntries = 27;
/** @brief Estimated size of the largest batch. The store accepts values of
 * 1 MiB and delivers as much in one reply; each entry instance receives each
 * batch, some on a link of 20 Mbit/s, which takes 35 ms for this. */
inline constexpr std::size_t kMaxBatchBytes = std::size_t{64} * 1024;
/** @brief The most batches that the store holds, so that a list of the store,
 * with all batches as large as possible, takes below 4 s on such a link. */
inline constexpr std::size_t kMaxBatches = 100;
/** @brief From this number of batches on the oldest ones are emptied whatever
 * their age. */
inline constexpr std::size_t kManyBatches = kMaxBatches / 2;
/** @brief Age from which on the jobs of a batch that have not changed since get
 * records of their own. Most jobs change or end within this time. */
inline constexpr std::chrono::seconds kBatchAge{2};
/** @brief Delay after a commit, so that changes are batched. */
inline constexpr std::chrono::milliseconds kCommitDelay{15};
/** @brief Delay after a commit of less than kBusyCommitJobs jobs if start
 * commands wait for the next one. */
inline constexpr std::chrono::milliseconds kUrgentCommitDelay{5};
/** @brief Delay after a commit of at least kBusyCommitJobs jobs. More ended
 * runs share one commit and one poll, at the cost of a twentieth of a job's
 * slack.
 */
inline constexpr std::chrono::milliseconds kBusyCommitDelay{30};
inline constexpr std::size_t kBusyCommitJobs = 10;
/** @brief Delay before a commit that failed or got no reply is retried. */
inline constexpr std::chrono::milliseconds kCommitRetryDelay{100};

/**
 * @brief Returns the entries of a store transaction that a job uses in a record
 * of its own: a write, and in a final state the deletion of records that are
 * obsolete.
 * @param write The progress.
 */
std::size_t EntriesOf(const job::ProgressWrite& write);

/**
 * @brief Returns the estimated size of a job's progress in a batch, in bytes.
 * @param write The progress.
 */
std::size_t EstimateSize(const job::ProgressWrite& write);

/**
 * @brief Stores the progress of jobs, and tracks which run ends are recorded.
 *
 * If the changed jobs fit into one transaction, each is stored in a record of
 * its own. Otherwise they are stored in one batch, so that a change does not
 * wait for those of other jobs. What transactions leave free is used to move
 * jobs from batches, the ended ones first, to records of their own, and to
 * remove batches that are not the latest of any job.
 *
 * At most one commit is in flight. A commit without a reply may still take
 * effect later. Each commit is conditional on the revision of the previous one,
 * so that a delayed commit can't overwrite a newer one.
 */
class Committer {
 public:
  /** @brief Reads the progress of a job; returns nothing if the job is not
   * active. */
  using ProgressReader =
      std::function<std::optional<job::ProgressWrite>(const core::JobId&)>;

  /** @brief Discards all state at the end of a leadership term. */
  void Reset();

  /**
   * @brief Discards all state and begins a leadership term.
   * @param last_commit The store's revision of the last commit; 0 for none.
   */
  void BeginTerm(core::Revision last_commit);

  /**
   * @brief Adds a batch that an earlier leader stored.
   * @param batch The batch.
   */
  void AddStoredBatch(const job::BatchId& batch);

  /**
   * @brief Adds a job whose progress an earlier leader stored.
   * @param id The job.
   * @param queue Its queue.
   * @param state Its stored state.
   * @param batch The batch that contains it; absent if it has a record of its
   * own.
   */
  void AddStoredProgress(const core::JobId& id,
                         const core::QueueId& queue,
                         job::JobState state,
                         const std::optional<job::BatchId>& batch);

  /**
   * @brief Marks a job's progress as changed, to be stored.
   * @param id The job.
   */
  void MarkChanged(const core::JobId& id);

  /** @brief Registers that start commands wait for the next commit. */
  void MarkUrgent() { m_is_urgent = true; }

  /**
   * @brief Registers ended runs of a worker, which count as recorded once all
   * changes that are pending now are stored.
   * @param worker The worker.
   * @param last_end The number of the last ended run that was processed.
   */
  void AddRunEnds(const core::InstanceId& worker, core::RunEndNumber last_end);

  /**
   * @brief Sets the handover state that the next commit stores.
   * @param handover The state that a successor needs.
   */
  void SetHandover(job::HandoverState handover);

  /** @brief Returns the handover state of the commit that was stored last,
   * once; empty if that commit had none. */
  std::optional<job::HandoverState> TakeStoredHandover();

  /**
   * @brief Sets the commanded machines that the next commit stores.
   * @param machines The machines.
   */
  void SetCommandedMachines(job::CommandedMachines machines);

  /** @brief Returns the commanded machines of the commit that was stored last,
   * once; empty if that commit had none. */
  std::optional<job::CommandedMachines> TakeStoredCommandedMachines();

  /**
   * @brief Creates the next commit, if changes are pending and one is due.
   * @param token The fencing token of the leader.
   * @param now The current time.
   * @param read Reads a job's progress.
   * @return The commit; empty if none is due.
   */
  std::optional<job::Commit> NextCommit(core::FencingToken token,
                                        core::TimePoint now,
                                        const ProgressReader& read);

  /** @brief Receives a job whose progress was stored, and its state. */
  using StoredCallback = std::function<void(const core::JobId&, job::JobState)>;
  /** @brief Receives a worker and the number of its last recorded run end. */
  using RecordedCallback =
      std::function<void(const core::InstanceId&, core::RunEndNumber)>;
  /**
   * @brief Handles the reply to a commit.
   * @param reply The reply.
   * @param now The current time.
   * @param on_stored Called for each job of the commit, if it succeeded.
   * @param on_recorded Called for each worker whose run ends are now recorded.
   * @return False if the leader's claim is no longer valid.
   */
  bool Handle(const job::CommitReply& reply,
              core::TimePoint now,
              const StoredCallback& on_stored,
              const RecordedCallback& on_recorded);

  /** @brief Tells whether a commit has not been answered yet. */
  bool IsInFlight() const { return m_is_in_flight; }

  /** @brief Tells whether progress or ended runs are not stored yet. */
  bool HasPending() const {
    return m_is_in_flight || !m_changed.empty() || !m_pending_ends.empty();
  }

  /** @brief Tells whether a job has changes that are not stored yet. */
  bool IsChanged(const core::JobId& id) const {
    return m_positions.count(id) > 0 || m_in_flight.count(id) > 0;
  }

 private:
  /** @brief Position of a change in arrival order. */
  using Position = std::uint64_t;
  /** @brief A job of the commit in flight. */
  struct InFlightJob {
    Position position = 0;
    core::QueueId queue;
    job::JobState state = job::JobState::kQueued;
    /** @brief Its progress is in the batch of the commit. */
    bool is_in_batch = false;
  };
  /** @brief A change that was taken for the next commit. */
  struct Change {
    Position position = 0;
    job::ProgressWrite write;
  };
  /** @brief Ended runs that are recorded once the changes up to a position are
   * stored. */
  struct PendingEnds {
    Position position = 0;
    core::InstanceId worker;
    core::RunEndNumber last_end;
  };

  bool IsCommitDue() const;
  bool IsBatchDue(core::TimePoint now) const;
  std::optional<job::ProgressWrite> Read(const core::JobId& id,
                                         const ProgressReader& read) const;
  std::vector<Change> TakeChanges(const ProgressReader& read);
  void AddToCommit(Change change, bool is_in_batch, job::Commit& commit);
  void EmptyBatches(core::TimePoint now,
                    const ProgressReader& read,
                    std::size_t free_entries,
                    job::Commit& commit);
  void MoveEndedJobs(std::size_t& free_entries, job::Commit& commit);
  void AddEndedJob(const core::JobId& id,
                   const core::QueueId& queue,
                   job::JobState state);
  void HandleBatchesStored(core::TimePoint now);
  void RequeueInFlight();
  std::chrono::milliseconds DelayAfterCommit() const;
  void ReportRecordedEnds(const RecordedCallback& on_recorded);

  /** @brief Sequence number of the latest commit. */
  std::uint64_t m_sequence = 0;
  bool m_is_in_flight = false;
  /** @brief The last commit was full and left changes pending. */
  bool m_is_full = false;
  /** @brief Store revision of the last commit; 0 for none. */
  core::Revision m_last_commit;
  /** @brief Earliest time of the next commit. */
  core::TimePoint m_next_at;
  /** @brief That time for an urgent one. */
  core::TimePoint m_next_urgent_at;
  bool m_is_urgent = false;
  Position m_last_position = 0;
  /** @brief Changed jobs, oldest change first. */
  std::deque<std::pair<Position, core::JobId>> m_changed;
  /** @brief Position of each job in m_changed. */
  std::unordered_map<core::JobId, Position> m_positions;
  /** @brief Jobs of the commit in flight. */
  std::unordered_map<core::JobId, InFlightJob> m_in_flight;
  std::deque<PendingEnds> m_pending_ends;
  BatchIndex m_batches;
  /** @brief Ended jobs whose final state only a batch contains. */
  std::unordered_map<core::JobId, job::ProgressWrite> m_ended;
  /** @brief Their ids and those of others that are not there any more, oldest
   * first. */
  std::deque<core::JobId> m_ended_order;
  /** @brief Jobs that may have a record of their progress alone. */
  std::unordered_set<core::JobId> m_own_records;
  /** @brief The batch of the commit in flight. */
  std::optional<job::BatchId> m_in_flight_batch;
  /** @brief What the commit in flight moves out of batches and removes. */
  std::vector<core::JobId> m_in_flight_ended;
  std::vector<job::BatchId> m_in_flight_removed;
  std::optional<job::HandoverState> m_handover;
  std::optional<job::HandoverState> m_in_flight_handover;
  std::optional<job::HandoverState> m_stored_handover;
  std::optional<job::CommandedMachines> m_commanded_machines;
  std::optional<job::CommandedMachines> m_in_flight_commanded_machines;
  std::optional<job::CommandedMachines> m_stored_commanded_machines;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_COMMITTER_H_
