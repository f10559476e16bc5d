#ifndef CROCUSMAST_ADAPTERS_ADMIN_CODEC_H_
#define CROCUSMAST_ADAPTERS_ADMIN_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "crocusmast/configuration/change.h"
#include "crocusmast/request/history.h"
#include "crocusmast/routing/messages.h"

namespace crocusmast::adapters {

/** @brief The status of one entry instance, as the tool shows it. */
struct InstanceStatus {
  /** @brief The instance. */
  core::InstanceId id;
  /** @brief Its availability zone. */
  core::ZoneId zone;
  /** @brief How its routing stands. */
  routing::RouterStatus router;
};

/**
 * @brief Writes an error.
 * @param error The error.
 */
std::string FormatError(const core::Error& error);

/**
 * @brief Reads an error's text.
 * @param text JSON.
 * @return The sentence; the text itself if it is no such JSON.
 */
std::string ParseError(std::string_view text);

/**
 * @brief Writes the revision that an edit led to.
 * @param revision The revision.
 */
std::string FormatRevision(core::Revision revision);

/**
 * @brief Reads the revision that an edit led to.
 * @param text JSON.
 */
core::Result<core::Revision> ParseRevision(std::string_view text);

/**
 * @brief Writes changes.
 * @param changes The changes.
 */
std::string FormatChanges(const std::vector<configuration::Change>& changes);

/**
 * @brief Reads changes.
 * @param text JSON.
 */
core::Result<std::vector<configuration::Change>> ParseChanges(
    std::string_view text);

/**
 * @brief Writes decisions.
 * @param decisions The decisions.
 */
std::string FormatDecisions(const std::vector<request::Decision>& decisions);

/**
 * @brief Writes a status.
 * @param status The status.
 */
std::string FormatStatus(const InstanceStatus& status);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_ADMIN_CODEC_H_
