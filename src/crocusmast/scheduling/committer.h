#ifndef CROCUSMAST_SCHEDULING_COMMITTER_H_
#define CROCUSMAST_SCHEDULING_COMMITTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/job/job_store.h"

namespace crocusmast::scheduling {

/** @brief The most jobs in one commit; the store takes 32 conditions and
 * writes together, and each job has one of either. */
inline constexpr std::size_t kMaxCommitJobs = 14;
/** @brief The pause between two commits, so that changes are batched. */
inline constexpr std::chrono::milliseconds kCommitPause{15};
/** @brief A commit without an answer is sent again after this. */
inline constexpr std::chrono::milliseconds kCommitRetry{100};

/**
 * @brief Stores the progress of jobs, and knows which ends are recorded.
 *
 * One commit is under way at a time. A commit without an answer may still be
 * done, even later: each write expects the revision that it was based on, so
 * that an old one can't undo a newer one.
 */
class Committer {
 public:
  /** @brief Returns the progress of a job that the holder still knows. */
  using ReadProgress =
      std::function<std::optional<job::JobProgress>(const core::JobId&)>;

  /** @brief Forgets everything, when a hold begins or ends. */
  void Reset();

  /**
   * @brief Sets what the store holds of a job's progress.
   * @param id The job.
   * @param revision The store's revision; 0 for nothing.
   */
  void SetRevision(const core::JobId& id, core::Revision revision);

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
  void AddEnds(const core::InstanceId& worker, core::EndNumber taken);

  /**
   * @brief Sets what a successor has to know, to be stored.
   * @param notes The notes.
   */
  void SetNotes(job::HolderNotes notes);

  /** @brief Tells whether the newest notes are stored. */
  bool AreNotesStored() const;

  /**
   * @brief Makes the next commit, if there is something to store.
   * @param token The holder's claim.
   * @param now The time.
   * @param read Reads a job's progress.
   */
  std::optional<job::Commit> Next(core::FencingToken token,
                                  core::TimePoint now,
                                  const ReadProgress& read);

  /** @brief Takes a worker whose ends are recorded up to a number. */
  using TakeRecorded =
      std::function<void(const core::InstanceId&, core::EndNumber)>;
  /**
   * @brief Takes in the answer to a commit.
   * @param reply The answer.
   * @param now The time.
   * @param take Called for each worker whose ends are now recorded.
   * @return False if the claim no longer stands.
   */
  bool Handle(const job::CommitReply& reply,
              core::TimePoint now,
              const TakeRecorded& take);

  /**
   * @brief Forgets a job that is stored in its final state.
   * @param id The job.
   */
  void Forget(const core::JobId& id);

  /** @brief Tells whether something is not stored yet. */
  bool HasPending() const {
    return m_is_in_flight || !m_changed.empty() || !m_ends.empty();
  }

  /** @brief Tells whether a job has changes that are not stored. */
  bool IsChanged(const core::JobId& id) const {
    return m_changed.count(id) > 0 || m_in_flight_jobs.count(id) > 0;
  }

 private:
  void PutBack();

  std::uint64_t m_sequence = 0;
  bool m_is_in_flight = false;
  core::TimePoint m_next_at;
  std::unordered_map<core::JobId, core::Revision> m_revisions;
  std::set<core::JobId> m_changed;
  std::set<core::JobId> m_in_flight_jobs;
  std::map<core::InstanceId, core::EndNumber> m_ends;
  std::map<core::InstanceId, core::EndNumber> m_in_flight_ends;
  std::optional<job::HolderNotes> m_notes;
  std::optional<job::HolderNotes> m_in_flight_notes;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_COMMITTER_H_
