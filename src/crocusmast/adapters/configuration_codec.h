#ifndef CROCUSMAST_ADAPTERS_CONFIGURATION_CODEC_H_
#define CROCUSMAST_ADAPTERS_CONFIGURATION_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "crocusmast/configuration/change.h"

namespace crocusmast::adapters {

/** @brief Size limit of a configuration text, in bytes. */
inline constexpr std::size_t kMaxConfigurationBytes =
    std::size_t{8} * 1024 * 1024;

/** @brief Contents of the two configuration files. */
struct ConfigurationFiles {
  /** @brief Contents of the plans file. */
  std::string plans;
  /** @brief Contents of the allowances file. */
  std::string allowances;
};

/**
 * @brief Configuration parsed from files, with the revision stated in the
 * files.
 */
struct ParsedConfiguration {
  /** @brief Plans and allowances. */
  configuration::PlanLists lists;
  /** @brief The revision; empty if the files state none. */
  std::optional<core::Revision> revision;
};

/**
 * @brief Parses the two configuration files and validates them together.
 * @param files Contents of the files.
 * @return The configuration, or an error that names the file, row, field and
 * the allowed values.
 */
core::Result<ParsedConfiguration> ParseConfigurationFiles(
    const ConfigurationFiles& files);

/**
 * @brief Formats a configuration as the two configuration files.
 * @param snapshot The configuration and its revision.
 * @return Contents of the files.
 */
ConfigurationFiles FormatConfigurationFiles(
    const configuration::Snapshot& snapshot);

/**
 * @brief Parses an edit in the format of the administration API.
 * @param text JSON text.
 * @return The edit, or an error that names the invalid field.
 */
core::Result<configuration::Edit> ParseEdit(std::string_view text);

/**
 * @brief Formats an edit for the administration API.
 * @param edit The edit.
 * @return JSON text.
 */
std::string FormatEdit(const configuration::Edit& edit);

/**
 * @brief Parses a change from the store, a peer or the administration API.
 * @param text JSON text.
 * @return The change, or an error that names the invalid field.
 */
core::Result<configuration::Change> ParseChange(std::string_view text);

/**
 * @brief Formats a change for the store, peers and the administration API.
 * @param change The change.
 * @return JSON text.
 */
std::string FormatChange(const configuration::Change& change);

/**
 * @brief Parses a snapshot from the store, a peer or the administration API.
 * @param text JSON text.
 * @return The snapshot, or an error that names the invalid field.
 */
core::Result<configuration::Snapshot> ParseSnapshot(std::string_view text);

/**
 * @brief Formats a snapshot for the store, peers and the administration API.
 * @param snapshot The snapshot.
 * @return JSON text.
 */
std::string FormatSnapshot(const configuration::Snapshot& snapshot);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_CONFIGURATION_CODEC_H_
