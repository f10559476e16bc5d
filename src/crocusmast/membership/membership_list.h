#ifndef CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LIST_H_
#define CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LIST_H_

#include <cstdint>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::membership {

/** @brief Version of the membership list; zero if none was read yet. */
using ListVersion = core::Quantity<struct ListVersionTag>;

/** @brief Changes of the membership list since a version. */
struct ListUpdate {
  /** @brief The version after the changes. */
  ListVersion version;
  /** @brief True if the records are the complete list. */
  bool is_whole = false;
  /** @brief New and changed instances. */
  std::vector<fleet::InstanceRecord> changed;
  /** @brief Removed instances. */
  std::vector<core::InstanceId> removed;
};

/** @brief Reads the membership list of the platform. */
class MembershipList {
 public:
  virtual ~MembershipList() = default;
  /**
   * @brief Reads the changes since a version.
   * @param after The known version; zero reads the complete list.
   * @return The update, or an error.
   */
  virtual core::Result<ListUpdate> ReadAfter(ListVersion after) = 0;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MEMBERSHIP_LIST_H_
