#ifndef CROCUSMAST_SCHEDULING_COMMITTER_H_
#define CROCUSMAST_SCHEDULING_COMMITTER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/job_store.h"

namespace crocusmast::scheduling {

/**
 * @brief How much of a commit the jobs may take.
 *
 * The store takes 32 conditions, writes and removals together; the claim, the
 * last commit's number as condition and write, and the notes take four.
 */
inline constexpr std::size_t kMaxCommitEntries = 28;
/** @brief What a job takes of it: one write, or for one that is over the write
 * of its end and the removal of two parts. */
inline constexpr std::size_t kProgressEntries = 1;
inline constexpr std::size_t kFinalJobEntries = 3;
/** @brief The pause between two commits, so that changes are batched. */
inline constexpr std::chrono::milliseconds kCommitDelay{15};
/** @brief The pause in a rush, when commits have at least kBusyCommitJobs jobs:
 * more ends add up to one commit and one look, for a twentieth of a job's
 * slack. */
inline constexpr std::chrono::milliseconds kBusyCommitDelay{30};
inline constexpr std::size_t kBusyCommitJobs = 10;
/** @brief A commit without an answer is sent again after this. */
inline constexpr std::chrono::milliseconds kCommitRetryDelay{100};

/**
 * @brief Stores the progress of jobs, and knows which ends are recorded.
 *
 * One commit is under way at a time. A commit without an answer may still be
 * done, even later: each expects the revision of the one before it, so an old
 * one can't undo a newer one.
 */
class Committer {
 public:
  /** @brief Returns the progress of a job that the holder still knows. */
  using ReadProgress =
      std::function<std::optional<job::ProgressWrite>(const core::JobId&)>;

  /** @brief Forgets everything, when a hold ends. */
  void Reset();

  /**
   * @brief Forgets everything and begins a hold.
   * @param last_commit The store's revision of the last commit; 0 for none.
   */
  void Begin(core::Revision last_commit);

  /**
   * @brief Takes in that a job's progress has changed.
   * @param id The job.
   */
  void MarkChanged(const core::JobId& id);

  /**
   * @brief Takes in that a worker's ends depend on what is not stored yet.
   * @param worker The worker.
   * @param taken The highest end that was taken in.
   */
  void AddRunEnds(const core::InstanceId& worker, core::EndNumber taken);

  /**
   * @brief Sets what a successor has to know, to be stored.
   * @param notes The notes.
   */
  void SetHandover(job::HolderNotes notes);

  /** @brief Tells whether the newest notes are stored. */
  bool IsHandoverStored() const;

  /**
   * @brief Makes the next commit, if there is something to store.
   * @param token The holder's claim.
   * @param now The time.
   * @param read Reads a job's progress.
   */
  std::optional<job::Commit> Next(core::FencingToken token,
                                  core::TimePoint now,
                                  const ReadProgress& read);

  /** @brief Takes a job whose progress was stored, and the state in it. */
  using StoredCallback = std::function<void(const core::JobId&, job::JobState)>;
  /** @brief Takes a worker whose ends are recorded up to a number. */
  using RecordedCallback =
      std::function<void(const core::InstanceId&, core::EndNumber)>;
  /**
   * @brief Takes in the answer to a commit.
   * @param reply The answer.
   * @param now The time.
   * @param on_stored Called for each job of the commit, if it was done.
   * @param on_recorded Called for each worker whose ends are now recorded.
   * @return False if the claim no longer stands.
   */
  bool Handle(const job::CommitReply& reply,
              core::TimePoint now,
              const StoredCallback& on_stored,
              const RecordedCallback& on_recorded);

  /** @brief Tells whether something is not stored yet. */
  bool HasPending() const {
    return m_is_in_flight || !m_changed.empty() || !m_pending_ends.empty();
  }

  /** @brief Tells whether a job has changes that are not stored. */
  bool IsChanged(const core::JobId& id) const {
    return m_positions.count(id) > 0 || m_in_flight.count(id) > 0;
  }

 private:
  /** @brief The position of a change in the order in which they came. */
  using Position = std::uint64_t;
  /** @brief A job of the commit under way. */
  struct InFlightJob {
    Position position = 0;
    job::JobState state = job::JobState::kQueued;
  };
  /** @brief Ends that are recorded once all changes before them are stored. */
  struct PendingEnds {
    Position after = 0;
    core::InstanceId worker;
    core::EndNumber taken;
  };

  void RequeueInFlight();
  std::chrono::milliseconds DelayAfterCommit() const;
  void ReportRecordedEnds(const RecordedCallback& take);

  std::uint64_t m_sequence = 0;
  bool m_is_in_flight = false;
  /** @brief The last commit left changes behind for want of entries. */
  bool m_is_full = false;
  core::Revision m_last_commit;
  core::TimePoint m_next_at;
  Position m_last_position = 0;
  /** @brief Changed jobs, the longest waiting first. */
  std::deque<std::pair<Position, core::JobId>> m_changed;
  std::unordered_map<core::JobId, Position> m_positions;
  std::unordered_map<core::JobId, InFlightJob> m_in_flight;
  std::deque<PendingEnds> m_pending_ends;
  std::optional<job::HolderNotes> m_handover;
  std::optional<job::HolderNotes> m_in_flight_handover;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_COMMITTER_H_
