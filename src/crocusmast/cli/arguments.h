#ifndef CROCUSMAST_CLI_ARGUMENTS_H_
#define CROCUSMAST_CLI_ARGUMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/core/units.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::cli {

/** @brief Parsed command line and environment. */
struct Arguments {
  /** @brief Command to run. */
  std::string command;
  /** @brief Operands of the command. */
  std::vector<std::string> operands;
  /** @brief Administration addresses of the entry instances. */
  std::vector<fleet::Endpoint> instances;
  /** @brief Operator's token. */
  std::string token;
  /** @brief File with the list of plans. */
  std::string plans_file;
  /** @brief File with the list of allowances. */
  std::string allowances_file;
  /** @brief Directory to write the lists to; empty to print them. */
  std::string directory;
  /** @brief Author of a change. */
  std::string author;
  /** @brief Reason of a change. */
  std::string reason;
  /** @brief Pools, separated by commas. */
  std::string pools;
  /** @brief Revision to read, or on which an edit is based. */
  std::optional<core::Revision> revision;
  /** @brief Print JSON instead of tables. */
  bool is_json = false;
  /** @brief Text to print instead of running a command; empty to run it. */
  std::string text_to_print;
};

/**
 * @brief Parses the command line and the environment.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return The arguments, or an error.
 */
core::Result<Arguments> ParseArguments(int argc, const char* const* argv);

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_ARGUMENTS_H_
