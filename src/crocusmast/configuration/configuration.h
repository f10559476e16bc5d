#ifndef CROCUSMAST_CONFIGURATION_CONFIGURATION_H_
#define CROCUSMAST_CONFIGURATION_CONFIGURATION_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "crocusmast/configuration/change.h"

namespace crocusmast::configuration {

/** @brief How many changes an entry instance keeps for merges and history. */
inline constexpr std::size_t kMaxHistory = 1024;

/**
 * @brief The lists in force and how they came to be; the aggregate's root.
 *
 * The revision only rises, one change at a time or by a snapshot.
 */
class Configuration {
 public:
  /** @brief Makes revision 0, without rows. */
  Configuration();

  /** @brief Returns the revision in force. */
  core::Revision CurrentRevision() const { return m_revision; }

  /** @brief Returns the lists in force. */
  std::shared_ptr<const Lists> CurrentLists() const { return m_lists; }

  /** @brief Returns the changes kept, oldest first. */
  const std::deque<Change>& History() const { return m_history; }

  /**
   * @brief Merges an edit, row by row, into the lists in force.
   * @param edit The edit.
   * @return The change to append, without rows if nothing differs; or an error
   * that names the conflicting row, both values, who changed it and when.
   */
  core::Result<Change> Propose(const Edit& edit) const;

  /**
   * @brief Puts a change into force if it is the next one.
   * @param change The change.
   * @return True if adopted, false if it is not the next revision; an error if
   * the resulting lists break a rule.
   */
  core::Result<bool> Adopt(const Change& change);

  /**
   * @brief Puts a snapshot into force if it is newer.
   * @param snapshot The snapshot.
   * @return True if adopted.
   */
  bool Restore(const Snapshot& snapshot);

  /**
   * @brief Works out the lists at an earlier revision.
   * @param revision The revision.
   * @return The lists, or an error if the history does not reach back so far.
   */
  core::Result<Lists> ListsAt(core::Revision revision) const;

  /**
   * @brief Finds a change by its id.
   * @param id The change id.
   * @return The change, or null.
   */
  const Change* FindChange(const core::ChangeId& id) const;

 private:
  const Change* LastChangeOf(const RowKey& key, core::Revision after) const;

  core::Revision m_revision;
  std::shared_ptr<const Lists> m_lists;
  std::deque<Change> m_history;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CONFIGURATION_H_
