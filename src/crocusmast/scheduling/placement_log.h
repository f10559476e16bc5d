#ifndef CROCUSMAST_SCHEDULING_PLACEMENT_LOG_H_
#define CROCUSMAST_SCHEDULING_PLACEMENT_LOG_H_

#include <string>
#include <utility>

#include "crocusmast/core/units.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/job/task_id.h"

namespace crocusmast::scheduling {

/**
 * @brief Placements of one job for the log.
 *
 * Each has the form TASK#ATTEMPT@WORKER/FREE, where FREE is the processor time
 * that is left on the worker, in thousandths of a core.
 */
class PlacementLog {
 public:
  /**
   * @brief Adds a placement.
   * @param task The task.
   * @param attempt The attempt number of its run.
   * @param worker The worker, with the run.
   */
  void Add(const job::TaskId& task,
           core::Attempt attempt,
           const execution::Worker& worker) {
    m_text += (m_text.empty() ? "" : " ") + Describe(task.key) + '#' +
              std::to_string(attempt.Count()) + '@' +
              worker.Record().id.Text() + '/' +
              std::to_string(worker.FreeResources().processor.Count());
  }

  /** @brief Tells whether nothing was added since the last call of Take(). */
  bool IsEmpty() const { return m_text.empty(); }

  /** @brief Returns what was added, and removes it. */
  std::string Take() { return std::exchange(m_text, {}); }

 private:
  std::string m_text;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_PLACEMENT_LOG_H_
