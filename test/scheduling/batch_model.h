#ifndef TEST_SCHEDULING_BATCH_MODEL_H_
#define TEST_SCHEDULING_BATCH_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crocusmast/job/job_catalog.h"
#include "crocusmast/scheduling/committer.h"
#include "test/support/fake_clock.h"
#include "test/support/port_fakes.h"

namespace test {

/**
 * @brief A store that applies commits, and the leaders that write to it.
 *
 * Each change of a job raises its version, which is stored in place of its
 * progress. The model checks that the store never shows an earlier version
 * than it has shown, whatever is lost, moved and removed.
 */
class BatchModel {
 public:
  static constexpr std::size_t kMaxEntries = 32;

  enum class Outcome { kDone, kRefused, kLostCall, kLostReply };

  BatchModel() { m_clock.Advance(std::chrono::seconds(1000)); }

  /** @brief Begins a term with what a list of the store tells. */
  void BeginTerm() {
    ++m_revision;
    m_token = core::FencingToken(m_revision);
    m_committer.BeginTerm(core::Revision(m_last_commit));
    const job::JobCatalog catalog = List();
    for (const job::BatchId& batch : catalog.Batches()) {
      m_committer.AddStoredBatch(batch);
    }
    for (const auto& [id, entry] : catalog.Entries()) {
      if (entry.progress) {
        m_committer.AddStoredProgress(id, m_queue, entry.progress->state,
                                      entry.batch);
        Job& job = m_jobs.at(id);
        // What was not stored is lost with the earlier leader.
        job.version = entry.progress->opened_count;
        job.state = entry.progress->state;
      }
    }
    for (auto& [id, job] : m_jobs) {
      if (!catalog.Find(id) || !catalog.Find(id)->progress) {
        job.version = 0;
        job.state = job::JobState::kRunning;
      }
    }
  }

  /** @brief Changes a job, unless it has ended. */
  void Change(const core::JobId& id, bool ends) {
    Job& job = m_jobs[id];
    if (job::IsFinal(job.state)) {
      return;
    }
    ++job.version;
    job.state = ends ? job::JobState::kSucceeded : job::JobState::kRunning;
    m_committer.MarkChanged(id);
  }

  /** @brief Marks a job as changed though its progress is the same, as for a
   * run of a cancelled job that ends. */
  void Touch(const core::JobId& id) { m_committer.MarkChanged(id); }

  /** @brief Sends the next commit; false if none is due. */
  bool Commit(Outcome outcome) {
    const auto read =
        [this](const core::JobId& id) -> std::optional<job::ProgressWrite> {
      const Job& job = m_jobs.at(id);
      job::ProgressWrite write{id, m_queue, {}};
      write.progress.state = job.state;
      write.progress.opened_count = job.version;
      return write;
    };
    const auto commit = m_committer.NextCommit(m_token, m_clock.Now(), read);
    if (!commit) {
      return false;
    }
    ++commits;
    job::CommitReply reply;
    reply.sequence = commit->sequence;
    reply.outcome = job::StoreOutcome::kRefused;
    if (outcome == Outcome::kDone || outcome == Outcome::kLostReply) {
      reply.outcome = Apply(*commit) ? job::StoreOutcome::kDone
                                     : job::StoreOutcome::kConflict;
    }
    reply.revision = core::Revision(m_last_commit);
    if (outcome == Outcome::kLostReply || outcome == Outcome::kLostCall) {
      reply.outcome = job::StoreOutcome::kUnknown;
    }
    m_committer.Handle(
        reply, m_clock.Now(),
        [this](const core::JobId& id, job::JobState) { confirmed.insert(id); },
        [](const core::InstanceId&, core::RunEndNumber) {});
    return true;
  }

  void Advance(core::Duration time) { m_clock.Advance(time); }

  /** @brief Returns what a whole list of the store tells. */
  job::JobCatalog List() const {
    job::JobCatalog catalog;
    std::set<job::BatchId> batches;
    for (const auto& [id, batch] : m_batches) {
      batches.insert(id);
      for (const job::ProgressWrite& write : batch.progress) {
        catalog.Apply(
            job::ProgressStored{write.id, write.progress, batch.revision, id},
            {});
      }
    }
    catalog.RetainOnly(Ids(), batches);
    for (const auto& [id, job] : m_jobs) {
      job::AcceptedJob accepted;
      accepted.id = id;
      accepted.queue = m_queue;
      catalog.Apply(job::JobStored{accepted}, {});
    }
    for (const auto& [id, record] : m_records) {
      if (job::IsFinal(record.progress.state)) {
        job::JobEnded end{id, m_queue, record.progress.state, record.revision};
        catalog.Apply(end, {});
      } else {
        catalog.Apply(
            job::ProgressStored{id, record.progress, record.revision, {}}, {});
      }
    }
    return catalog;
  }

