#include <csignal>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "standin/membership.h"
#include "standin/platform.h"
#include "standin/store.h"
#include "standin/target.h"

namespace {

constexpr int kExitUsage = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "crocusmast-standin",
      "Simulates a service that crocusmast uses: store, membership, platform "
      "or target.");
  auto add = options.add_options();
  add("service", "service to simulate: store, membership, platform or target",
      cxxopts::value<std::string>());
  add("port", "listen port; for targets the first of consecutive ports",
      cxxopts::value<int>()->default_value("9001"));
  add("threads", "maximum number of concurrent connections on each port",
      cxxopts::value<int>()->default_value("32"));
  add("members", "JSON file with the initial members",
      cxxopts::value<std::string>()->default_value("members.json"));
  add("lag-ms", "delay until the list shows a change, in ms; membership only",
      cxxopts::value<long>()->default_value("1000"));
  add("membership", "address of the membership service; platform only",
      cxxopts::value<std::string>()->default_value("127.0.0.1:9002"));
  add("reboot-ms", "duration of a reboot in ms; platform only",
      cxxopts::value<long>()->default_value("1000"));
  add("count", "number of targets; target only",
      cxxopts::value<int>()->default_value("1"));
  add("slots", "number of slots of each target; target only",
      cxxopts::value<int>()->default_value("8"));
  add("service-ms", "mean service time of a request in ms; target only",
      cxxopts::value<double>()->default_value("5"));
  add("help", "print this help and exit");
  options.parse_positional({"service"});
  options.positional_help("SERVICE");
  return options;
}

standin::ListenSettings ReadListenSettings(const cxxopts::ParseResult& parsed) {
  standin::ListenSettings listen;
  listen.port = static_cast<std::uint16_t>(parsed["port"].as<int>());
  listen.threads = static_cast<std::size_t>(parsed["threads"].as<int>());
  return listen;
}

int Run(const cxxopts::ParseResult& parsed) {
  const std::string service = parsed["service"].as<std::string>();
  const standin::ListenSettings listen = ReadListenSettings(parsed);
  const std::string members = parsed["members"].as<std::string>();
  if (service == "store") {
    standin::RunStore(listen);
  } else if (service == "membership") {
    standin::RunMembership(listen, members, parsed["lag-ms"].as<long>());
  } else if (service == "platform") {
    standin::RunPlatform({listen, members,
                          parsed["membership"].as<std::string>(),
                          parsed["reboot-ms"].as<long>()});
  } else if (service == "target") {
    standin::RunTargets({listen, parsed["count"].as<int>(),
                         parsed["slots"].as<int>(),
                         parsed["service-ms"].as<double>()});
  } else {
    std::cerr << "crocusmast-standin: unknown service '" << service << "'\n";
    return kExitUsage;
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("service") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? EXIT_SUCCESS : kExitUsage;
    }
    return Run(parsed);
  } catch (const std::exception& error) {
    std::cerr << "crocusmast-standin: " << error.what() << "\n";
    return kExitUsage;
  }
}
