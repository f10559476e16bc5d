#include "crocusmast/daemon/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "crocusmast/adapters/endpoint.h"

namespace crocusmast::daemon {
namespace internal {

using adapters::ParseEndpoint;
using core::Fail;
using core::Operation;
using core::Result;

/** @brief Name, default value and help text of a setting. */
struct SettingInfo {
  const char* name;
  const char* default_value;
  const char* help;
};

constexpr std::array<SettingInfo, 14> kSettings{{
    {"id", "", "id of this instance"},
    {"region", "region-1", "region of this instance"},
    {"zone", "", "availability zone of this instance"},
    {"listen", "127.0.0.1:8080", "listen address for callers' requests"},
    {"admin", "127.0.0.1:8081",
     "listen address for administration and metrics"},
    {"peer", "127.0.0.1:8082",
     "listen address for links from other entry instances"},
    {"store", "127.0.0.1:9001", "address of the configuration store"},
    {"membership", "127.0.0.1:9002", "address of the membership list"},
    {"platform", "127.0.0.1:9003", "address of the platform"},
    {"caller-threads", "512",
     "caller connections served concurrently, 1 to 4096"},
    {"forward-threads", "64",
     "forwarded requests served concurrently, 1 to 4096"},
    {"drain-seconds", "30",
     "maximum wait for requests on shutdown, in seconds, 1 to 600"},
    {"log-format", "text", "text or json"},
    {"log-level", "info", "debug, info, warning or error"},
}};

using Values = std::map<std::string, std::string>;

std::string EnvironmentName(const std::string& setting) {
  std::string name = "CROCUSMAST_" + setting;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

std::string ReadEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? "" : value;
}

boost::leaf::error_id SettingError(std::string_view name,
                                   const std::string& value,
                                   const std::string& allowed) {
  return Fail(Operation::kParseSettings, std::string(name),
              "value '" + value + "'; allowed: " + allowed);
}

Values Resolve(const cxxopts::ParseResult& parsed) {
  Values values;
  for (const SettingInfo& info : kSettings) {
    const std::string from_environment =
        ReadEnvironment(EnvironmentName(info.name));
    std::string value =
        from_environment.empty() ? info.default_value : from_environment;
    if (parsed.count(info.name) > 0) {
      value = parsed[info.name].as<std::string>();
    }
    values[info.name] = value;
  }
  return values;
}

Result<std::size_t> ParseCount(const Values& values,
                               const std::string& name,
                               std::size_t max_count) {
  const std::string& text = values.at(name);
  constexpr std::size_t kMaxDigits = 9;
  const bool is_number =
      !text.empty() && text.size() <= kMaxDigits &&
      text.find_first_not_of("0123456789") == std::string::npos;
  const std::size_t count = is_number ? std::stoul(text) : 0;
  if (count < 1 || count > max_count) {
    return SettingError(name, text, "1 to " + std::to_string(max_count));
  }
  return count;
}

template <typename Id>
Result<Id> ParseId(const Values& values, const std::string& name) {
  core::Result<Id> id = Id::Create(values.at(name));
  if (id) {
    return id;
  }
  return SettingError(name, values.at(name),
                      "1 to 64 letters, digits, '.', '_', ':', '-'");
}

// Reads a secret from the environment variable NAME, or from the file named by
// NAME_FILE.
Result<std::string> ReadSecret(const std::string& name) {
  constexpr std::size_t kMinSecretLength = 8;
  constexpr std::size_t kMaxSecretLength = 256;
  std::string secret = ReadEnvironment(name);
  const std::string file_name = ReadEnvironment(name + "_FILE");
  if (secret.empty() && !file_name.empty()) {
    std::ifstream file(file_name);
    std::getline(file, secret);
  }
  if (secret.size() < kMinSecretLength || secret.size() > kMaxSecretLength) {
    return Fail(Operation::kParseSettings, name,
                "the secret is missing or has an invalid length; allowed are 8 "
                "to 256 characters, in this variable or in the file named by " +
                    name + "_FILE");
  }
  return secret;
}

Result<adapters::LogFormat> ParseLogFormat(const std::string& text) {
  if (text == "text") {
    return adapters::LogFormat::kText;
  }
  if (text == "json") {
    return adapters::LogFormat::kJson;
  }
  return SettingError("log-format", text, "text, json");
}

Result<core::Severity> ParseLogLevel(const std::string& text) {
  for (const core::Severity severity :
       {core::Severity::kDebug, core::Severity::kInfo, core::Severity::kWarning,
        core::Severity::kError}) {
    if (text == core::SeverityName(severity)) {
      return severity;
    }
  }
  return SettingError("log-level", text, "debug, info, warning, error");
}

Result<void> ParseAddresses(const Values& values, Settings& settings) {
  BOOST_LEAF_ASSIGN(settings.listen,
                    ParseEndpoint("listen", values.at("listen")));
  BOOST_LEAF_ASSIGN(settings.admin, ParseEndpoint("admin", values.at("admin")));
  BOOST_LEAF_ASSIGN(settings.peer, ParseEndpoint("peer", values.at("peer")));
  BOOST_LEAF_ASSIGN(settings.store, ParseEndpoint("store", values.at("store")));
  BOOST_LEAF_ASSIGN(settings.membership,
                    ParseEndpoint("membership", values.at("membership")));
  BOOST_LEAF_ASSIGN(settings.platform,
                    ParseEndpoint("platform", values.at("platform")));
  return {};
}

Result<Settings> BuildSettings(const Values& values) {
  constexpr std::size_t kMaxThreads = 4096;
  constexpr std::size_t kMaxDrainSeconds = 600;
  Settings settings;
  BOOST_LEAF_ASSIGN(settings.id, ParseId<core::InstanceId>(values, "id"));
  BOOST_LEAF_ASSIGN(settings.region, ParseId<core::RegionId>(values, "region"));
  BOOST_LEAF_ASSIGN(settings.zone, ParseId<core::ZoneId>(values, "zone"));
  BOOST_LEAF_CHECK(ParseAddresses(values, settings));
  BOOST_LEAF_ASSIGN(settings.caller_threads,
                    ParseCount(values, "caller-threads", kMaxThreads));
  BOOST_LEAF_ASSIGN(settings.forward_threads,
                    ParseCount(values, "forward-threads", kMaxThreads));
  BOOST_LEAF_ASSIGN(settings.drain_seconds,
                    ParseCount(values, "drain-seconds", kMaxDrainSeconds));
  BOOST_LEAF_ASSIGN(settings.log_format,
                    ParseLogFormat(values.at("log-format")));
  BOOST_LEAF_ASSIGN(settings.log_level, ParseLogLevel(values.at("log-level")));
  BOOST_LEAF_ASSIGN(settings.operator_token,
                    ReadSecret("CROCUSMAST_OPERATOR_TOKEN"));
  BOOST_LEAF_ASSIGN(settings.peer_token, ReadSecret("CROCUSMAST_PEER_TOKEN"));
  return settings;
}

std::string FormatValues(const Values& values) {
  std::ostringstream out;
  for (const auto& [name, value] : values) {
    out << name << "=" << value << "\n";
  }
  return out.str();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("crocusmastd", "The daemon of an entry instance.");
  auto add = options.add_options();
  for (const SettingInfo& info : kSettings) {
    std::string help =
        std::string(info.help) + " [" + EnvironmentName(info.name) + "]";
    if (info.default_value[0] != '\0') {
      help += std::string(" (default ") + info.default_value + ")";
    }
    add(info.name, help, cxxopts::value<std::string>());
  }
  add("print-settings", "validate the settings, print them and exit");
  add("help", "print this help and exit");
  return options;
}

}  // namespace internal

core::Result<ParsedCommandLine> ParseCommandLine(int argc,
                                                 const char* const* argv) {
  cxxopts::Options options = internal::MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      return ParsedCommandLine{{}, options.help()};
    }
    if (!parsed.unmatched().empty()) {
      return core::Fail(core::Operation::kParseSettings, "command line",
                        "'" + parsed.unmatched().front() + "' is not a flag");
    }
    const internal::Values values = internal::Resolve(parsed);
    BOOST_LEAF_AUTO(settings, internal::BuildSettings(values));
    if (parsed.count("print-settings") > 0) {
      return ParsedCommandLine{settings, internal::FormatValues(values)};
    }
    return ParsedCommandLine{settings, ""};
  } catch (const cxxopts::exceptions::exception& error) {
    return core::Fail(core::Operation::kParseSettings, "command line",
                      error.what());
  }
}

}  // namespace crocusmast::daemon