  std::size_t BatchCount() const { return m_batches.size(); }
  std::size_t RecordCount() const { return m_records.size(); }
  /** @brief Returns the state of a job's own record, if there is one. */
  std::optional<job::JobState> RecordOf(const core::JobId& id) const {
    const auto found = m_records.find(id);
    return found == m_records.end()
               ? std::nullopt
               : std::optional(found->second.progress.state);
  }

  std::size_t commits = 0;
  std::set<core::JobId> confirmed;
  /** @brief The first rule that a commit broke; empty if none. */
  std::string fault;

 private:
  struct Job {
    std::uint32_t version = 0;
    job::JobState state = job::JobState::kRunning;
    std::uint32_t shown_version = 0;
  };
  struct Record {
    job::JobProgress progress;
    core::Revision revision;
  };
  struct Batch {
    std::vector<job::ProgressWrite> progress;
    core::Revision revision;
  };

  std::unordered_set<core::JobId> Ids() const {
    std::unordered_set<core::JobId> ids;
    for (const auto& [id, job] : m_jobs) {
      ids.insert(id);
    }
    return ids;
  }

  bool Apply(const job::Commit& commit) {
    if (commit.expected_last_commit.Count() != m_last_commit) {
      return false;
    }
    const core::Revision revision(++m_revision);
    m_last_commit = m_revision;
    // The claim, and the last commit's revision as condition and write.
    std::size_t entries = 3 + (commit.handover ? 1 : 0) +
                          (commit.batch ? 1 : 0) +
                          commit.removed_batches.size();
    std::set<core::JobId> written;
    for (const job::ProgressWrite& write : commit.progress) {
      if (!written.insert(write.id).second) {
        fault = "a transaction writes a record twice";
      }
      const bool is_final = job::IsFinal(write.progress.state);
      entries += is_final && write.may_have_own_record ? 2 : 1;
      const auto record = m_records.find(write.id);
      if (is_final && record != m_records.end() &&
          !job::IsFinal(record->second.progress.state) &&
          !write.may_have_own_record) {
        fault = "the progress of an ended job stays";
      }
      Record& stored = m_records[write.id];
      const std::uint32_t version = stored.progress.opened_count;
      stored = {write.progress, revision};
      // The record of an end has no version.
      if (is_final) {
        stored.progress.opened_count =
            std::max(version, m_jobs.at(write.id).version);
      }
    }
    if (commit.batch) {
      m_batches[commit.batch->id] = {commit.batch->progress, revision};
    }
    for (const job::BatchId& batch : commit.removed_batches) {
      m_batches.erase(batch);
    }
    if (kMaxEntries < entries) {
      fault = std::to_string(entries) + " entries in a transaction";
    }
    CheckNothingReverted();
    return true;
  }

  void CheckNothingReverted() {
    const job::JobCatalog catalog = List();
    for (auto& [id, job] : m_jobs) {
      const job::JobEntry* entry = catalog.Find(id);
      const bool is_final = entry != nullptr && entry->progress &&
                            job::IsFinal(entry->progress->state);
      const std::uint32_t version =
          entry == nullptr || !entry->progress ? 0
          : is_final ? std::max(job.shown_version, job.version)
                     : entry->progress->opened_count;
      if (version < job.shown_version) {
        fault = "job " + id.Text() + " went back from version " +
                std::to_string(job.shown_version) + " to " +
                std::to_string(version);
      }
      job.shown_version = version;
    }
  }

  FakeClock m_clock;
  scheduling::Committer m_committer;
  const core::QueueId m_queue = MakeId<core::QueueId>("queue");
  core::FencingToken m_token;
  std::uint64_t m_revision = 100;
  std::uint64_t m_last_commit = 0;
  std::map<core::JobId, Job> m_jobs;
  std::map<core::JobId, Record> m_records;
  std::map<job::BatchId, Batch> m_batches;
};

}  // namespace test

#endif  // TEST_SCHEDULING_BATCH_MODEL_H_
