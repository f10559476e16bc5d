#ifndef CROCUSMAST_CLI_COMMANDS_H_
#define CROCUSMAST_CLI_COMMANDS_H_

#include "crocusmast/cli/arguments.h"
#include "crocusmast/cli/exit_code.h"
#include "crocusmast/core/error.h"

namespace crocusmast::cli {

/**
 * @brief Runs a command and prints its result.
 * @param arguments Parsed command line.
 * @return The exit code, or an error.
 */
core::Result<ExitCode> RunCommand(const Arguments& arguments);

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_COMMANDS_H_
