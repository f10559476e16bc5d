#ifndef STANDIN_PLATFORM_H_
#define STANDIN_PLATFORM_H_

#include <string>

#include "standin/service.h"

namespace standin {

/** @brief The settings of the simulated platform. */
struct PlatformSettings {
  /** @brief The listen address. */
  ListenSettings listen;
  /** @brief A file with a JSON array of the initial members. */
  std::string members_file;
  /** @brief The address of the membership service, as HOST:PORT. */
  std::string membership;
  /** @brief The duration of a reboot in milliseconds. */
  long reboot_ms = 1000;
};

/**
 * @brief Simulates the platform's API that drains, reboots and moves instances.
 *
 * Runs until the process ends.
 * @param settings The settings.
 */
void RunPlatform(const PlatformSettings& settings);

}  // namespace standin

#endif  // STANDIN_PLATFORM_H_
