#include <csignal>
#include <cstdlib>
#include <iostream>

#include "crocusmast/cli/arguments.h"
#include "crocusmast/cli/commands.h"

namespace {

using crocusmast::cli::ExitCode;
using crocusmast::core::Error;
using crocusmast::core::Result;

Result<ExitCode> Run(int argc, const char* const* argv) {
  BOOST_LEAF_AUTO(arguments, crocusmast::cli::ParseArguments(argc, argv));
  if (!arguments.text_to_print.empty()) {
    std::cout << arguments.text_to_print;
    return ExitCode::kSuccess;
  }
  return crocusmast::cli::RunCommand(arguments);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const ExitCode code = crocusmast::core::Handle(
      [&] { return Run(argc, argv); },
      [](const Error& error) {
        std::cerr << "crocusmast: " << Describe(error) << "\n";
        return crocusmast::cli::ExitCodeFor(error.operation);
      });
  return static_cast<int>(code);
}
