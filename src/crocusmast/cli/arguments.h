#ifndef CROCUSMAST_CLI_ARGUMENTS_H_
#define CROCUSMAST_CLI_ARGUMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include "crocusmast/core/error.h"
#include "crocusmast/core/units.h"
#include "crocusmast/fleet/instance_record.h"

namespace crocusmast::cli {

/** @brief What the tool was called with. */
struct Arguments {
  /** @brief The command. */
  std::string command;
  /** @brief What follows the command. */
  std::vector<std::string> operands;
  /** @brief The entry instances' administration addresses. */
  std::vector<fleet::Endpoint> instances;
  /** @brief The operator's token. */
  std::string token;
  /** @brief The file with the list of plans. */
  std::string plans_file;
  /** @brief The file with the list of allowances. */
  std::string allowances_file;
  /** @brief A folder to write lists to. */
  std::string directory;
  /** @brief Who acts. */
  std::string author;
  /** @brief Why. */
  std::string reason;
  /** @brief Pools with commas between. */
  std::string pools;
  /** @brief A revision, where a command takes one. */
  std::optional<core::Revision> revision;
  /** @brief Whether output is JSON. */
  bool is_json = false;
  /** @brief Text to print before the end; empty to run the command. */
  std::string text_to_print;
};

/**
 * @brief Reads the command line and the environment.
 * @param argc The number of arguments.
 * @param argv The arguments.
 */
core::Result<Arguments> ParseArguments(int argc, const char* const* argv);

}  // namespace crocusmast::cli

#endif  // CROCUSMAST_CLI_ARGUMENTS_H_
