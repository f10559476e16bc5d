#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "bench/runner.h"
#include "crocusmast/adapters/endpoint.h"
#include "crocusmast/core/error.h"

namespace {

namespace core = crocusmast::core;

constexpr int kExitUsage = 2;
constexpr double kMsPerSecond = 1000;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("crocusmast-load",
                           "Generates load and reports outcomes and latency.");
  auto add = options.add_options();
  add("to", "comma-separated addresses HOST:PORT",
      cxxopts::value<std::vector<std::string>>());
  add("path", "request path: /requests, or /run for a target",
      cxxopts::value<std::string>()->default_value("/requests"));
  add("mix", "JSON file with the mix of requests",
      cxxopts::value<std::string>());
  add("rate", "mean requests per second; 0 for closed-loop load",
      cxxopts::value<double>()->default_value("100"));
  add("seconds", "duration of the run in seconds",
      cxxopts::value<double>()->default_value("10"));
  add("threads", "number of sender threads",
      cxxopts::value<std::size_t>()->default_value("64"));
  add("seed", "seed of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("id-prefix", "prefix of the request ids",
      cxxopts::value<std::string>()->default_value("load"));
  add("output", "format of the report: table or json",
      cxxopts::value<std::string>()->default_value("table"));
  add("outcomes", "file for the outcome of each request",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "print this help and exit");
  return options;
}

core::Result<bench::RunSettings> ReadSettings(
    const cxxopts::ParseResult& parsed) {
  bench::RunSettings settings;
  for (const std::string& text : parsed["to"].as<std::vector<std::string>>()) {
    BOOST_LEAF_AUTO(address, crocusmast::adapters::ParseEndpoint("to", text));
    settings.sender.addresses.push_back(address);
  }
  settings.sender.path = parsed["path"].as<std::string>();
  settings.rate = parsed["rate"].as<double>();
  settings.duration = std::chrono::milliseconds(
      static_cast<long>(parsed["seconds"].as<double>() * kMsPerSecond));
  settings.threads = parsed["threads"].as<std::size_t>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  settings.id_prefix = parsed["id-prefix"].as<std::string>();
  return settings;
}

core::Result<int> Run(const cxxopts::ParseResult& parsed) {
  BOOST_LEAF_AUTO(settings, ReadSettings(parsed));
  BOOST_LEAF_AUTO(mix, bench::ReadMix(parsed["mix"].as<std::string>()));
  bench::OutcomeLog log(parsed["outcomes"].as<std::string>());
  bench::Report report;
  const auto started_at = std::chrono::steady_clock::now();
  bench::Run(settings, mix, log, report);
  const double seconds = std::chrono::duration<double>(
                             std::chrono::steady_clock::now() - started_at)
                             .count();
  std::cout << (parsed["output"].as<std::string>() == "json"
                    ? report.FormatJson(seconds)
                    : report.FormatTable(seconds));
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    return core::Handle([&] { return Run(parsed); },
                        [](const core::Error& error) {
                          std::cerr << "crocusmast-load: " << Describe(error)
                                    << "\n";
                          return kExitUsage;
                        });
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "crocusmast-load: " << error.what() << "\n";
    return kExitUsage;
  }
}
