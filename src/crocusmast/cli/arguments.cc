#include "crocusmast/cli/arguments.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>
#include <utility>

#include "crocusmast/adapters/endpoint.h"

namespace crocusmast::cli {
namespace internal {

using core::Fail;
using core::Operation;
using core::Result;

constexpr char kHelpText[] = R"(
Commands:
  check               validate the two files without contacting an instance
  apply               make the two files the current configuration
  diff                show what apply would change
  show                show the current lists, or those at --revision
  history             list the changes
  rollback REVISION   make the lists of an earlier revision current again
  status              show every instance: revision, peers, pools
  maintenance start --pools P,Q | pause | resume | status
                      control a maintenance wave
  explain REQUEST-ID  show the routing decisions for a request

Examples:
  crocusmast check --plans plans.json --allowances allowances.json
  crocusmast show --directory lists
  crocusmast apply --plans lists/plans.json --allowances \
      lists/allowances.json --reason "more slots for checkout"
  crocusmast status --output json

Exit codes:
  0 success; 1 differences, or nothing found; 2 invalid command line;
  3 invalid file or list; 4 conflict; 5 unavailable; 6 unauthorized

The token is read from CROCUSMAST_OPERATOR_TOKEN.
)";

std::string ReadEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string ReadToken() {
  std::string token = ReadEnvironment("CROCUSMAST_OPERATOR_TOKEN");
  const std::string file = ReadEnvironment("CROCUSMAST_OPERATOR_TOKEN_FILE");
  if (token.empty() && !file.empty()) {
    std::ifstream stream(file);
    std::getline(stream, token);
  }
  return token;
}

Result<std::vector<fleet::Endpoint>> ParseAddresses(const std::string& text) {
  std::vector<fleet::Endpoint> addresses;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    BOOST_LEAF_AUTO(address, adapters::ParseEndpoint("instances", item));
    addresses.push_back(address);
  }
  return addresses;
}

Result<core::Revision> ParseRevisionNumber(const std::string& text) {
  constexpr std::size_t kMaxDigits = 18;
  if (text.empty() || text.size() > kMaxDigits ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return Fail(Operation::kParseSettings, "revision",
                "'" + text + "' is not a non-negative integer");
  }
  return core::Revision(std::stoull(text));
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("crocusmast",
                           "Command line tool for operators of crocusmast.");
  const std::string user = ReadEnvironment("USER");
  auto add = options.add_options();
  add("command", "command to run", cxxopts::value<std::string>());
  add("operands", "operands of the command",
      cxxopts::value<std::vector<std::string>>());
  add("instances",
      "comma-separated administration addresses [CROCUSMAST_INSTANCES]",
      cxxopts::value<std::string>());
  add("plans", "file with the list of plans",
      cxxopts::value<std::string>()->default_value("plans.json"));
  add("allowances", "file with the list of allowances",
      cxxopts::value<std::string>()->default_value("allowances.json"));
  add("directory", "directory that show writes the two files to",
      cxxopts::value<std::string>()->default_value(""));
  add("author", "author of the change",
      cxxopts::value<std::string>()->default_value(user.empty() ? "operator"
                                                                : user));
  add("reason", "reason for the change",
      cxxopts::value<std::string>()->default_value("not said"));
  add("pools", "comma-separated pools, for maintenance start",
      cxxopts::value<std::string>()->default_value(""));
  add("revision", "revision to read, for show", cxxopts::value<std::string>());
  add("base", "revision that the files are based on, for apply",
      cxxopts::value<std::string>());
  add("output", "table or json",
      cxxopts::value<std::string>()->default_value("table"));
  add("help", "print this help and exit");
  options.parse_positional({"command", "operands"});
  options.positional_help("COMMAND");
  return options;
}

Result<void> ParseOptionValues(const cxxopts::ParseResult& parsed,
                               Arguments& arguments) {
  arguments.plans_file = parsed["plans"].as<std::string>();
  arguments.allowances_file = parsed["allowances"].as<std::string>();
  arguments.directory = parsed["directory"].as<std::string>();
  arguments.author = parsed["author"].as<std::string>();
  arguments.reason = parsed["reason"].as<std::string>();
  arguments.pools = parsed["pools"].as<std::string>();
  const std::string output = parsed["output"].as<std::string>();
  if (output != "table" && output != "json") {
    return Fail(Operation::kParseSettings, "output",
                "value '" + output + "'; allowed are table, json");
  }
  arguments.is_json = output == "json";
  for (const char* name : {"revision", "base"}) {
    if (parsed.count(name) > 0) {
      BOOST_LEAF_AUTO(revision,
                      ParseRevisionNumber(parsed[name].as<std::string>()));
      arguments.revision = revision;
    }
  }
  return {};
}

Result<Arguments> ToArguments(const cxxopts::ParseResult& parsed) {
  Arguments arguments;
  arguments.command = parsed["command"].as<std::string>();
  if (parsed.count("operands") > 0) {
    arguments.operands = parsed["operands"].as<std::vector<std::string>>();
  }
  const std::string instances = parsed.count("instances") > 0
                                    ? parsed["instances"].as<std::string>()
                                    : ReadEnvironment("CROCUSMAST_INSTANCES");
  BOOST_LEAF_ASSIGN(
      arguments.instances,
      ParseAddresses(instances.empty() ? "127.0.0.1:8081" : instances));
  BOOST_LEAF_CHECK(ParseOptionValues(parsed, arguments));
  arguments.token = ReadToken();
  return arguments;
}

}  // namespace internal

core::Result<Arguments> ParseArguments(int argc, const char* const* argv) {
  cxxopts::Options options = internal::MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      Arguments arguments;
      arguments.text_to_print = options.help() + internal::kHelpText;
      return arguments;
    }
    if (parsed.count("command") == 0) {
      return core::Fail(core::Operation::kParseSettings, "command line",
                        "no command given; see --help");
    }
    return internal::ToArguments(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    return core::Fail(core::Operation::kParseSettings, "command line",
                      error.what());
  }
}

}  // namespace crocusmast::cli
