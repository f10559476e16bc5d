#ifndef CROCUSMAST_CONFIGURATION_CHANGE_H_
#define CROCUSMAST_CONFIGURATION_CHANGE_H_

#include <string>
#include <vector>

#include "crocusmast/configuration/plan_lists.h"
#include "crocusmast/core/clock.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::configuration {

/** @brief Origin of a change. */
struct ChangeOrigin {
  /**
   * @brief Id chosen by the client; identifies a change that is retried after a
   * lost reply.
   */
  core::ChangeId id;
  /** @brief Operator who made the change. */
  std::string author;
  /** @brief Reason given by the operator. */
  std::string reason;
  /** @brief Time at which the change was accepted. */
  core::WallTime at;
};

/**
 * @brief Operator's edit: the complete lists that should become current.
 */
struct Edit {
  /** @brief Origin of the edit. */
  ChangeOrigin origin;
  /** @brief Revision that the edit is based on. */
  core::Revision base;
  /** @brief Requested lists. */
  PlanLists lists;
};

/** @brief Accepted change from the previous revision to its own. */
struct Change {
  /** @brief Revision that the change creates. */
  core::Revision revision;
  /** @brief Origin of the change. */
  ChangeOrigin origin;
  /** @brief Rows that differ from the previous revision. */
  std::vector<RowChange> rows;
};

/** @brief Complete lists at one revision. */
struct Snapshot {
  core::Revision revision;
  PlanLists lists;
};

}  // namespace crocusmast::configuration

#endif  // CROCUSMAST_CONFIGURATION_CHANGE_H_
