#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "crocusmast/daemon/daemon.h"
#include "crocusmast/daemon/settings.h"

namespace {

using crocusmast::core::Error;
using crocusmast::core::Result;
using crocusmast::daemon::Daemon;

constexpr int kExitStartupError = 2;

sigset_t BlockTerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

Result<int> Run(int argc, const char* const* argv) {
  BOOST_LEAF_AUTO(parsed, crocusmast::daemon::ParseCommandLine(argc, argv));
  if (!parsed.text_to_print.empty()) {
    std::cout << parsed.text_to_print;
    return EXIT_SUCCESS;
  }
  const sigset_t signals = BlockTerminationSignals();
  BOOST_LEAF_AUTO(daemon, Daemon::Create(parsed.settings));
  int received = 0;
  sigwait(&signals, &received);
  daemon->Drain();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  return crocusmast::core::Handle(
      [&] { return Run(argc, argv); },
      [](const Error& error) {
        std::cerr << "crocusmastd: " << Describe(error) << "\n";
        return kExitStartupError;
      });
}
