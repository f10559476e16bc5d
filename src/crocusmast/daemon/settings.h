#ifndef CROCUSMAST_DAEMON_SETTINGS_H_
#define CROCUSMAST_DAEMON_SETTINGS_H_

#include <cstddef>
#include <string>

#include "crocusmast/adapters/boost_logger.h"
#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::daemon {

/** @brief Settings of a daemon. */
struct Settings {
  /** @brief Id of this instance. */
  core::InstanceId id;
  /** @brief Region of this instance. */
  core::RegionId region;
  /** @brief Availability zone of this instance. */
  core::ZoneId zone;
  /** @brief Listen address for callers' requests. */
  fleet::Endpoint listen;
  /** @brief Listen address for administration and metrics. */
  fleet::Endpoint admin;
  /** @brief Listen address for peer links. */
  fleet::Endpoint peer;
  /** @brief Address of the configuration store. */
  fleet::Endpoint store;
  /** @brief Address of the service that publishes the membership list. */
  fleet::Endpoint membership;
  /** @brief Address of the platform API. */
  fleet::Endpoint platform;
  /** @brief Number of caller connections served concurrently. */
  std::size_t caller_threads = 0;
  /** @brief Number of forwarded requests served concurrently. */
  std::size_t forward_threads = 0;
  /** @brief Maximum time that a shutdown waits for requests, in seconds. */
  std::size_t drain_seconds = 0;
  /** @brief Output format of log lines. */
  adapters::LogFormat log_format = adapters::LogFormat::kText;
  /** @brief Minimum severity of log records. */
  core::Severity log_level = core::Severity::kInfo;
  /** @brief Bearer token of operators. */
  std::string operator_token;
  /** @brief Bearer token of peer links. */
  std::string peer_token;
};

/** @brief Result of parsing the command line. */
struct ParsedCommandLine {
  /** @brief The settings; validated unless help was requested. */
  Settings settings;
  /** @brief Text to print before exiting; empty to run the daemon. */
  std::string text_to_print;
};

/**
 * @brief Parses the settings from the command line and the environment.
 *
 * A flag takes precedence over an environment variable, which takes precedence
 * over the default.
 * @param argc Number of arguments.
 * @param argv The arguments.
 * @return The settings, or an error that names the setting, its value and the
 * allowed values.
 */
core::Result<ParsedCommandLine> ParseCommandLine(int argc,
                                                 const char* const* argv);

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_SETTINGS_H_
