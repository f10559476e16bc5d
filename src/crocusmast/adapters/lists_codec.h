#ifndef CROCUSMAST_ADAPTERS_LISTS_CODEC_H_
#define CROCUSMAST_ADAPTERS_LISTS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "crocusmast/configuration/change.h"

namespace crocusmast::adapters {

/** @brief The longest text of lists that is read. */
inline constexpr std::size_t kMaxListsBytes = std::size_t{8} * 1024 * 1024;

/** @brief The text of both lists as files. */
struct ListFiles {
  /** @brief The list of plans. */
  std::string plans;
  /** @brief The list of allowances. */
  std::string allowances;
};

/** @brief Lists read from files, with the revision that the files name. */
struct ParsedFiles {
  /** @brief The lists. */
  configuration::Lists lists;
  /** @brief The revision; empty if the files name none. */
  std::optional<core::Revision> revision;
};

/**
 * @brief Reads the operators' two files and checks them as a whole.
 * @param files The files' text.
 * @return The lists, or an error naming file, row, field and what is allowed.
 */
core::Result<ParsedFiles> ParseFiles(const ListFiles& files);

/**
 * @brief Writes lists as the operators' two files.
 * @param snapshot The lists and their revision.
 */
ListFiles FormatFiles(const configuration::Snapshot& snapshot);

/**
 * @brief Reads an edit as the administration API takes it.
 * @param text JSON.
 */
core::Result<configuration::Edit> ParseEdit(std::string_view text);

/**
 * @brief Writes an edit as the administration API takes it.
 * @param edit The edit.
 */
std::string FormatEdit(const configuration::Edit& edit);

/**
 * @brief Reads a change as the store keeps it.
 * @param text JSON.
 */
core::Result<configuration::Change> ParseChange(std::string_view text);

/**
 * @brief Writes a change as the store keeps it.
 * @param change The change.
 */
std::string FormatChange(const configuration::Change& change);

/**
 * @brief Reads a snapshot as the store keeps it.
 * @param text JSON.
 */
core::Result<configuration::Snapshot> ParseSnapshot(std::string_view text);

/**
 * @brief Writes a snapshot as the store keeps it.
 * @param snapshot The snapshot.
 */
std::string FormatSnapshot(const configuration::Snapshot& snapshot);

}  // namespace crocusmast::adapters

#endif  // CROCUSMAST_ADAPTERS_LISTS_CODEC_H_
