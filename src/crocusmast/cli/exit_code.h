#ifndef CROCUSMAST_CLI_EXIT_CODE_H_
#define CROCUSMAST_CLI_EXIT_CODE_H_

#include "crocusmast/core/error.h"

namespace crocusmast::cli {

/** @brief Exit code of the tool. */
enum class ExitCode {
  /** @brief The command succeeded. */
  kSuccess = 0,
  /**
   * @brief The command succeeded; there are differences, or nothing was found.
   */
  kDifference = 1,
  /** @brief The command line is invalid. */
  kUsage = 2,
  /** @brief A file or list is invalid. */
  kInvalid = 3,
  /** @brief Another edit has changed the same row in the meantime. */
  kConflict = 4,
  /** @brief No instance responded, or the store is unavailable. */
  kUnavailable = 5,
  /** @brief The operator's token is missing or invalid. */
  kUnauthorized = 6,
};

/**
 * @brief Returns the exit code for a failed operation.
 * @param operation Operation that failed.
 */
constexpr ExitCode ExitCodeFor(core::Operation operation) {
  switch (operation) {
    case core::Operation::kParseSettings:
      return ExitCode::kUsage;
    case core::Operation::kMergeEdit:
      return ExitCode::kConflict;
    case core::Operation::kConnect:
    case core::Operation::kReadStore:
    case core::Operation::kWriteStore:
      return ExitCode::kUnavailable;
    case core::Operation::kAdministration:
      return ExitCode::kUnauthorized;
    default:
      return ExitCode::kInvalid;
  }
}

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_EXIT_CODE_H_
