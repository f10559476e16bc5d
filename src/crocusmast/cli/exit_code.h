#ifndef CROCUSMAST_CLI_EXIT_CODE_H_
#define CROCUSMAST_CLI_EXIT_CODE_H_

#include "crocusmast/core/error.h"

namespace crocusmast::cli {

/** @brief What the tool ends with. */
enum class ExitCode {
  /** @brief Done. */
  kSuccess = 0,
  /** @brief Done; there are differences, or nothing was found. */
  kDifference = 1,
  /** @brief The command line is wrong. */
  kUsage = 2,
  /** @brief A file or list is wrong. */
  kInvalid = 3,
  /** @brief Somebody else changed the same row since. */
  kConflict = 4,
  /** @brief No instance answered, or the store did not. */
  kUnavailable = 5,
  /** @brief The operator's token is missing or wrong. */
  kUnauthorized = 6,
};

/**
 * @brief Finds the exit code for an error.
 * @param step The step that failed.
 */
constexpr ExitCode ExitCodeFor(core::Step step) {
  switch (step) {
    case core::Step::kParseSettings:
      return ExitCode::kUsage;
    case core::Step::kMergeEdit:
      return ExitCode::kConflict;
    case core::Step::kConnect:
    case core::Step::kReadStore:
    case core::Step::kWriteStore:
      return ExitCode::kUnavailable;
    case core::Step::kAdministration:
      return ExitCode::kUnauthorized;
    default:
      return ExitCode::kInvalid;
  }
}

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_EXIT_CODE_H_
