#ifndef STANDIN_PLATFORM_H_
#define STANDIN_PLATFORM_H_

#include <string>

#include "standin/service.h"

namespace standin {

/** @brief What the platform needs to know. */
struct PlatformSettings {
  /** @brief Where it listens. */
  Listen listen;
  /** @brief A JSON array of the members at the start. */
  std::string file;
  /** @brief Where the membership list takes changes, as HOST:PORT. */
  std::string membership;
  /** @brief How long a reboot takes. */
  long reboot_ms = 1000;
};

/**
 * @brief Stands in for the platform: drains, reboots and moves instances.
 * @param settings The settings.
 */
void RunPlatform(const PlatformSettings& settings);

}  // namespace standin

#endif  // STANDIN_PLATFORM_H_
