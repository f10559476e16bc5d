#ifndef CROCUSMAST_ADAPTERS_ADMIN_CODEC_H_
#define CROCUSMAST_ADAPTERS_ADMIN_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/request/decision_history.h"
#include "crocusmast/routing/messages.h"

namespace crocusmast::adapters {

/**
 * @brief Status of one entry instance, as reported to the command-line tool.
 */
struct InstanceStatus {
  /** @brief Id of the instance. */
  core::InstanceId id;
  /** @brief Availability zone of the instance. */
  core::ZoneId zone;
  /** @brief Status of its router. */
  routing::RouterStatus router;
};

/**
 * @brief Formats an error as JSON.
 * @param error The error.
 * @return JSON text; invalid UTF-8 is replaced.
 */
std::string FormatError(const core::Error& error);

/**
 * @brief Extracts the message from an error formatted with FormatError.
 * @param text JSON text.
 * @return The message, or the whole text if it is not such an error.
 */
std::string ParseError(std::string_view text);

/**
 * @brief Formats the revision that an edit created.
 * @param revision The revision.
 * @return JSON text.
 */
std::string FormatRevision(core::Revision revision);

/**
 * @brief Parses the revision that an edit created.
 * @param text JSON text.
 * @return The revision, or an error that names the invalid field.
 */
core::Result<core::Revision> ParseRevision(std::string_view text);

/**
 * @brief Formats configuration changes.
 * @param changes The changes.
 * @return JSON text.
 */
std::string FormatChanges(const std::vector<configuration::Change>& changes);

/**
 * @brief Parses configuration changes.
 * @param text JSON text.
 * @return The changes, or an error that names the invalid field.
 */
core::Result<std::vector<configuration::Change>> ParseChanges(
    std::string_view text);

/**
 * @brief Formats the decisions taken on a request.
 * @param decisions The decisions.
 * @return JSON text.
 */
std::string FormatDecisions(const std::vector<request::Decision>& decisions);

/**
 * @brief Formats the status of an instance.
 * @param status The status.
 * @return JSON text.
 */
std::string FormatStatus(const InstanceStatus& status);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_ADMIN_CODEC_H_
