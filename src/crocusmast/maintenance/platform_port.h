#ifndef CROCUSMAST_MAINTENANCE_PLATFORM_PORT_H_
#define CROCUSMAST_MAINTENANCE_PLATFORM_PORT_H_

#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/core/units.h"

namespace crocusmast::maintenance {

/**
 * @brief Port to the platform's operations on instances.
 *
 * Each operation names the incarnation that it is meant for. The platform
 * rejects it for any other incarnation, so a delayed operation cannot affect a
 * replacement. Operations are idempotent.
 */
class PlatformPort {
 public:
  virtual ~PlatformPort() = default;

  /**
   * @brief Puts an instance into the leaving state.
   * @param instance Instance to drain.
   * @param incarnation Incarnation that the operation is meant for.
   * @return An error if the platform rejects the call or does not reply.
   */
  virtual core::Result<void> Drain(const core::InstanceId& instance,
                                   core::Incarnation incarnation) = 0;

  /**
   * @brief Reboots an instance that is leaving.
   * @param instance Instance to reboot.
   * @param incarnation Incarnation that the operation is meant for.
   * @return An error if the platform rejects the call or does not reply.
   */
  virtual core::Result<void> Reboot(const core::InstanceId& instance,
                                    core::Incarnation incarnation) = 0;
};

}  // namespace crocusmast::maintenance

#endif  // CROCUSMAST_MAINTENANCE_PLATFORM_PORT_H_
