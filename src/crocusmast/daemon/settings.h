#ifndef CROCUSMAST_DAEMON_SETTINGS_H_
#define CROCUSMAST_DAEMON_SETTINGS_H_

#include <cstddef>
#include <string>

#include "crocusmast/adapters/boost_logger.h"
#include "crocusmast/core/error.h"
#include "crocusmast/core/ids.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::daemon {

/** @brief What a daemon is started with. */
struct Settings {
  /** @brief This instance's id. */
  core::InstanceId id;
  /** @brief Its region. */
  core::RegionId region;
  /** @brief Its availability zone. */
  core::ZoneId zone;
  /** @brief Where callers' requests come in. */
  fleet::Endpoint listen;
  /** @brief Where administration calls come in. */
  fleet::Endpoint admin;
  /** @brief Where peer links come in. */
  fleet::Endpoint peer;
  /** @brief The configuration store. */
  fleet::Endpoint store;
  /** @brief The membership list. */
  fleet::Endpoint membership;
  /** @brief The platform. */
  fleet::Endpoint platform;
  /** @brief Connections of callers served at the same time. */
  std::size_t caller_threads = 0;
  /** @brief Requests of peers served at the same time. */
  std::size_t forward_threads = 0;
  /** @brief The longest time that a stop waits for requests, in seconds. */
  std::size_t drain_seconds = 0;
  /** @brief How log lines are written. */
  adapters::LogFormat log_format = adapters::LogFormat::kText;
  /** @brief The least severity that is logged. */
  core::Severity log_level = core::Severity::kInfo;
  /** @brief The operators' token. */
  std::string operator_token;
  /** @brief The token of peer links. */
  std::string peer_token;
};

/** @brief What the command line asked for. */
struct ParsedCommandLine {
  /** @brief The settings; checked unless help was asked for. */
  Settings settings;
  /** @brief Text to print before the end; empty to run. */
  std::string text_to_print;
};

/**
 * @brief Reads flags, then environment variables, then defaults.
 * @param argc The number of arguments.
 * @param argv The arguments.
 * @return The settings, or an error that names the setting, its value and what
 * is allowed.
 */
core::Result<ParsedCommandLine> ParseCommandLine(int argc,
                                                 const char* const* argv);

}  // namespace crocusmast::daemon

#endif  // CROCUSMAST_DAEMON_SETTINGS_H_
