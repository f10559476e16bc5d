#ifndef CROCUSMAST_MAINTENANCE_PLATFORM_H_
#define CROCUSMAST_MAINTENANCE_PLATFORM_H_

#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::maintenance {

/**
 * @brief Acts on instances through the platform; a port.
 *
 * Each act names the incarnation that it is meant for; the platform refuses it
 * for another, so an act that comes late does no harm. Acts may be repeated.
 */
class Platform {
 public:
  virtual ~Platform() = default;

  /**
   * @brief Makes an instance leave.
   * @param instance The instance.
   * @param incarnation The incarnation meant.
   */
  virtual core::Result<void> Drain(const core::InstanceId& instance,
                                   core::Incarnation incarnation) = 0;

  /**
   * @brief Reboots an instance that leaves.
   * @param instance The instance.
   * @param incarnation The incarnation meant.
   */
  virtual core::Result<void> Reboot(const core::InstanceId& instance,
                                    core::Incarnation incarnation) = 0;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_PLATFORM_H_
