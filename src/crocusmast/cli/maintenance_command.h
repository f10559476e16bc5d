#ifndef CROCUSMAST_CLI_MAINTENANCE_COMMAND_H_
#define CROCUSMAST_CLI_MAINTENANCE_COMMAND_H_

#include "crocusmast/cli/arguments.h"
#include "crocusmast/cli/exit_code.h"
#include "crocusmast/core/error.h"

namespace crocusmast::cli {

/**
 * @brief Starts, pauses, resumes or shows a maintenance wave.
 * @param arguments Parsed command line.
 * @return The exit code, or an error.
 */
core::Result<ExitCode> RunMaintenance(const Arguments& arguments);

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_MAINTENANCE_COMMAND_H_
