#include "crocusmast/cli/commands.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "crocusmast/adapters/admin_codec.h"
#include "crocusmast/adapters/configuration_codec.h"
#include "crocusmast/cli/admin_client.h"
#include "crocusmast/cli/maintenance_command.h"
#include "crocusmast/cli/table.h"
#include "crocusmast/core/wall_time.h"

namespace crocusmast::cli {
namespace internal {

using configuration::Change;
using configuration::Snapshot;
using core::Fail;
using core::Operation;
using core::Result;
using nlohmann::json;

Result<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    return Fail(Operation::kReadFile, name, "cannot be read");
  }
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

Result<adapters::ParsedConfiguration> ReadFiles(const Arguments& arguments) {
  BOOST_LEAF_AUTO(plans, ReadFile(arguments.plans_file));
  BOOST_LEAF_AUTO(allowances, ReadFile(arguments.allowances_file));
  return adapters::ParseConfigurationFiles(
      {std::move(plans), std::move(allowances)});
}

void Print(const Table& table, const Arguments& arguments) {
  std::cout << (arguments.is_json ? table.FormatJson() : table.Format());
}

AdminClient ClientFor(const Arguments& arguments) {
  return AdminClient(arguments.instances, arguments.token);
}

Result<Snapshot> FetchSnapshot(const AdminClient& client,
                               std::optional<core::Revision> revision) {
  const std::string query =
      revision ? "?revision=" + std::to_string(revision->Count()) : "";
  BOOST_LEAF_AUTO(text, client.Get("/configuration" + query));
  return adapters::ParseSnapshot(text);
}

core::ChangeId MakeChangeId() {
  std::random_device random;
  std::string text = "change-";
  constexpr int kRandomNumbers = 4;
  for (int number = 0; number < kRandomNumbers; ++number) {
    text += std::to_string(random());
  }
  return core::ChangeId::Create(text.substr(0, core::kMaxIdLength)).value();
}

Table MakeDifferenceTable(
    const std::vector<configuration::RowChange>& changes) {
  Table table({"row", "in force", "wanted"});
  for (const configuration::RowChange& change : changes) {
    table.Add({configuration::Describe(change.key),
               configuration::Describe(change.before),
               configuration::Describe(change.after)});
  }
  return table;
}

Result<ExitCode> Check(const Arguments& arguments) {
  BOOST_LEAF_AUTO(files, ReadFiles(arguments));
  std::cout << "The lists are valid: " << files.lists.Rows().size()
            << " rows.\n";
  return ExitCode::kSuccess;
}

Result<core::Revision> ResolveBase(const Arguments& arguments,
                                   const adapters::ParsedConfiguration& files) {
  if (arguments.revision) {
    return *arguments.revision;
  }
  if (files.revision) {
    return *files.revision;
  }
  return Fail(Operation::kParseSettings, "base",
              "the files contain no revision; give the one that they are based "
              "on with --base, or 0 for the first lists");
}

Result<ExitCode> SubmitEdit(const Arguments& arguments,
                            core::Revision base,
                            configuration::PlanLists lists,
                            const std::string& reason) {
  const configuration::Edit edit{
      {MakeChangeId(), arguments.author, reason, {}}, base, std::move(lists)};
  BOOST_LEAF_AUTO(text, ClientFor(arguments).Put("/configuration",
                                                 adapters::FormatEdit(edit)));
  BOOST_LEAF_AUTO(revision, adapters::ParseRevision(text));
  if (arguments.is_json) {
    std::cout << text << "\n";
  } else {
    std::cout << "Accepted as revision " << revision.Count() << ".\n";
  }
  return ExitCode::kSuccess;
}

Result<ExitCode> Apply(const Arguments& arguments) {
  BOOST_LEAF_AUTO(files, ReadFiles(arguments));
  BOOST_LEAF_AUTO(base, ResolveBase(arguments, files));
  return SubmitEdit(arguments, base, std::move(files.lists), arguments.reason);
}

Result<ExitCode> Rollback(const Arguments& arguments) {
  if (arguments.operands.size() != 1 ||
      arguments.operands[0].find_first_not_of("0123456789") !=
          std::string::npos) {
    return Fail(Operation::kParseSettings, "rollback",
                "give exactly one revision to roll back to");
  }
  const AdminClient client = ClientFor(arguments);
  const core::Revision wanted(std::stoull(arguments.operands[0]));
  BOOST_LEAF_AUTO(current, FetchSnapshot(client, std::nullopt));
  BOOST_LEAF_AUTO(old, FetchSnapshot(client, wanted));
  return SubmitEdit(arguments, current.revision, std::move(old.lists),
                    "rollback to revision " + std::to_string(wanted.Count()) +
                        ": " + arguments.reason);
}

Result<ExitCode> Diff(const Arguments& arguments) {
  BOOST_LEAF_AUTO(files, ReadFiles(arguments));
  BOOST_LEAF_AUTO(current, FetchSnapshot(ClientFor(arguments), std::nullopt));
  const auto changes = current.lists.DifferenceTo(files.lists);
  Print(MakeDifferenceTable(changes), arguments);
  return changes.empty() ? ExitCode::kSuccess : ExitCode::kDifference;
}

Result<void> WriteFile(const std::string& name, const std::string& text) {
  std::ofstream file(name, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    return Fail(Operation::kReadFile, name, "cannot be written");
  }
  return {};
}

Result<ExitCode> Show(const Arguments& arguments) {
  BOOST_LEAF_AUTO(snapshot,
                  FetchSnapshot(ClientFor(arguments), arguments.revision));
  const adapters::ConfigurationFiles files =
      adapters::FormatConfigurationFiles(snapshot);
  if (!arguments.directory.empty()) {
    BOOST_LEAF_CHECK(
        WriteFile(arguments.directory + "/plans.json", files.plans));
    BOOST_LEAF_CHECK(
        WriteFile(arguments.directory + "/allowances.json", files.allowances));
    std::cout << "Wrote revision " << snapshot.revision.Count() << " to "
              << arguments.directory << ".\n";
    return ExitCode::kSuccess;
  }
  if (arguments.is_json) {
    std::cout << adapters::FormatSnapshot(snapshot) << "\n";
    return ExitCode::kSuccess;
  }
  std::cout << "Revision " << snapshot.revision.Count() << "\n";
  Table table({"row", "values"});
  for (const auto& [key, row] : snapshot.lists.Rows()) {
    table.Add({configuration::Describe(key), configuration::Describe(row)});
  }
  std::cout << table.Format();
  return ExitCode::kSuccess;
}

Result<ExitCode> History(const Arguments& arguments) {
  BOOST_LEAF_AUTO(text, ClientFor(arguments).Get("/history"));
  BOOST_LEAF_AUTO(changes, adapters::ParseChanges(text));
  Table table({"revision", "at", "author", "rows", "reason"});
  for (const Change& change : changes) {
    table.Add({std::to_string(change.revision.Count()),
               core::FormatTime(change.origin.at), change.origin.author,
               std::to_string(change.rows.size()), change.origin.reason});
  }
  Print(table, arguments);
  return ExitCode::kSuccess;
}

std::string DescribePools(const json& status) {
  std::string text;
  for (const json& pool : status.value("pools", json::array())) {
    text += (text.empty() ? "" : ", ") + pool.value("pool", "") + " " +
            std::to_string(pool.value("in_flight", 0)) + "/" +
            std::to_string(pool.value("in_flight", 0) + pool.value("free", 0));
    const auto waiting = pool.value("waiting", 0);
    text += waiting > 0 ? " +" + std::to_string(waiting) + " waiting" : "";
  }
  return text;
}

Result<ExitCode> Status(const Arguments& arguments) {
  const AdminClient client = ClientFor(arguments);
  std::map<std::string, json> responses;
  std::uint64_t newest = 0;
  for (const fleet::Endpoint& instance : client.Instances()) {
    const std::string name =
        instance.host + ":" + std::to_string(instance.port);
    const std::string text =
        core::Handle([&] { return client.GetFrom(instance, "/status"); },
                     [](const core::Error&) { return std::string(); });
    responses[name] = json::parse(text, nullptr, false);
    if (responses[name].is_object()) {
      newest = std::max(newest, responses[name].value("revision", newest));
    }
  }
  Table table({"address", "instance", "zone", "revision", "state", "peers",
               "pools (in use/slots)"});
  bool is_current = true;
  for (const auto& [name, response] : responses) {
    if (!response.is_object()) {
      is_current = false;
      table.Add({name, "-", "-", "-", "no answer", "-", "-"});
      continue;
    }
    const std::uint64_t revision = response.value("revision", newest);
    is_current = is_current && revision == newest;
    table.Add({name, response.value("instance", ""), response.value("zone", ""),
               std::to_string(revision),
               revision == newest ? "current" : "behind",
               std::to_string(response.value("peers", json::array()).size()),
               DescribePools(response)});
  }
  Print(table, arguments);
  return is_current ? ExitCode::kSuccess : ExitCode::kDifference;
}

Result<ExitCode> Explain(const Arguments& arguments) {
  if (arguments.operands.size() != 1) {
    return Fail(Operation::kParseSettings, "explain",
                "give exactly one request id");
  }
  BOOST_LEAF_AUTO(id, core::RequestId::Create(arguments.operands[0]));
  const AdminClient client = ClientFor(arguments);
  Table table(
      {"instance", "at_ms", "decision", "destination", "reason", "sentence"});
  bool is_found = false;
  for (const fleet::Endpoint& instance : client.Instances()) {
    const std::string text = core::Handle(
        [&] {
          return client.GetFrom(instance, "/explain?request=" + id.Text());
        },
        [](const core::Error&) { return std::string("[]"); });
    for (const json& decision : json::parse(text, nullptr, false)) {
      is_found = true;
      table.Add({instance.host + ":" + std::to_string(instance.port),
                 std::to_string(decision.value("at_ms", 0LL)),
                 decision.value("decision", ""),
                 decision.value("destination", ""),
                 decision.value("reason", ""), decision.value("sentence", "")});
    }
  }
  if (!is_found) {
    std::cerr << "No instance has a decision for request " << id.Text()
              << ".\n";
    return ExitCode::kDifference;
  }
  Print(table, arguments);
  return ExitCode::kSuccess;
}

}  // namespace internal

core::Result<ExitCode> RunCommand(const Arguments& arguments) {
  using Command = core::Result<ExitCode> (*)(const Arguments&);
  static const std::map<std::string, Command> kCommands{
      {"check", internal::Check},      {"apply", internal::Apply},
      {"diff", internal::Diff},        {"show", internal::Show},
      {"history", internal::History},  {"rollback", internal::Rollback},
      {"status", internal::Status},    {"explain", internal::Explain},
      {"maintenance", RunMaintenance},
  };
  const auto command = kCommands.find(arguments.command);
  if (command == kCommands.end()) {
    return core::Fail(
        core::Operation::kParseSettings, "command line",
        "'" + arguments.command + "' is not a command; see --help");
  }
  return command->second(arguments);
}

}  // namespace crocusmast::cli
