#ifndef CROCUSMAST_CONFIGURATION_CHANGE_STORE_H_
#define CROCUSMAST_CONFIGURATION_CHANGE_STORE_H_

#include <optional>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/core/clock.h"

namespace crocusmast::configuration {

/** @brief What came of appending a change to the store. */
enum class AppendOutcome {
  /** @brief The change holds its revision. */
  kAppended,
  /** @brief Another change holds the revision. */
  kTaken,
};

/** @brief Keeps the accepted changes; the port to the platform's store. */
class ChangeStore {
 public:
  virtual ~ChangeStore() = default;

  /**
   * @brief Creates the record of a change unless its revision has one.
   * @param change The change.
   * @return The outcome, or an error after which the outcome is not known.
   */
  virtual core::Result<AppendOutcome> Append(const Change& change) = 0;

  /**
   * @brief Waits for changes and reads them.
   * @param after The revision known already.
   * @param wait The longest wait; zero reads at once.
   * @return The changes in order, perhaps none.
   */
  virtual core::Result<std::vector<Change>> ReadAfter(core::Revision after,
                                                      core::Duration wait) = 0;

  /** @brief Reads the newest snapshot, if there is one. */
  virtual core::Result<std::optional<Snapshot>> ReadSnapshot() = 0;

  /**
   * @brief Writes a snapshot.
   * @param snapshot The snapshot.
   */
  virtual core::Result<void> WriteSnapshot(const Snapshot& snapshot) = 0;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CHANGE_STORE_H_
