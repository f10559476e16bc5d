#ifndef CROCUSMAST_CONFIGURATION_CHANGE_H_
#define CROCUSMAST_CONFIGURATION_CHANGE_H_

#include <string>
#include <vector>

#include "crocusmast/configuration/lists.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::configuration {

/** @brief Who changed the lists, why and when. */
struct ChangeOrigin {
  /** @brief Chosen by the client; recognises a change after a lost answer. */
  core::ChangeId id;
  /** @brief The operator. */
  std::string author;
  /** @brief The operator's reason. */
  std::string reason;
  /** @brief When it was accepted. */
  core::WallTime at;
};

/** @brief The lists as an operator wants them. */
struct Edit {
  /** @brief Who and why. */
  ChangeOrigin origin;
  /** @brief The revision that the operator read. */
  core::Revision base;
  /** @brief The lists wanted. */
  Lists lists;
};

/** @brief One accepted change: it leads from the revision before to its own. */
struct Change {
  /** @brief The revision that it makes. */
  core::Revision revision;
  /** @brief Who, why and when. */
  ChangeOrigin origin;
  /** @brief The rows that differ. */
  std::vector<RowChange> rows;
};

/** @brief The whole lists at one revision. */
struct Snapshot {
  /** @brief The revision. */
  core::Revision revision;
  /** @brief The lists. */
  Lists lists;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CHANGE_H_
