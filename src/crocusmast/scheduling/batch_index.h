#ifndef CROCUSMAST_SCHEDULING_BATCH_INDEX_H_
#define CROCUSMAST_SCHEDULING_BATCH_INDEX_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/job/batch_id.h"

namespace crocusmast::scheduling {

/**
 * @brief Tracks which batches may hold the latest stored progress of which
 * jobs.
 *
 * A batch may be removed from the store once it is the latest of no job. A job
 * has more than one batch while it is not known whether a commit took effect.
 */
class BatchIndex {
 public:
  /** @brief A batch that the store holds, or may hold. */
  struct Batch {
    core::TimePoint stored_at;
    /** @brief Jobs whose latest progress it may hold. */
    std::unordered_set<core::JobId> jobs;
  };

  /** @brief Forgets all batches. */
  void Clear();

  /**
   * @brief Adds a batch without jobs.
   * @param batch The batch; ignored if it is known.
   * @param stored_at When it was stored.
   */
  void AddBatch(const job::BatchId& batch, core::TimePoint stored_at);

  /**
   * @brief Adds a job to a batch; its earlier batches stay.
   * @param batch The batch; must have been added.
   * @param id The job.
   */
  void AddJob(const job::BatchId& batch, const core::JobId& id);

  /**
   * @brief Removes a job from all batches, as its progress was stored anew.
   * @param id The job.
   */
  void RemoveJob(const core::JobId& id);

  /**
   * @brief Removes a batch that the store does not hold any more.
   * @param batch The batch; must be the latest of no job.
   */
  void RemoveBatch(const job::BatchId& batch);

  /**
   * @brief Returns batches that are the latest of no job, oldest first.
   * @param max_count The most batches to return.
   */
  std::vector<job::BatchId> FindUnused(std::size_t max_count) const;

  /** @brief Returns all batches, oldest first. */
  const std::map<job::BatchId, Batch>& Batches() const { return m_batches; }

 private:
  std::map<job::BatchId, Batch> m_batches;
  std::unordered_map<core::JobId, std::vector<job::BatchId>> m_batches_of_job;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_BATCH_INDEX_H_
