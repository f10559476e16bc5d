#ifndef CROCUSMAST_SCHEDULING_FREE_CAPACITY_H_
#define CROCUSMAST_SCHEDULING_FREE_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "crocusmast/core/units.h"
#include "crocusmast/execution/worker.h"
#include "crocusmast/job/resources.h"

namespace crocusmast::scheduling {

/**
 * @brief What the workers of a pool have free, ordered by processor time.
 *
 * A placement looks only at workers with enough processor time, the best fit
 * first, so its cost does not grow with the pool. Whoever changes what a worker
 * has free, or whether it accepts tasks, calls Update().
 */
class FreeCapacity {
 public:
  /** @brief A worker that accepts tasks. */
  struct Entry {
    core::MilliCores free;
    /** @brief Order in which workers were added, to choose between equal ones.
     */
    std::uint64_t position = 0;
    execution::Worker* worker = nullptr;

    friend bool operator<(const Entry& left, const Entry& right) {
      return left.free == right.free ? left.position < right.position
                                     : left.free < right.free;
    }
  };

  /**
   * @brief Adds a worker, or adopts its present state.
   * @param worker The worker; outlives its entry.
   * @param accepts_tasks Whether tasks may be placed on it.
   */
  void Update(execution::Worker& worker, bool accepts_tasks);

  /**
   * @brief Removes a worker; ignored if it is not known.
   * @param worker The worker.
   */
  void Remove(const execution::Worker& worker);

  /** @brief Returns the workers that accept tasks, the fullest first. */
  const std::set<Entry>& Accepting() const { return m_accepting; }

  /**
   * @brief Returns the first worker with enough processor time for a task.
   * @param need What the task needs.
   */
  std::set<Entry>::const_iterator FirstWith(core::MilliCores need) const {
    return m_accepting.lower_bound(Entry{need, 0, nullptr});
  }

  /** @brief Returns, by component, at least the most that a worker has free. */
  job::Resources MaxFree() const;

  /** @brief Returns the processor time of all workers that long-running runs
   * leave to finite ones. */
  core::MilliCores FiniteCapacity() const { return m_finite_capacity; }

  /** @brief Returns the part of it that finite runs have. */
  core::MilliCores FiniteInUse() const { return m_finite_in_use; }

  /** @brief Lets MaxFree() drop to what the workers have free now. */
  void TightenMaxFree();

 private:
  struct State {
    Entry entry;
    bool accepts_tasks = false;
    core::MilliCores finite_capacity;
    core::MilliCores finite_in_use;
  };

  void Subtract(const State& state);

  std::set<Entry> m_accepting;
  std::unordered_map<const execution::Worker*, State> m_states;
  std::uint64_t m_last_position = 0;
  core::MilliCores m_finite_capacity;
  core::MilliCores m_finite_in_use;
  /** @brief The most that was free in memory and accelerators. */
  job::Resources m_max_free;
};

}  // namespace crocusmast::scheduling

#endif  // CROCUSMAST_SCHEDULING_FREE_CAPACITY_H_
