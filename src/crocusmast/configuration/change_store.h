#ifndef CROCUSMAST_CONFIGURATION_CHANGE_STORE_H_
#define CROCUSMAST_CONFIGURATION_CHANGE_STORE_H_

#include <optional>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/core/clock.h"

namespace crocusmast::configuration {

/** @brief Outcome of appending a change to the store. */
enum class AppendOutcome {
  /** @brief The change was stored under its revision. */
  kAppended,
  /** @brief Another change is stored under the revision. */
  kRevisionTaken,
};

/** @brief Port to the store of the accepted changes. */
class ChangeStore {
 public:
  virtual ~ChangeStore() = default;

  /**
   * @brief Stores a change if its revision is still free.
   * @param change Change to store.
   * @return The outcome, or an error after which the outcome is unknown.
   */
  virtual core::Result<AppendOutcome> Append(const Change& change) = 0;

  /**
   * @brief Reads the changes after a revision, waiting for the first one if
   * necessary.
   * @param after Revision after which changes are read.
   * @param wait Maximum time to wait; zero returns immediately.
   * @return The changes in order; may be empty. An error if the store is
   * unavailable.
   */
  virtual core::Result<std::vector<Change>> ReadAfter(core::Revision after,
                                                      core::Duration wait) = 0;

  /**
   * @brief Reads the latest snapshot.
   * @return The snapshot, or nothing if none is stored; an error if the store
   * is unavailable.
   */
  virtual core::Result<std::optional<Snapshot>> ReadSnapshot() = 0;

  /**
   * @brief Writes a snapshot.
   * @param snapshot Snapshot to write.
   * @return An error if the snapshot may not have been written.
   */
  virtual core::Result<void> WriteSnapshot(const Snapshot& snapshot) = 0;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CHANGE_STORE_H_
