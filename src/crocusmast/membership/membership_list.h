#ifndef CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LIST_H_
#define CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LIST_H_

#include <cstdint>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::membership {

/** @brief The version of the membership list; zero for none read yet. */
using ListVersion = core::Quantity<struct ListVersionTag>;

/** @brief What changed in the membership list since a version. */
struct ListUpdate {
  /** @brief The version reached. */
  ListVersion version;
  /** @brief True if the records are the whole list. */
  bool is_whole = false;
  /** @brief New and changed instances. */
  std::vector<fleet::InstanceRecord> changed;
  /** @brief Instances that are gone. */
  std::vector<core::InstanceId> removed;
};

/** @brief Reads the platform's membership list; a port. */
class MembershipList {
 public:
  virtual ~MembershipList() = default;
  /**
   * @brief Reads what changed.
   * @param after The version known; zero reads the whole list.
   * @return The update, or an error.
   */
  virtual core::Result<ListUpdate> ReadAfter(ListVersion after) = 0;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LIST_H_
