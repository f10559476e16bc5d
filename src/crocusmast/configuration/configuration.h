#ifndef CROCUSMAST_CONFIGURATION_CONFIGURATION_H_
#define CROCUSMAST_CONFIGURATION_CONFIGURATION_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "crocusmast/configuration/change.h"

namespace crocusmast::configuration {

/** @brief Maximum number of changes kept for merges and for the history. */
inline constexpr std::size_t kMaxHistory = 1024;

/**
 * @brief The current lists and their history of changes (aggregate root).
 *
 * The revision never decreases: a change increases it by one, and a snapshot
 * replaces it by a higher one.
 */
class Configuration {
 public:
  /** @brief Creates an empty configuration at revision 0. */
  Configuration();

  /** @brief Returns the current revision. */
  core::Revision CurrentRevision() const { return m_revision; }

  /** @brief Returns the current lists. */
  std::shared_ptr<const PlanLists> CurrentLists() const { return m_lists; }

  /** @brief Returns the kept changes, oldest first. */
  const std::deque<Change>& History() const { return m_history; }

  /**
   * @brief Merges an edit into the current lists row by row (three-way merge).
   * @param edit Edit to merge.
   * @return The change to append, without rows if nothing differs; or an error
   * if the resulting lists are invalid, if the base revision is not available,
   * or if a later change has set one of the rows differently. The error
   * for such a conflict names the row, both values, and the author and time of
   * the other change.
   */
  core::Result<Change> Propose(const Edit& edit) const;

  /**
   * @brief Applies a change if it is the next revision.
   * @param change Change to apply.
   * @return True if applied, false if it is not the next revision; an error if
   * the resulting lists are invalid.
   */
  core::Result<bool> ApplyChange(const Change& change);

  /**
   * @brief Applies a snapshot if it is newer than the current revision.
   * @param snapshot Snapshot to apply.
   * @return True if applied, false if it is not newer.
   */
  bool Restore(const Snapshot& snapshot);

  /**
   * @brief Computes the lists at an earlier revision.
   * @param revision Revision to compute.
   * @return The lists, or an error if the history does not reach that far back.
   */
  core::Result<PlanLists> ListsAt(core::Revision revision) const;

  /**
   * @brief Finds a change by its id.
   * @param id Id of the change.
   * @return The change, or null.
   */
  const Change* FindChange(const core::ChangeId& id) const;

 private:
  const Change* LastChangeOf(const RowKey& key, core::Revision after) const;

  core::Revision m_revision;
  std::shared_ptr<const PlanLists> m_lists;
  std::deque<Change> m_history;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CONFIGURATION_H_
