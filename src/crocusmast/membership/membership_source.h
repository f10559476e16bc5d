#ifndef CROCUSMAST_MEMBERSHIP_MEMBERSHIP_SOURCE_H_
#define CROCUSMAST_MEMBERSHIP_MEMBERSHIP_SOURCE_H_

#include <cstdint>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::membership {

/** @brief Version of the membership list; zero if none was read yet. */
using MembershipVersion = core::Quantity<struct MembershipVersionTag>;

/** @brief Changes of the membership list since a version. */
struct MembershipUpdate {
  /** @brief The version after the changes. */
  MembershipVersion version;
  /** @brief True if the records are the complete list. */
  bool is_full_list = false;
  /** @brief New and changed instances. */
  std::vector<fleet::InstanceRecord> changed;
  /** @brief Removed instances. */
  std::vector<core::InstanceId> removed;
};

/** @brief Reads the membership list of the platform. */
class MembershipSource {
 public:
  virtual ~MembershipSource() = default;
  /**
   * @brief Reads the changes since a version.
   * @param after The known version; zero reads the complete list.
   * @return The update, or an error.
   */
  virtual core::Result<MembershipUpdate> ReadAfter(MembershipVersion after) = 0;
};

}  // namespace crocusmast::membership

#endif  // CROCUSMAST_MEMBERSHIP_MEMBERSHIP_SOURCE_H_
